//! Reducer of a gateway: an entry that calls upstreams itself, without a sidecar next to each of
//! them.
//!
//! It decides which requests are admitted, batches the pieces of their stages and chooses
//! upstreams. Each caller gets either one complete answer or one refusal that says truthfully
//! whether the request may have run. The shell in [`crate::gateway_shell`] passes one [`Event`] at
//! a time to [`Gateway::step`] and carries out the [`Effect`]s in their order.
//!
//! Here and in the modules that the reducer uses, a point in time is a reading of the monotonic
//! clock unless its type is [`clock::Now`].

mod arrivals;
mod batches;
mod calls;
mod cold_calls;
mod groups;
mod holds;
mod messages;
mod moves;
mod regions;
mod request;
mod retries;
mod shed;
mod silence;
mod stages;
mod stream_origin;

pub use messages::{
    Arrival, BatchCall, BatchItem, BatchOutcome, BreakCause, CallId, Effect, Event, Handle,
    HandoverId, Outcome, Patience, PieceInput, PieceOutcome, RequestCall,
};

use std::collections;
use std::sync;
use std::time;

use crate::admission;
use crate::batch;
use crate::clock;
use crate::cold;
use crate::config_lease;
use crate::fleet;
use crate::id;
use crate::placement;
use crate::pool_rate;
use crate::quarantine;
use crate::refusal;
use crate::retry;
use crate::roster;
use crate::route_times;
use crate::shedding;
use crate::shedding::shares;
use crate::stated_limits;
use crate::stream_versions;
use crate::table;
use crate::telemetry;
use crate::unit;
use crate::upstream_notice;

/// Settings of the reducer.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance id of this gateway.
    pub instance: id::InstanceId,
    /// Failure domain of this gateway.
    pub domain: id::DomainId,
    /// Regions of all failure domains.
    pub regions: collections::BTreeMap<id::DomainId, id::RegionId>,
    /// Time after which a revoked credential must not be accepted; `None` sets no limit.
    pub revocation_bound: Option<time::Duration>,
    /// Retries that are allowed, as a share of the requests to a service.
    pub retry_share: f64,
    /// By how much the rate of a service may be exceeded at a cold upstream.
    pub cold_allowance: cold::Allowance,
    /// Rule by which requests are delayed or turned away under overload.
    pub overload: shedding::Overload,
}

impl Settings {
    /// Returns the region of this gateway. A failure domain without a region counts as a region
    /// of its own.
    fn own_region(&self) -> id::RegionId {
        let region = self.regions.get(&self.domain).cloned();
        region.unwrap_or_else(|| {
            self.domain.as_str().parse().expect("domain and region names follow the same rules")
        })
    }
}

/// State of a gateway.
#[derive(Debug)]
pub struct Gateway {
    settings: Settings,
    table: sync::Arc<table::Table>,
    has_table: bool,
    /// Time for which the table in force may be acted on.
    table_lease: config_lease::ConfigLease,
    fleet: fleet::Fleet,
    placement: placement::Placement,
    queues: batch::Queues,
    requests: collections::BTreeMap<id::RequestId, request::Request>,
    /// Current deadline of each request, the next one first.
    deadlines: collections::BTreeSet<(time::Duration, id::RequestId)>,
    calls: collections::BTreeMap<CallId, calls::PendingCall>,
    /// Requests whose next call has to wait, with the time of the call, the next one first.
    moves: collections::BTreeSet<(time::Duration, id::RequestId)>,
    groups: collections::BTreeMap<batch::GroupId, groups::Group>,
    /// Groups that were handed over by other gateways.
    handovers: collections::BTreeMap<HandoverId, batch::GroupId>,
    batches: collections::BTreeMap<batch::BatchId, batches::PendingBatch>,
    roster: roster::Roster,
    /// Gateways that groups were handed over to.
    holders: collections::BTreeMap<id::InstanceId, groups::Holder>,
    /// Waits in pools as other gateways reported them, with the time of the report.
    reported_waits: collections::BTreeMap<roster::PoolId, (time::Duration, batch::WaitEstimate)>,
    /// Upcoming pieces of other gateways by pool and gateway, with the time of the report.
    reported_upcoming: collections::BTreeMap<
        (roster::PoolId, id::InstanceId),
        (time::Duration, batch::PiecesByRank),
    >,
    /// Rate factors of pools whose batches are formed here.
    pool_rates: collections::BTreeMap<roster::PoolId, pool_rate::RateFactor>,
    /// Shares of requests that are served, by kind.
    shares: shares::Shares,
    /// Observed times of routes by their names.
    route_times: collections::BTreeMap<String, route_times::RouteTimes>,
    /// Results to free at the next tick, by the upstream that stores them.
    unneeded_results: collections::BTreeMap<id::InstanceId, Vec<Handle>>,
    retry_budgets: collections::BTreeMap<id::ServiceId, retry::Budget>,
    /// Requests that wait for a call to a cold upstream, with the time since when.
    cold_waits: collections::BTreeMap<id::RequestId, time::Duration>,
    versions: stream_versions::StreamVersions,
    /// Requests that wait for a lookup of the version that began their stream.
    origin_waits: collections::BTreeSet<id::RequestId>,
    /// When the lookup in progress began.
    lookup_sent: Option<time::Duration>,
    quarantine: quarantine::Quarantine,
    /// Calls whose answers have begun, with the time at which they count as sound.
    sound_calls: collections::BTreeSet<(time::Duration, CallId)>,
    /// The planned stop of the process; `None` until it is asked to stop.
    stop: Option<PlannedStop>,
    /// Latest number that identifies a call, batch or group.
    last_serial: u64,
    now: clock::Now,
    rng: fastrand::Rng,
}

/// Times of a planned stop.
#[derive(Clone, Copy, Debug)]
struct PlannedStop {
    /// When the process was asked to stop.
    since: time::Duration,
    /// When it ends, whatever is still in progress.
    end: time::Duration,
}

impl PlannedStop {
    /// Returns the time until which requests are still admitted. By then the load balancer has stopped
    /// sending new connections, and a request that is admitted later could not end before the process.
    fn admits_until(&self) -> time::Duration {
        let total = self.end.saturating_sub(self.since);
        self.since + (total / STOP_ADMIT_DIVISOR).min(MAX_STOP_ADMIT_TIME)
    }
}

/// Longest time after the start of a stop for which requests are admitted.
const MAX_STOP_ADMIT_TIME: time::Duration = time::Duration::from_millis(2_500);
/// Divisor of the time of a stop: requests are admitted in its first third.
const STOP_ADMIT_DIVISOR: u32 = 3;

impl Gateway {
    /// Makes a gateway without a table, upstreams or peers.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let quarantine = quarantine::Quarantine::new(rng.u64(..));
        Self {
            table: sync::Arc::default(),
            has_table: false,
            table_lease: config_lease::ConfigLease::new(settings.revocation_bound),
            fleet: fleet::Fleet::new(settings.domain.clone(), settings.regions.clone()),
            placement: placement::Placement::default(),
            queues: batch::Queues::new(settings.overload),
            requests: collections::BTreeMap::new(),
            deadlines: collections::BTreeSet::new(),
            calls: collections::BTreeMap::new(),
            moves: collections::BTreeSet::new(),
            groups: collections::BTreeMap::new(),
            handovers: collections::BTreeMap::new(),
            batches: collections::BTreeMap::new(),
            roster: roster::Roster::default(),
            holders: collections::BTreeMap::new(),
            reported_waits: collections::BTreeMap::new(),
            reported_upcoming: collections::BTreeMap::new(),
            pool_rates: collections::BTreeMap::new(),
            shares: shares::Shares::default(),
            route_times: collections::BTreeMap::new(),
            unneeded_results: collections::BTreeMap::new(),
            retry_budgets: collections::BTreeMap::new(),
            cold_waits: collections::BTreeMap::new(),
            versions: stream_versions::StreamVersions::default(),
            origin_waits: collections::BTreeSet::new(),
            lookup_sent: None,
            quarantine,
            sound_calls: collections::BTreeSet::new(),
            stop: None,
            last_serial: 0,
            now: clock::Now::default(),
            rng,
            settings,
        }
    }

    /// Handles one event and appends the effects that the shell has to carry out.
    pub fn step(&mut self, now: clock::Now, event: Event, effects: &mut Vec<Effect>) {
        self.now = now;
        // Requests that wait go before those that arrive.
        self.call_waiting(effects);
        match event {
            Event::TableRead { confirmed, table } => self.apply_table(confirmed, table, effects),
            Event::StoreRestored => self.store_restored(effects),
            Event::DomainsEvacuated(domains) => self.apply_evacuated(domains, effects),
            Event::UpstreamsListed(list) => self.apply_upstreams(list, effects),
            Event::RequestArrived(request, arrival) => {
                self.request_arrived(request, &arrival, effects);
            }
            Event::CallerGone(request) => self.caller_gone(request, effects),
            Event::AnswerStarted(call) => self.answer_started(call, effects),
            Event::CallSilent(call) => self.call_silent(call, effects),
            Event::CallResumed(call) => self.call_resumed(call, effects),
            Event::CallEnded { call, outcome, load } => {
                self.call_ended(call, outcome, load, effects);
            }
            Event::UpstreamNoticed { process, notice, sent_at } => {
                self.upstream_noticed(&process, notice, effects);
                self.limit_noticed(&process, notice.limit, sent_at, effects);
            }
            Event::StreamsFound(logged) => self.streams_found(&logged),
            Event::LoneVersionsRead(lone) => self.versions.apply_lone_versions(self.now, lone),
            Event::LimitsRelayed(limits) => self.limits_relayed(&limits, effects),
            Event::EnginesPaced(paces) => self.fleet.record_paces(paces),
            Event::BatchEnded { batch, outcome, load } => {
                self.batch_ended(batch, outcome, load, effects);
            }
            Event::GatewaysListed(listing) => self.apply_gateways(listing, effects),
            Event::HandoverReceived(handover, message) => {
                self.handover_received(handover, *message, effects);
            }
            Event::HandoverCancelled(handover) => self.handover_cancelled(handover),
            Event::ReleaseReceived(message) => self.release_received(message, effects),
            Event::ResultsFreed { instance, handles } => self.results_freed(&instance, &handles),
            Event::HandoverEnded(group, outcomes) => self.handover_ended(group, outcomes, effects),
            Event::PeerProbed { peer, is_alive } => self.peer_probed(&peer, is_alive, effects),
            Event::Drain { left } => {
                self.stop.get_or_insert(PlannedStop { since: now.mono, end: now.mono + left });
                // A new process of the same name may soon use them.
                self.fleet.give_up_quotas();
            }
            Event::Stop => self.refuse_all(effects),
            Event::Tick => self.tick(effects),
        }
        self.dispatch(effects);
    }

    /// Returns whether new callers should be directed to this gateway.
    pub fn is_ready(&self, now: clock::Now) -> bool {
        self.has_table
            && self.stop.is_none()
            && !self.fleet.is_empty()
            && self.table_lease.is_recent(now)
    }

    /// Returns the number of requests in progress.
    pub fn request_count(&self) -> usize {
        self.requests.len()
    }

    /// Returns the version of the table in force.
    pub fn table_version(&self) -> table::Version {
        self.table.version
    }

    /// Returns the time since the table was last confirmed, or `None` if it never was.
    pub fn table_age(&self, now: clock::Now) -> Option<time::Duration> {
        self.table_lease.age(now)
    }

    /// Returns the limits on requests in the table in force.
    pub fn limits(&self) -> table::Limits {
        self.table.limits
    }

    /// Puts a table into force unless it is older than the one in force, and renews the lease.
    fn apply_table(
        &mut self,
        confirmed: Option<clock::Now>,
        table: sync::Arc<table::Table>,
        effects: &mut Vec<Effect>,
    ) {
        // A gateway that has just started would serve callers by the copy of a restored store.
        if !self.has_table && confirmed.is_none() {
            let line = telemetry::Line::new("table_unconfirmed").with("version", table.version);
            effects.push(Effect::Log(line));
            return;
        }
        // A read with an older version was answered from old data, so it confirms nothing.
        if self.has_table && table.version < self.table.version {
            let line = telemetry::Line::new("table_ignored")
                .with("version", table.version)
                .with("in_force", self.table.version);
            effects.push(Effect::Log(line));
            return;
        }
        if let Some(confirmed) = confirmed {
            self.table_lease.confirm(confirmed);
        }
        if self.has_table && table.version == self.table.version {
            return;
        }
        let line = telemetry::Line::new("table_in_force")
            .with("version", table.version)
            .with("before", self.table.version)
            .with("routes", table.routes.len());
        effects.push(Effect::Log(line));
        for route in &table.routes {
            if let Err(e) = route.check_stages() {
                let line = telemetry::Line::new("route_unusable")
                    .with("route", &route.name)
                    .with("fault", e);
                effects.push(Effect::Log(line));
            }
        }
        self.table = table;
        self.has_table = true;
        self.rebind_requests(effects);
        let resumable =
            self.table.routes.iter().filter(|route| route.kind == table::RequestKind::Resumable);
        let longest = resumable.map(|route| route.timeout).max();
        self.versions.set_longest(longest.unwrap_or_default());
        let services = self.table.services.iter();
        let batched = services.filter(|(_, service)| service.batching.is_some());
        self.fleet.set_batched(batched.map(|(name, _)| name.clone()).collect());
        self.fleet.set_cold_limits(self.now.mono, self.cold_limits());
    }

    /// Prepares for lists that are older than the ones before.
    fn store_restored(&mut self, effects: &mut Vec<Effect>) {
        self.fleet.record_restore(self.now.mono);
        self.roster.record_restore(self.now.mono);
        effects.push(Effect::Log(telemetry::Line::new("lists_kept")));
    }

    /// Applies a new list of upstreams, and logs what changed.
    fn apply_upstreams(&mut self, list: Vec<fleet::ListEntry>, effects: &mut Vec<Effect>) {
        let mut versions: collections::BTreeMap<_, collections::BTreeSet<_>> =
            collections::BTreeMap::new();
        for entry in &list {
            versions.entry(entry.service.clone()).or_default().insert(entry.version.clone());
        }
        self.versions.update(self.now, &versions);
        let change = self.fleet.update(self.now.mono, list);
        for (event, instances) in [
            ("upstream_joined", &change.joined),
            ("upstream_leaving", &change.leaving),
            ("upstream_gone", &change.gone),
        ] {
            for instance in instances {
                let mut line = telemetry::Line::new(event).with("upstream", instance);
                if let Some(upstream) = self.fleet.get(instance) {
                    let entry = &upstream.entry;
                    line = line.with("service", &entry.service).with("domain", &entry.domain);
                }
                effects.push(Effect::Log(line));
            }
        }
        for instance in &change.cold {
            let now = self.now.mono;
            let wait = self.fleet.next_send(now, instance).saturating_sub(now);
            let line = telemetry::Line::new("upstream_cold")
                .with("upstream", instance)
                .with("quota", self.fleet.quota(now, instance).unwrap_or_default())
                .with("next_ms", wait.as_millis());
            effects.push(Effect::Log(line));
        }
        for (instance, results) in &change.expired_results {
            let line = telemetry::Line::new("results_expired")
                .with("upstream", instance)
                .with("results", results);
            effects.push(Effect::Log(line));
        }
        for instance in &change.gone {
            self.placement.remove_engine(instance);
            self.unneeded_results.remove(instance);
        }
    }

    /// Records what an upstream stated about itself, and logs it.
    fn upstream_noticed(
        &mut self,
        process: &upstream_notice::Process,
        notice: upstream_notice::Notice,
        effects: &mut Vec<Effect>,
    ) {
        let is_news = self.fleet.record_notice(self.now.mono, process, notice);
        if is_news || notice.pause.is_some() {
            let line = telemetry::Line::new("upstream_noticed")
                .with("upstream", &process.instance)
                .with("leaving", notice.is_leaving)
                .with("pause_ms", notice.pause.unwrap_or_default().as_millis());
            effects.push(Effect::Log(line));
        }
    }

    /// Records the limit that an answer stated, and logs it if it has changed.
    fn limit_noticed(
        &mut self,
        process: &upstream_notice::Process,
        limit: stated_limits::LimitNotice,
        sent_at: time::Duration,
        effects: &mut Vec<Effect>,
    ) {
        if limit == stated_limits::LimitNotice::Unreadable {
            let line = telemetry::Line::new("limit_unreadable").with("upstream", &process.instance);
            effects.push(Effect::Log(line));
        }
        if self.fleet.record_limit(self.now.mono, sent_at, process, limit) {
            self.log_limit(process, "answer", effects);
        }
    }

    /// Adopts limits that other gateways have received, and logs those that have changed.
    fn limits_relayed(
        &mut self,
        limits: &[stated_limits::RelayedLimit],
        effects: &mut Vec<Effect>,
    ) {
        for limit in limits {
            if self.fleet.adopt_limit(self.now.mono, limit) {
                self.log_limit(&limit.process, "gateway", effects);
            }
        }
    }

    /// Returns the limits that upstreams have stated.
    pub fn stated_limits(&self) -> &stated_limits::StatedLimits {
        self.fleet.stated_limits()
    }

    fn log_limit(
        &self,
        process: &upstream_notice::Process,
        source: &'static str,
        effects: &mut Vec<Effect>,
    ) {
        let rate = self.fleet.stated_rate(process);
        let line = telemetry::Line::new("upstream_limit")
            .with("upstream", &process.instance)
            .with("rate", rate.map_or_else(|| "none".to_owned(), |rate| rate.to_string()))
            .with("source", source);
        effects.push(Effect::Log(line));
        metrics::counter!("gateway_limit_changes_total", "source" => source).increment(1);
    }

    /// Applies a new listing of gateways, and logs what changed.
    fn apply_gateways(&mut self, listing: roster::Listing, effects: &mut Vec<Effect>) {
        let own_instance = &self.settings.instance;
        self.quarantine.apply_reports(self.now.mono, own_instance, &listing.reports);
        let (joined, left) = self.roster.update(self.now.mono, listing.peers);
        for (event, instances) in [("peer_came", joined), ("peer_went", left)] {
            for instance in instances {
                effects.push(Effect::Log(telemetry::Line::new(event).with("peer", instance)));
            }
        }
        if self.stop.is_none() {
            self.fleet.set_gateways(self.now.mono, &self.settings.instance, &self.roster);
        }
    }

    /// Returns whether a call for a request may be made: its credential, if it needs one, must
    /// belong to a team in the table, and the lease on the table must be valid.
    fn has_valid_credential(&self, request: &request::Request) -> bool {
        let Some(credential) = &request.credential else { return true };
        self.table_lease.is_valid(self.now) && self.table.team(credential).is_some()
    }

    /// Refuses requests whose deadline has passed, moves streams, probes silent gateways and frees results.
    fn tick(&mut self, effects: &mut Vec<Effect>) {
        let now = self.now.mono;
        while let Some((deadline, request)) = self.deadlines.first().copied() {
            if deadline > now {
                break;
            }
            self.deadlines.remove(&(deadline, request));
            self.refuse(
                request,
                refusal::Kind::DeadlineExceeded,
                "the time for the answer is over",
                effects,
            );
        }
        self.make_postponed_calls(effects);
        self.probe_holders(effects);
        self.free_unneeded_results(effects);
        self.record_sound_calls();
        self.update_quarantine(effects);
    }

    /// Ends a request that cannot be answered. If its answer has begun, the stream breaks off;
    /// otherwise the caller is sent a refusal.
    fn refuse(
        &mut self,
        id: id::RequestId,
        kind: refusal::Kind,
        message: &str,
        effects: &mut Vec<Effect>,
    ) {
        let delay = match kind {
            refusal::Kind::PromptHeld => kind.retry_after().map(unit::Millis::duration),
            _ => None,
        };
        self.refuse_for(id, kind, message, delay.unwrap_or(admission::MIN_RETRY_DELAY), effects);
    }

    /// Ends a request like [`Self::refuse`]; its caller may try again after `delay`, if there is one.
    fn refuse_for(
        &mut self,
        id: id::RequestId,
        kind: refusal::Kind,
        message: &str,
        delay: impl Into<Option<time::Duration>>,
        effects: &mut Vec<Effect>,
    ) {
        self.record_loss(id);
        let Some(request) = self.requests.get(&id) else { return };
        let ran = if request.may_have_run { refusal::Ran::Unknown } else { refusal::Ran::No };
        let refusal = refusal::Refusal::new(kind, ran, message);
        let retry_after = delay.into().filter(|_| ran == refusal::Ran::No);
        if request.has_started {
            log_cut(self.now.mono, request, &refusal, effects);
        } else {
            log_refusal(&request.external_id, &refusal, retry_after, effects);
            effects.push(Effect::Refuse { request: id, refusal, retry_after });
        }
        self.drop_request(id, effects);
    }

    /// Ends all requests, as the process is about to end.
    fn refuse_all(&mut self, effects: &mut Vec<Effect>) {
        let all: Vec<_> = self.requests.keys().copied().collect();
        for request in all {
            self.refuse(request, refusal::Kind::Draining, "this gateway is stopping", effects);
        }
    }

    /// Drops a request whose caller closed the connection.
    fn caller_gone(&mut self, id: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        let line = telemetry::Line::new("caller_gone")
            .with("request", &request.external_id)
            .with("after_ms", (self.now.mono.saturating_sub(request.arrived)).as_millis());
        effects.push(Effect::Log(line));
        self.drop_request(id, effects);
    }

    /// Drops a request: cancels its call and its groups, and frees its results.
    fn drop_request(&mut self, id: id::RequestId, effects: &mut Vec<Effect>) {
        let Some(request) = self.requests.remove(&id) else { return };
        self.deadlines.remove(&(request.current_deadline(), id));
        if let Some(call) = request.call {
            self.cancel_call(call, effects);
        }
        self.drop_groups(&request, effects);
        for result in request.all_results() {
            self.free_result(result);
        }
        effects.push(Effect::DropRequest(id));
    }

    /// Returns a number that was not used before in this process.
    fn next_serial(&mut self) -> u64 {
        self.last_serial += 1;
        self.last_serial
    }
}

/// Counts and logs a stream that has begun and breaks off, as it cannot be refused any more.
fn log_cut(
    now: time::Duration,
    request: &request::Request,
    refusal: &refusal::Refusal,
    effects: &mut Vec<Effect>,
) {
    metrics::counter!("gateway_cut_streams_total", "kind" => refusal.kind.to_string()).increment(1);
    let line = telemetry::Line::new("cut")
        .with("request", &request.external_id)
        .with("kind", refusal.kind)
        .with("message", &refusal.message)
        .with("events", request.last_event.unwrap_or_default())
        .with("after_ms", now.saturating_sub(request.arrived).as_millis())
        .with("left_ms", request.deadline.saturating_sub(now).as_millis());
    effects.push(Effect::Log(line));
}

/// Counts and logs a refusal.
fn log_refusal(
    external_id: &str,
    refusal: &refusal::Refusal,
    retry_after: Option<time::Duration>,
    effects: &mut Vec<Effect>,
) {
    metrics::counter!("gateway_refusals_total", "kind" => refusal.kind.to_string()).increment(1);
    let mut line = telemetry::Line::new("refuse")
        .with("request", external_id)
        .with("kind", refusal.kind)
        .with("ran", refusal.ran)
        .with("message", &refusal.message);
    if let Some(retry_after) = retry_after {
        line = line.with("retry_after_ms", retry_after.as_millis());
    }
    effects.push(Effect::Log(line));
}
