//! Batch calls: what goes into them, and how the gateway handles their results.

use std::time;

use crate::batch;
use crate::fleet;
use crate::gateway;
use crate::handoff;
use crate::id;
use crate::roster;
use crate::table;
use crate::telemetry;
use crate::unit;

/// Longest time that a call may wait at an upstream before the upstream starts it.
const MAX_QUEUE_TIME: time::Duration = time::Duration::from_millis(400);
/// Time without calls to an upstream that had no memory for results or no place for a call.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(60);

/// A batch call in flight.
#[derive(Debug)]
pub struct PendingBatch {
    instance: id::InstanceId,
    pool: roster::PoolId,
    /// Whether more pieces of the pool were queued when it was sent.
    had_backlog: bool,
    pieces: Vec<batch::QueuedPiece>,
    sent_at: time::Duration,
    expected_time: time::Duration,
    batching: table::Batching,
    /// Calls of others at the upstream when it was sent. They make its time useless as a sample of
    /// the upstream's slowness.
    foreign_calls: u32,
    /// Memory that was reserved for the results.
    result_size: unit::ByteSize,
}

impl gateway::Gateway {
    /// Sends batch calls for as long as pieces are queued and upstreams are idle.
    pub(super) fn dispatch(&mut self, effects: &mut Vec<gateway::Effect>) {
        let table = std::sync::Arc::clone(&self.table);
        for pool in self.queues.pools() {
            let Some(service) = table.services.get(&pool.service) else { continue };
            let Some(batching) = &service.batching else { continue };
            self.give_up_groups(&pool, batching, effects);
            while let Some(next) = self.queues.dispatch(self.now.mono, &pool, batching, &self.fleet)
            {
                self.send_batch(&pool, next, service, batching, effects);
            }
        }
    }

    /// Sends one batch call. Pieces whose group no longer exists are left out.
    fn send_batch(
        &mut self,
        pool: &roster::PoolId,
        next: batch::Dispatch,
        service: &table::Service,
        batching: &table::Batching,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let id = batch::BatchId(self.next_serial());
        let now = self.now.mono;
        let (items, pieces): (Vec<_>, Vec<_>) = next
            .pieces
            .into_iter()
            .filter_map(|piece| Some((self.batch_item(&piece.id)?, piece)))
            .unzip();
        let Some(upstream) = self.fleet.get_mut(&next.instance) else { return };
        if pieces.is_empty() {
            return;
        }
        let result_size = unit::ByteSize(pieces.iter().map(|piece| piece.result_size.0).sum());
        upstream.reserve_results(result_size);
        let held = upstream.held_bytes(now);
        let foreign_calls = upstream.foreign_calls(now);
        let (address, started_ms) = (upstream.entry.address, upstream.entry.started_ms);
        let is_limited = upstream.states_limit(now);
        let (slowness, pace) = (upstream.slowness(now), upstream.pace(now));
        self.fleet.record_sent(&next.instance, 0);
        self.fleet.record_limited_send(now, &next.instance);
        let timeout = next.expected_time.mul_f64(2.0 * slowness.max(1.0)) + MAX_QUEUE_TIME;
        let line = telemetry::Line::new("batch")
            .with("batch", id)
            .with("upstream", &next.instance)
            .with("service", upstream_service(&self.fleet, &next.instance))
            .with("pieces", pieces.len())
            .with("expected_ms", next.expected_time.as_millis())
            .with("foreign", foreign_calls)
            .with("pace", pace)
            .with("held_kb", held.0 / 1_000)
            .with("room_kb", next.free_memory.0 / 1_000)
            .with("left", next.remaining_pieces)
            .with("requests", external_ids(&items));
        effects.push(gateway::Effect::Log(line));
        metrics::histogram!("gateway_batch_pieces").record(items.len() as f64);
        effects.push(gateway::Effect::SendBatch(Box::new(gateway::BatchCall {
            batch: id,
            instance: next.instance.clone(),
            started_ms,
            address,
            max_connections: service.max_connections,
            items,
            timeout,
            is_limited,
        })));
        let call = PendingBatch {
            instance: next.instance,
            pieces,
            sent_at: now,
            expected_time: next.expected_time,
            pool: pool.clone(),
            had_backlog: next.remaining_pieces > 0,
            batching: *batching,
            foreign_calls,
            result_size,
        };
        self.batches.insert(id, call);
    }

    /// Returns a piece in the form in which upstreams receive it, or `None` if its group no longer
    /// exists.
    fn batch_item(&self, piece: &batch::PieceId) -> Option<gateway::BatchItem> {
        let group = self.groups.get(&piece.group)?;
        Some(gateway::BatchItem {
            external_id: group.external_id.clone(),
            stage: group.stage,
            piece: piece.piece,
            budget: group.deadline.saturating_sub(self.now.mono),
            input: group.input.clone(),
        })
    }

    /// Handles the end of a batch call.
    pub(super) fn batch_ended(
        &mut self,
        id: batch::BatchId,
        outcome: gateway::BatchOutcome,
        load: Option<fleet::Load>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(call) = self.batches.remove(&id) else { return };
        let now = self.now.mono;
        self.fleet.record_ended(&call.instance, 0);
        if let Some(upstream) = self.fleet.get_mut(&call.instance) {
            upstream.unreserve_results(call.result_size);
        }
        if let Some(load) = load {
            self.fleet.record_load(now, &call.instance, load);
        }
        let took = now.saturating_sub(call.sent_at);
        let completed =
            count_outcomes(&outcome, |piece| matches!(piece, gateway::PieceOutcome::Done(_)));
        let no_room = count_outcomes(&outcome, |piece| *piece == gateway::PieceOutcome::NoRoom);
        let line = telemetry::Line::new("batch_ended")
            .with("batch", id)
            .with("upstream", &call.instance)
            .with("outcome", outcome_name(&outcome))
            .with("made", completed)
            .with("no_room", no_room)
            .with("took_ms", took.as_millis());
        effects.push(gateway::Effect::Log(line));
        metrics::histogram!("gateway_batch_seconds").record(took.as_secs_f64());
        match outcome {
            gateway::BatchOutcome::Done(outcomes) if outcomes.len() == call.pieces.len() => {
                let expected = call.expected_time.as_secs_f64().max(0.001);
                let ratio = (call.foreign_calls == 0).then(|| took.as_secs_f64() / expected);
                self.fleet.record_success(now, &call.instance, ratio);
                self.record_rate(&call, took);
                for (queued, outcome) in call.pieces.iter().zip(outcomes) {
                    self.piece_ended(&call, queued, outcome);
                }
                if no_room > 0 {
                    self.record_full(&call, completed > 0);
                }
            }
            gateway::BatchOutcome::Full => {
                if let Some(upstream) = self.fleet.get_mut(&call.instance) {
                    upstream.backoff_until = now + FULL_BACKOFF;
                }
                self.pieces_failed(&call);
            }
            _ => {
                self.record_upstream_failure(&call.instance, effects);
                self.assume_restarted(&call.instance, effects);
                self.pieces_failed(&call);
            }
        }
        self.finish_groups(&call, effects);
    }

    /// Records the rate of a pool from a call. Only calls with a backlog count, as others are not
    /// full.
    fn record_rate(&mut self, call: &PendingBatch, took: time::Duration) {
        if call.had_backlog {
            let rate = self.pool_rates.entry(call.pool.clone()).or_default();
            rate.record(&call.batching, call.pieces.len(), took);
            self.queues.record_rate(&call.pool, *rate);
        }
    }

    /// Records that the upstream had no memory for some pieces of a call. Either results are larger
    /// than their typical size, or other gateways keep results there. If no piece was computed, the
    /// upstream gets no calls for a while.
    fn record_full(&mut self, call: &PendingBatch, has_completed: bool) {
        let now = self.now.mono;
        let Some(upstream) = self.fleet.get_mut(&call.instance) else { return };
        upstream.record_full(now, call.batching.result_memory);
        if !has_completed {
            upstream.backoff_until = now + FULL_BACKOFF;
        }
    }

    /// Handles the failure of a whole call: all of its pieces failed.
    fn pieces_failed(&mut self, call: &PendingBatch) {
        for piece in &call.pieces {
            self.piece_failed(piece.id);
        }
    }

    /// Passes on the groups of which all pieces have an outcome.
    fn finish_groups(&mut self, call: &PendingBatch, effects: &mut Vec<gateway::Effect>) {
        let mut groups: Vec<_> = call.pieces.iter().map(|piece| piece.id.group).collect();
        groups.sort_unstable();
        groups.dedup();
        for group in groups {
            self.finish_group(group, effects);
        }
    }

    /// Records a failed call of an upstream, which may eject it.
    pub(super) fn record_upstream_failure(
        &mut self,
        instance: &id::InstanceId,
        effects: &mut Vec<gateway::Effect>,
    ) {
        if self.fleet.record_failure(self.now.mono, instance) {
            let line = telemetry::Line::new("upstream_ejected").with("upstream", instance);
            effects.push(gateway::Effect::Log(line));
        }
    }

    /// Handles the outcome of one piece.
    fn piece_ended(
        &mut self,
        call: &PendingBatch,
        queued: &batch::QueuedPiece,
        outcome: gateway::PieceOutcome,
    ) {
        let now = self.now.mono;
        let piece = queued.id;
        match outcome {
            gateway::PieceOutcome::Done(handle) => {
                let instance = call.instance.clone();
                if let Some(upstream) = self.fleet.get_mut(&instance) {
                    upstream.add_result(
                        handle.clone(),
                        queued.result_size,
                        now + call.batching.retention,
                    );
                }
                let Some(group) = self.groups.get_mut(&piece.group) else {
                    self.free_handle(instance, handle, queued.result_size);
                    return;
                };
                let outcome = handoff::Outcome::Done { instance, handle };
                group.pieces.insert(piece.piece, Some(outcome));
            }
            gateway::PieceOutcome::InputGone => {
                if let Some(group) = self.groups.get_mut(&piece.group) {
                    group.pieces.insert(piece.piece, Some(handoff::Outcome::InputGone));
                }
            }
            gateway::PieceOutcome::Late => {
                if let Some(group) = self.groups.get_mut(&piece.group) {
                    group.pieces.insert(piece.piece, Some(handoff::Outcome::Failed));
                }
            }
            gateway::PieceOutcome::NoRoom => self.requeue(piece),
            gateway::PieceOutcome::Failed => self.piece_failed(piece),
        }
    }
}

fn upstream_service(fleet: &fleet::Fleet, instance: &id::InstanceId) -> String {
    fleet.get(instance).map(|up| up.entry.service.to_string()).unwrap_or_default()
}

/// Returns the number of pieces whose outcome satisfies a condition.
fn count_outcomes(
    outcome: &gateway::BatchOutcome,
    is_counted: impl Fn(&gateway::PieceOutcome) -> bool,
) -> usize {
    match outcome {
        gateway::BatchOutcome::Done(pieces) => {
            pieces.iter().filter(|piece| is_counted(piece)).count()
        }
        _ => 0,
    }
}

fn outcome_name(outcome: &gateway::BatchOutcome) -> &'static str {
    match outcome {
        gateway::BatchOutcome::Done(_) => "done",
        gateway::BatchOutcome::Full => "full",
        gateway::BatchOutcome::WrongInstance => "elsewhere",
        gateway::BatchOutcome::Broken => "broken",
    }
}

/// Returns the request ids of a batch for logs, each one once if its pieces are adjacent.
fn external_ids(items: &[gateway::BatchItem]) -> String {
    let mut ids: Vec<&str> = items.iter().map(|item| item.external_id.as_str()).collect();
    ids.dedup();
    ids.join(",")
}
