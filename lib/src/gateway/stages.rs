//! Stages of requests: pieces wait, go out in batches, and their results are freed once used.

use std::time;

use crate::admission;
use crate::batch;
use crate::fleet;
use crate::gateway;
use crate::gateway::request;
use crate::id;
use crate::refusal;
use crate::routing;
use crate::table;
use crate::telemetry;
use crate::unit;

/// Time that the run itself is expected to take until its answer begins.
const RUN_TIME: time::Duration = time::Duration::from_millis(250);
/// Longest time that a call may wait at an upstream for its turn, beside its own time.
const TURN_TIME: time::Duration = time::Duration::from_millis(900);
/// Pause before an upstream without room or places is asked again.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(60);
/// Times that the pieces of one request are made again before it is given up.
const MAX_REMAKES: u32 = 8;

/// A call with a batch in flight.
#[derive(Debug)]
pub struct Flight {
    instance: id::InstanceId,
    pieces: Vec<batch::Waiting>,
    sent: time::Duration,
    expected: time::Duration,
    foreign: u32,
    size: unit::ByteSize,
}

impl gateway::Gateway {
    /// Does what a request's state allows next: queues pieces, or calls the upstream that answers.
    pub(super) fn advance(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get(&id) else { return };
        if request.call.is_some() {
            return;
        }
        if request.stages.is_empty() {
            self.call(id, effects);
            return;
        }
        self.free_used(id);
        let Some(request) = self.requests.get(&id) else { return };
        for stage in request.ready_stages() {
            self.queue_stage(id, stage);
        }
        let Some(request) = self.requests.get(&id) else { return };
        if (0..request.stages.len()).all(|stage| request.is_stage_done(stage)) {
            self.call(id, effects);
        }
    }

    fn queue_stage(&mut self, id: id::RequestId, stage: usize) {
        let table = std::sync::Arc::clone(&self.table);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let terms = &request.route.stages[stage];
        let due = request.due.saturating_sub(time_after(&table, request, stage));
        for (index, piece) in request.stages[stage].iter_mut().enumerate() {
            if *piece != request::Piece::Idle {
                continue;
            }
            *piece = request::Piece::Queued;
            let index = u32::try_from(index).expect("the number of pieces is bounded");
            let piece = batch::PieceId { request: id, stage, piece: index };
            let waiting = batch::Waiting { id: piece, due, rank: request.rank, size: terms.size };
            self.queues.push(&terms.service, waiting);
        }
    }

    /// Frees results that no later stage needs any more.
    fn free_used(&mut self, id: id::RequestId) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let route = std::sync::Arc::clone(&request.route);
        let mut used = Vec::new();
        for stage in 0..route.stages.len() {
            let mut followers =
                (0..route.stages.len()).filter(|next| route.stages[*next].after.contains(&stage));
            let Some(first) = followers.next() else { continue };
            if request.is_stage_done(stage)
                && request.is_stage_done(first)
                && followers.all(|next| request.is_stage_done(next))
            {
                used.extend(request.use_up(stage));
            }
        }
        for kept in used {
            self.free(kept);
        }
    }

    /// Makes all calls with batches for which pieces wait and upstreams are free.
    pub(super) fn dispatch(&mut self, effects: &mut Vec<gateway::Effect>) {
        let table = std::sync::Arc::clone(&self.table);
        for service in self.queues.services() {
            let Some(pool) = table.services.get(&service) else { continue };
            let Some(terms) = &pool.batching else { continue };
            while let Some(next) = self.queues.dispatch(self.now.mono, &service, terms, &self.fleet)
            {
                self.send_batch(next, pool, effects);
            }
        }
    }

    fn send_batch(
        &mut self,
        mut next: batch::Dispatch,
        pool: &table::Pool,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let id = batch::BatchId(self.next_serial());
        let mut items = Vec::with_capacity(next.pieces.len());
        let mut held = Vec::with_capacity(next.pieces.len());
        let mut denied = Vec::new();
        for waiting in next.pieces {
            match self.item(&waiting.id) {
                Some(item) => {
                    items.push(item);
                    held.push(waiting);
                }
                None => denied.push(waiting.id.request),
            }
        }
        next.pieces = held;
        for request in denied {
            self.refuse(request, refusal::Kind::NotReady, "the credential lapsed", effects);
        }
        if next.pieces.is_empty() {
            return;
        }
        for waiting in &next.pieces {
            self.set_piece(&waiting.id, request::Piece::Flying(id));
        }
        let Some(upstream) = self.fleet.get_mut(&next.instance) else { return };
        let size = unit::ByteSize(next.pieces.iter().map(|waiting| waiting.size.0).sum());
        upstream.held.0 += size.0;
        let foreign = upstream.foreign(self.now.mono);
        let address = upstream.listed.address;
        self.fleet.sent(&next.instance, 0);
        let patience = next.expected * 2 + TURN_TIME;
        let line = telemetry::Line::new("batch")
            .with("batch", id)
            .with("upstream", &next.instance)
            .with("pieces", next.pieces.len())
            .with("expected_ms", next.expected.as_millis())
            .with("foreign", foreign)
            .with("requests", names_of(&items));
        effects.push(gateway::Effect::Log(line));
        metrics::histogram!("gateway_batch_pieces").record(items.len() as f64);
        effects.push(gateway::Effect::Run(Box::new(gateway::Run {
            batch: id,
            instance: next.instance.clone(),
            address,
            connections: pool.connections,
            items,
            patience,
        })));
        let flight = Flight {
            instance: next.instance,
            pieces: next.pieces,
            sent: self.now.mono,
            expected: next.expected,
            foreign,
            size,
        };
        self.batches.insert(id, flight);
    }

    /// Returns what an upstream has to know of a piece, if work on it may start.
    fn item(&self, piece: &batch::PieceId) -> Option<gateway::Item> {
        let request = self.requests.get(&piece.request)?;
        if !self.may_start(request) {
            return None;
        }
        let before = &request.route.stages[piece.stage].after;
        let source = if before.is_empty() {
            gateway::Source::Key(request.key.clone().unwrap_or_default())
        } else {
            let results = request.results_of(before.iter().copied());
            gateway::Source::Results(results.into_iter().map(|kept| kept.handle).collect())
        };
        Some(gateway::Item {
            name: request.name.clone(),
            stage: piece.stage,
            piece: piece.piece,
            budget: request.cutoff.saturating_sub(self.now.mono),
            source,
        })
    }

    fn set_piece(&mut self, piece: &batch::PieceId, state: request::Piece) {
        if let Some(request) = self.requests.get_mut(&piece.request) {
            request.stages[piece.stage][piece.piece as usize] = state;
        }
    }

    pub(super) fn batch_ended(
        &mut self,
        id: batch::BatchId,
        outcome: gateway::BatchOutcome,
        load: Option<fleet::Load>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(flight) = self.batches.remove(&id) else { return };
        self.land(&flight);
        if let Some(load) = load {
            self.fleet.report(self.now.mono, &flight.instance, load);
        }
        let took = self.now.mono.saturating_sub(flight.sent);
        let line = telemetry::Line::new("batch_ended")
            .with("batch", id)
            .with("upstream", &flight.instance)
            .with("outcome", outcome_name(&outcome))
            .with("took_ms", took.as_millis());
        effects.push(gateway::Effect::Log(line));
        metrics::histogram!("gateway_batch_seconds").record(took.as_secs_f64());
        match outcome {
            gateway::BatchOutcome::Done(outcomes) if outcomes.len() == flight.pieces.len() => {
                let ratio = (flight.foreign == 0)
                    .then(|| took.as_secs_f64() / flight.expected.as_secs_f64().max(0.001));
                self.fleet.succeeded(self.now.mono, &flight.instance, ratio);
                for (waiting, outcome) in flight.pieces.iter().zip(outcomes) {
                    self.piece_ended(&flight.instance, waiting, outcome, effects);
                }
            }
            gateway::BatchOutcome::Full => {
                self.leave_alone(&flight.instance);
                self.requeue(&flight, effects);
            }
            _ => {
                self.note_failure(&flight.instance, effects);
                self.requeue(&flight, effects);
            }
        }
        self.advance_all(&flight, effects);
    }

    /// Takes a flight off the books of its upstream; results that stay are entered one by one.
    fn land(&mut self, flight: &Flight) {
        self.fleet.ended(&flight.instance, 0);
        if let Some(upstream) = self.fleet.get_mut(&flight.instance) {
            upstream.held.0 = upstream.held.0.saturating_sub(flight.size.0);
        }
    }

    fn leave_alone(&mut self, instance: &id::InstanceId) {
        if let Some(upstream) = self.fleet.get_mut(instance) {
            upstream.full_until = self.now.mono + FULL_PAUSE;
        }
    }

    /// Takes note of a failure of an upstream.
    pub(super) fn note_failure(
        &mut self,
        instance: &id::InstanceId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        if self.fleet.failed(self.now.mono, instance) {
            let line = telemetry::Line::new("upstream_ejected").with("upstream", instance);
            effects.push(gateway::Effect::Log(line));
        }
    }

    fn piece_ended(
        &mut self,
        instance: &id::InstanceId,
        waiting: &batch::Waiting,
        outcome: gateway::PieceOutcome,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let piece = &waiting.id;
        let is_wanted = self.requests.contains_key(&piece.request);
        match outcome {
            gateway::PieceOutcome::Done(handle) => {
                if let Some(upstream) = self.fleet.get_mut(instance) {
                    upstream.held.0 += waiting.size.0;
                }
                let kept = request::Kept { instance: instance.clone(), handle, size: waiting.size };
                if is_wanted {
                    self.set_piece(piece, request::Piece::Done(kept));
                } else {
                    self.free(kept);
                }
            }
            gateway::PieceOutcome::Late => self.refuse(
                piece.request,
                refusal::Kind::DeadlineExceeded,
                "the time ran out before a stage had its turn",
                effects,
            ),
            gateway::PieceOutcome::InputGone => {
                self.set_piece(piece, request::Piece::Idle);
                self.remake_inputs(piece, effects);
            }
            gateway::PieceOutcome::NoRoom => {
                self.leave_alone(instance);
                self.set_piece(piece, request::Piece::Idle);
            }
            gateway::PieceOutcome::Failed => {
                self.set_piece(piece, request::Piece::Idle);
                self.count_remake(piece.request, effects);
            }
        }
    }

    /// Makes the inputs of a piece again.
    fn remake_inputs(&mut self, piece: &batch::PieceId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get_mut(&piece.request) else { return };
        let before = request.route.stages[piece.stage].after.clone();
        let mut given_up = Vec::new();
        for stage in before {
            given_up.extend(request.reset_stage(stage));
        }
        for kept in given_up {
            self.free(kept);
        }
        self.count_remake(piece.request, effects);
    }

    /// Makes the results again that the run itself needs.
    pub(super) fn remake_results(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let stages: Vec<_> = request.route.final_stages().collect();
        let mut given_up = Vec::new();
        for stage in stages {
            given_up.extend(request.reset_stage(stage));
        }
        for kept in given_up {
            self.free(kept);
        }
        self.count_remake(id, effects);
    }

    fn count_remake(&mut self, id: id::RequestId, effects: &mut Vec<gateway::Effect>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.remakes += 1;
        if request.remakes > MAX_REMAKES {
            self.refuse(id, refusal::Kind::StageFailed, "a stage failed too often", effects);
        }
    }

    fn requeue(&mut self, flight: &Flight, effects: &mut Vec<gateway::Effect>) {
        for waiting in &flight.pieces {
            self.set_piece(&waiting.id, request::Piece::Idle);
        }
        let mut requests: Vec<_> = flight.pieces.iter().map(|waiting| waiting.id.request).collect();
        requests.dedup();
        for request in requests {
            self.count_remake(request, effects);
        }
    }

    fn advance_all(&mut self, flight: &Flight, effects: &mut Vec<gateway::Effect>) {
        let mut requests: Vec<_> = flight.pieces.iter().map(|waiting| waiting.id.request).collect();
        requests.sort_unstable();
        requests.dedup();
        for request in requests {
            self.advance(request, effects);
        }
    }

    /// Drops calls none of whose pieces is wanted any more.
    pub(super) fn abandon_batches(&mut self, effects: &mut Vec<gateway::Effect>) {
        let unwanted: Vec<_> = self
            .batches
            .iter()
            .filter(|(_, flight)| {
                flight.pieces.iter().all(|w| !self.requests.contains_key(&w.id.request))
            })
            .map(|(id, _)| *id)
            .collect();
        for id in unwanted {
            self.drop_batch(id, effects);
        }
    }

    fn drop_batch(&mut self, id: batch::BatchId, effects: &mut Vec<gateway::Effect>) {
        let Some(flight) = self.batches.remove(&id) else { return };
        self.land(&flight);
        effects.push(gateway::Effect::CancelBatch(id));
    }

    /// Frees a result in one of the next calls to its upstream.
    pub(super) fn free(&mut self, kept: request::Kept) {
        let Some(upstream) = self.fleet.get_mut(&kept.instance) else { return };
        upstream.held.0 = upstream.held.0.saturating_sub(kept.size.0);
        self.freed.entry(kept.instance).or_default().push(kept.handle);
    }

    pub(super) fn flush_freed(&mut self, effects: &mut Vec<gateway::Effect>) {
        for (instance, handles) in std::mem::take(&mut self.freed) {
            let Some(upstream) = self.fleet.get(&instance) else { continue };
            let address = upstream.listed.address;
            effects.push(gateway::Effect::Free { instance, address, handles });
        }
    }

    /// Returns how much work stands before a request that has just arrived.
    pub(super) fn load_of(&self, request: &request::Request) -> admission::Load {
        let mut ends = vec![time::Duration::ZERO; request.stages.len()];
        for stage in 0..request.stages.len() {
            let terms = &request.route.stages[stage];
            let start = terms.after.iter().map(|before| ends[*before]).max().unwrap_or_default();
            ends[stage] = start + self.stage_time(&terms.service, request.stages[stage].len());
        }
        let stages = ends.into_iter().max().unwrap_or_default();
        admission::Load {
            estimate: stages
                + if request.stages.is_empty() { time::Duration::ZERO } else { RUN_TIME },
            target: request.route.target,
            budget: request.cutoff.saturating_sub(request.arrived),
        }
    }

    /// Returns the time that so many more pieces are expected to take at a service.
    fn stage_time(&self, service: &id::ServiceId, pieces: usize) -> time::Duration {
        let Some(terms) = self.table.services.get(service).and_then(|pool| pool.batching) else {
            return time::Duration::ZERO;
        };
        if pieces == 0 {
            return time::Duration::ZERO;
        }
        let now = self.now.mono;
        let reach = routing::Tier::Region;
        let usable = self
            .fleet
            .of(service)
            .filter(|(_, up)| up.tier <= reach && up.is_usable(now))
            .count()
            .max(1);
        let rounds = (self.queues.len(service) + pieces) / (terms.size * usable);
        let rounds = u32::try_from(rounds).unwrap_or(u32::MAX);
        terms.duration(terms.size) * rounds + terms.duration(pieces.min(terms.size))
    }
}

/// Returns the time that a request is expected to need after a stage.
fn time_after(table: &table::Table, request: &request::Request, stage: usize) -> time::Duration {
    let followers = (0..request.route.stages.len())
        .filter(|next| request.route.stages[*next].after.contains(&stage));
    let longest = followers
        .map(|next| {
            let pieces = request.stages[next].len();
            let terms = table
                .services
                .get(&request.route.stages[next].service)
                .and_then(|pool| pool.batching);
            let own = terms.map_or(time::Duration::ZERO, |terms| terms.duration(pieces));
            own + time_after(table, request, next)
        })
        .max();
    longest.unwrap_or(RUN_TIME)
}

fn outcome_name(outcome: &gateway::BatchOutcome) -> &'static str {
    match outcome {
        gateway::BatchOutcome::Done(_) => "done",
        gateway::BatchOutcome::Full => "full",
        gateway::BatchOutcome::Elsewhere => "elsewhere",
        gateway::BatchOutcome::Broken => "broken",
    }
}

fn names_of(items: &[gateway::Item]) -> String {
    let mut names: Vec<&str> = items.iter().map(|item| item.name.as_str()).collect();
    names.dedup();
    names.join(",")
}
