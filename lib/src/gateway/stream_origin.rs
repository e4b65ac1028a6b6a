//! Streams that go on: at which software version, and what happens if that is not known or has left.
//!
//! Load pattern: upstreams or gateways fail while a release is under way, and the callers of all their
//! streams resume them at once at other gateways. One lookup serves all that wait.
//!
//! Part of the reducer of a gateway; only its other parts import this module.

use std::collections;
use std::time;

use crate::admission;
use crate::clock;
use crate::fleet;
use crate::gateway;
use crate::gateway::request;
use crate::id;
use crate::refusal;
use crate::stream_log;
use crate::stream_versions;
use crate::table;
use crate::telemetry;

/// Number of lookups after which a stream that nobody has logged is refused. The first may be too early
/// for a gateway that has just sent the stream.
const MAX_LOOKUPS: u32 = 2;
/// Pause before a request that waits for a lookup is tried again.
const LOOKUP_PAUSE: time::Duration = time::Duration::from_millis(60);
/// Time after which a lookup that has not been answered is given up.
const LOOKUP_TIMEOUT: time::Duration = time::Duration::from_secs(1);
/// Seed of the rendezvous hash that chooses the gateway which records the services with one version.
const RECORDER_SEED: u64 = 0x7665_7273;
/// Why a stream is refused whose version is not known.
const UNKNOWN_MESSAGE: &str = "it is not known which software version began the stream";
/// Why a stream is refused whose version has left.
const GONE_MESSAGE: &str = "no upstream runs the software version that began the stream";

impl gateway::Gateway {
    /// Finds the version at which a stream goes on, and returns whether a call may be made. If not, the
    /// request waits for a lookup or is refused.
    pub(super) fn settle_origin(
        &mut self,
        id: id::RequestId,
        effects: &mut Vec<gateway::Effect>,
    ) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        if !goes_on(request) {
            return true;
        }
        if request.version.is_none() && !self.find_version(id, effects) {
            return false;
        }
        let Some(request) = self.requests.get(&id) else { return false };
        let (service, version) = (request.service.clone(), request.version.clone());
        let runs_version =
            |(_, up): (_, &fleet::Upstream)| Some(&up.entry.version) == version.as_ref();
        if self.fleet.service_upstreams(&service).any(runs_version) {
            return true;
        }
        self.refuse_for(id, refusal::Kind::NoUpstream, GONE_MESSAGE, None, effects);
        false
    }

    /// Sets the version of a stream from what this gateway knows. Returns whether it does; otherwise the
    /// request waits for a lookup, or is refused if there were enough.
    fn find_version(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) -> bool {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let origin = self.versions.origin(now, &request.service, request.stream);
        if let stream_versions::Origin::Version(version) = origin {
            let line = telemetry::Line::new("stream_origin")
                .with("request", &request.external_id)
                .with("version", &version)
                .with("lookups", request.lookups);
            effects.push(gateway::Effect::Log(line));
            request.version = Some(version);
            return true;
        }
        let can_be_logged = request.stream.is_some();
        if !can_be_logged || request.lookups >= MAX_LOOKUPS {
            let (kind, delay) = (refusal::Kind::NoUpstream, admission::MIN_RETRY_DELAY);
            self.refuse_for(id, kind, UNKNOWN_MESSAGE, delay, effects);
            return false;
        }
        request.next_call = now.mono + LOOKUP_PAUSE;
        self.moves.insert((request.next_call, id));
        self.origin_waits.insert(id);
        let is_overdue = self.lookup_sent.is_none_or(|at| now.mono >= at + LOOKUP_TIMEOUT);
        if is_overdue {
            self.lookup_sent = Some(now.mono);
            effects.push(gateway::Effect::FindStreams);
        }
        false
    }

    /// Applies what a lookup has found to the requests that wait for it.
    pub(super) fn streams_found(&mut self, logged: &[stream_versions::LoggedStreams]) {
        self.lookup_sent = None;
        let mut wanted = collections::BTreeSet::new();
        for id in std::mem::take(&mut self.origin_waits) {
            if let Some(request) = self.requests.get_mut(&id) {
                request.lookups += 1;
                wanted.extend(request.stream);
            }
        }
        self.versions.adopt(self.now.mono, logged, &wanted);
    }

    /// Records the version of the upstream that a stream is sent to.
    pub(super) fn record_stream(
        &mut self,
        id: id::RequestId,
        version: &stream_versions::SoftwareVersion,
    ) {
        let Some(request) = self.requests.get(&id) else { return };
        if let Some(stream) = request.stream
            && request.route.kind == table::RequestKind::Resumable
        {
            self.versions.record_sent(self.now, &request.service, stream, version);
        }
    }

    /// Returns whether a new stream should rather begin at another upstream, because other gateways may
    /// not know the version of this one.
    pub(super) fn is_introduced(&self, request: &request::Request, up: &fleet::Upstream) -> bool {
        request.route.kind != table::RequestKind::Resumable
            || request.version.is_some()
            || !self.versions.is_new(self.now, &request.service, &up.entry.version)
    }

    /// Returns the revision of what [`Self::stream_log`] returns. Streams that are over leave it later.
    pub fn stream_revision(&self) -> u64 {
        self.versions.revision()
    }

    /// Returns what is kept in the store about streams.
    pub fn stream_log(&self, now: clock::Now) -> stream_log::State {
        let recorder = self.roster.part_owner(RECORDER_SEED);
        let is_recorder = recorder == Some(&self.settings.instance);
        stream_log::State {
            revision: self.versions.revision(),
            log: self.versions.log(now),
            lone: is_recorder.then(|| self.versions.lone_versions()),
            gateways: u32::try_from(self.roster.len()).unwrap_or(u32::MAX),
        }
    }
}

/// Returns whether the answer to a request goes on with a stream that has begun.
fn goes_on(request: &request::Request) -> bool {
    let has_begun = request.last_event.is_some() || request.version.is_some();
    request.route.kind == table::RequestKind::Resumable && has_begun
}
