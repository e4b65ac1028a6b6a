//! Software versions of upstreams, and which of them began a stream. What two versions write does not
//! fit together, so a stream goes on only at the version that began it.
//!
//! Within one answer the gateway knows that version. A caller that resumes a stream names the request
//! that brought its first event, perhaps at another gateway or after all gateways were restarted. Two
//! sources answer then:
//!
//! - While one version alone has been listed for longer than any stream lasts, it is that one.
//! - Otherwise gateways log in the store which version they send each stream to, ahead of its first
//!   event, and look it up there.
//!
//! What neither of them knows is refused. This module decides without input or output;
//! [`crate::stream_log`] talks to the store.

use std::collections;
use std::convert;
use std::str;
use std::time;

use crate::clock;
use crate::id;
use crate::unit;

/// Shortest time for which a version must have been alone, until streams that began at another one have
/// ended and their callers do not resume them any more.
const MIN_ALONE_TIME: time::Duration = time::Duration::from_secs(30);
/// The same as a multiple of the longest time that a stream may take.
const ALONE_FACTOR: u32 = 2;
/// Time by which streams are known for longer than that.
const MEMORY_MARGIN: time::Duration = time::Duration::from_secs(10);
/// Age of the list of upstreams up to which it shows that a version is alone.
const MAX_LIST_AGE: time::Duration = time::Duration::from_secs(3);
/// Time for which a new version gets no streams that can be resumed while another one can take them:
/// all gateways with a list that counts know by then that it exists.
const INTRODUCTION_TIME: time::Duration = time::Duration::from_secs(5);
/// Largest number of streams that a gateway knows; the oldest are forgotten.
const MAX_STREAMS: usize = 20_000;

/// Version of the software of an upstream. Versions have no order.
#[derive(
    Clone,
    Debug,
    Default,
    derive_more::Display,
    Eq,
    Ord,
    PartialEq,
    PartialOrd,
    serde::Deserialize,
    serde::Serialize,
)]
#[serde(transparent)]
pub struct SoftwareVersion(String);

impl str::FromStr for SoftwareVersion {
    type Err = convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        Ok(Self(text.to_owned()))
    }
}

/// Digest of the id of the request that began a stream.
#[derive(
    Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
#[serde(transparent)]
pub struct StreamKey(u64);

impl StreamKey {
    /// Returns the key of the stream that a request began, by the id that its caller gave.
    pub fn of(request: &str) -> Self {
        Self(xxhash_rust::xxh3::xxh3_64(request.as_bytes()))
    }
}

/// Streams that one gateway has sent to one version of a service.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoggedStreams {
    /// Service of the streams.
    pub service: id::ServiceId,
    /// Version that they were sent to.
    pub version: SoftwareVersion,
    /// The streams.
    pub streams: Vec<StreamKey>,
}

/// The only version of a service, as gateways record it in the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct LoneVersion {
    /// The version.
    pub version: SoftwareVersion,
    /// Time since when it has been alone, by the clocks of the gateways, in milliseconds since the Unix
    /// epoch.
    pub since_ms: unit::Millis,
}

/// Services with a single version.
pub type LoneVersions = collections::BTreeMap<id::ServiceId, LoneVersion>;

/// What is known about the version that began a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Origin {
    /// The stream goes on only at this version.
    Version(SoftwareVersion),
    /// Another gateway may have logged it.
    Unknown,
}

#[derive(Clone, Debug)]
struct KnownStream {
    service: id::ServiceId,
    version: SoftwareVersion,
    at: time::Duration,
    /// Whether this gateway has sent it there itself.
    is_own: bool,
}

/// Versions of one service.
#[derive(Debug)]
struct ServiceVersions {
    /// Listed versions, with the time since when.
    listed: collections::BTreeMap<SoftwareVersion, time::Duration>,
    /// Since when these are the listed versions.
    since: clock::Now,
    /// Whether they have not changed since the first list.
    is_initial: bool,
    /// The version that was alone before, with the time until which all streams that are not logged
    /// are its own.
    former: Option<(SoftwareVersion, time::Duration)>,
}

impl ServiceVersions {
    fn new(
        now: clock::Now,
        listed: collections::BTreeMap<SoftwareVersion, time::Duration>,
    ) -> Self {
        Self { listed, since: now, is_initial: true, former: None }
    }

    /// Returns the version that is listed alone.
    fn lone(&self) -> Option<&SoftwareVersion> {
        self.listed.keys().next().filter(|_| self.listed.len() == 1)
    }

    /// Returns the version that has been alone for so long that all streams are its own.
    fn settled(&self, now: clock::Now, alone_time: time::Duration) -> Option<&SoftwareVersion> {
        let is_settled = now.mono.saturating_sub(self.since.mono) >= alone_time;
        self.lone().filter(|_| is_settled)
    }

    /// Replaces the listed versions. `listed` has the present time for each.
    fn replace(
        &mut self,
        now: clock::Now,
        alone_time: time::Duration,
        mut listed: collections::BTreeMap<SoftwareVersion, time::Duration>,
    ) {
        if let Some(settled) = self.settled(now, alone_time).cloned() {
            self.former = Some((settled, now.mono + INTRODUCTION_TIME));
        }
        for (version, seen) in &mut listed {
            *seen = self.listed.get(version).copied().unwrap_or(*seen);
        }
        self.listed = listed;
        self.since = now;
        self.is_initial = false;
    }

    /// Applies a record of the version that is alone. It may have been so for longer than this process
    /// has run; what this process has seen itself counts from then on.
    fn apply_record(&mut self, now: clock::Now, record: &LoneVersion) {
        let since = record.since_ms.duration();
        let age = now.wall.saturating_sub(since);
        let is_longer = age > now.mono.saturating_sub(self.since.mono);
        if self.is_initial && is_longer && self.lone() == Some(&record.version) {
            self.since = clock::Now { mono: now.mono.saturating_sub(age), wall: since };
        }
    }
}

/// Versions of the upstreams of all services, and those that streams were sent to.
#[derive(Debug, Default)]
pub struct StreamVersions {
    services: collections::BTreeMap<id::ServiceId, ServiceVersions>,
    streams: collections::BTreeMap<StreamKey, KnownStream>,
    /// When the latest list of upstreams was applied.
    listed_at: Option<clock::Now>,
    /// Services with a single version, as recorded before this process started.
    recorded: LoneVersions,
    /// Longest time that a stream may take.
    longest: time::Duration,
    /// Counts what changes the log of this gateway.
    revision: u64,
}

impl StreamVersions {
    /// Sets the longest time that a stream may take, by the routes in force.
    pub fn set_longest(&mut self, longest: time::Duration) {
        self.longest = longest;
    }

    fn alone_time(&self) -> time::Duration {
        MIN_ALONE_TIME.max(ALONE_FACTOR * self.longest)
    }

    /// Returns the version of a service that has been alone for so long that all streams are its own.
    fn settled(&self, now: clock::Now, service: &id::ServiceId) -> Option<&SoftwareVersion> {
        self.services.get(service)?.settled(now, self.alone_time())
    }

    /// Applies a list of upstreams: the versions of each service, also of those that are leaving.
    pub fn update(
        &mut self,
        now: clock::Now,
        listed: &collections::BTreeMap<id::ServiceId, collections::BTreeSet<SoftwareVersion>>,
    ) {
        let alone_time = self.alone_time();
        let is_first = self.listed_at.is_none();
        self.listed_at = Some(now);
        // The first list contains what others have known for long.
        let seen = if is_first { time::Duration::ZERO } else { now.mono };
        for (service, versions) in listed {
            let first_seen = versions.iter().map(|version| (version.clone(), seen)).collect();
            match self.services.get_mut(service) {
                Some(known) if known.listed.keys().eq(versions) => {}
                Some(known) => {
                    known.replace(now, alone_time, first_seen);
                    // What was not logged so far may be looked up from now on.
                    self.revision += 1;
                }
                None => {
                    let mut known = ServiceVersions::new(now, first_seen);
                    if let Some(record) = self.recorded.get(service) {
                        known.apply_record(now, record);
                    }
                    self.services.insert(service.clone(), known);
                    self.revision += 1;
                }
            }
        }
        self.prune(now.mono);
    }

    fn prune(&mut self, now: time::Duration) {
        let memory = self.alone_time() + MEMORY_MARGIN;
        self.streams.retain(|_, stream| now.saturating_sub(stream.at) < memory);
        let excess = self.streams.len().saturating_sub(MAX_STREAMS);
        if excess > 0 {
            let mut times: Vec<_> = self.streams.values().map(|stream| stream.at).collect();
            times.sort_unstable();
            let oldest = times[excess - 1];
            self.streams.retain(|_, stream| stream.at > oldest);
        }
    }

    /// Returns what is known about the version that began a stream. `key` is what the caller names.
    pub fn origin(
        &self,
        now: clock::Now,
        service: &id::ServiceId,
        key: Option<StreamKey>,
    ) -> Origin {
        let known = key.and_then(|key| self.streams.get(&key));
        if let Some(stream) = known.filter(|stream| stream.service == *service) {
            return Origin::Version(stream.version.clone());
        }
        // An older list, for example after a freeze, may lack a version that others use.
        let is_recent = self.listed_at.is_some_and(|at| now.elapsed_max(at) <= MAX_LIST_AGE);
        let Some(listed) = self.services.get(service).filter(|_| is_recent) else {
            return Origin::Unknown;
        };
        let former = listed.former.as_ref().filter(|(_, until)| now.mono < *until);
        let settled = self.settled(now, service);
        let version = settled.or(former.map(|(version, _)| version));
        version.map_or(Origin::Unknown, |version| Origin::Version(version.clone()))
    }

    /// Returns whether a version is so new that other gateways may not know it.
    pub fn is_new(
        &self,
        now: clock::Now,
        service: &id::ServiceId,
        version: &SoftwareVersion,
    ) -> bool {
        let first_seen = self.services.get(service).and_then(|known| known.listed.get(version));
        first_seen.is_some_and(|seen| now.mono.saturating_sub(*seen) < INTRODUCTION_TIME)
    }

    /// Records that a stream is sent to a version.
    pub fn record_sent(
        &mut self,
        now: clock::Now,
        service: &id::ServiceId,
        key: StreamKey,
        version: &SoftwareVersion,
    ) {
        if self.settled(now, service).is_none() {
            self.revision += 1;
        }
        let (service, version) = (service.clone(), version.clone());
        self.streams.insert(key, KnownStream { service, version, at: now.mono, is_own: true });
    }

    /// Adopts what gateways have logged about some streams.
    pub fn adopt(
        &mut self,
        now: time::Duration,
        logged: &[LoggedStreams],
        wanted: &collections::BTreeSet<StreamKey>,
    ) {
        for streams in logged {
            for key in streams.streams.iter().filter(|key| wanted.contains(key)) {
                let (service, version) = (streams.service.clone(), streams.version.clone());
                let stream = KnownStream { service, version, at: now, is_own: false };
                self.streams.entry(*key).or_insert(stream);
            }
        }
    }

    /// Returns a number that changes when [`Self::log`] gets longer or [`Self::lone_versions`] changes.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the streams of this gateway that others may have to look up: those of services with
    /// several versions.
    pub fn log(&self, now: clock::Now) -> Vec<LoggedStreams> {
        let mut by_version: collections::BTreeMap<_, Vec<StreamKey>> = collections::BTreeMap::new();
        for (key, stream) in self.streams.iter().filter(|(_, stream)| stream.is_own) {
            if self.settled(now, &stream.service).is_none() {
                by_version.entry((&stream.service, &stream.version)).or_default().push(*key);
            }
        }
        let logged = by_version.into_iter().map(|((service, version), streams)| LoggedStreams {
            service: service.clone(),
            version: version.clone(),
            streams,
        });
        logged.collect()
    }

    /// Returns the services with a single version, for the record in the store.
    pub fn lone_versions(&self) -> LoneVersions {
        let lone = self.services.iter().filter_map(|(service, known)| {
            let version = known.lone()?.clone();
            let since_ms = known.since.wall.into();
            Some((service.clone(), LoneVersion { version, since_ms }))
        });
        lone.collect()
    }

    /// Applies the record in the store as it was when this process started.
    pub fn apply_lone_versions(&mut self, now: clock::Now, recorded: LoneVersions) {
        for (service, record) in &recorded {
            if let Some(known) = self.services.get_mut(service) {
                known.apply_record(now, record);
            }
        }
        self.recorded = recorded;
        self.revision += 1;
    }
}
