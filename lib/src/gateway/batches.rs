//! Calls with batches of pieces: what goes into them, and what follows from how they end.

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

/// Longest time that a call may wait at an upstream for its turn, beside its own time.
const MAX_TURN_TIME: time::Duration = time::Duration::from_millis(400);
/// Pause before an upstream without room or places is asked again.
const FULL_BACKOFF: time::Duration = time::Duration::from_millis(60);

/// A call with a batch in flight.
#[derive(Debug)]
pub struct PendingBatch {
    instance: id::InstanceId,
    pool: roster::PoolId,
    /// Whether pieces had to wait for another call.
    had_backlog: bool,
    pieces: Vec<batch::QueuedPiece>,
    sent_at: time::Duration,
    expected_time: time::Duration,
    batching: table::Batching,
    foreign_calls: u32,
    result_size: unit::ByteSize,
}

impl gateway::Gateway {
    /// Makes all calls with batches for which pieces wait and upstreams are free.
    pub(super) fn dispatch(&mut self, effects: &mut Vec<gateway::Effect>) {
        let table = std::sync::Arc::clone(&self.table);
        for id in self.queues.pools() {
            let Some(pool) = table.services.get(&id.service) else { continue };
            let Some(terms) = &pool.batching else { continue };
            while let Some(next) = self.queues.dispatch(self.now.mono, &id, terms, &self.fleet) {
                self.send_batch(&id, next, pool, terms, effects);
            }
        }
    }

    fn send_batch(
        &mut self,
        pool_id: &roster::PoolId,
        next: batch::Dispatch,
        pool: &table::Service,
        terms: &table::Batching,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let id = batch::BatchId(self.next_serial());
        let now = self.now.mono;
        let (items, pieces): (Vec<_>, Vec<_>) = next
            .pieces
            .into_iter()
            .filter_map(|waiting| Some((self.item(&waiting.id)?, waiting)))
            .unzip();
        let Some(upstream) = self.fleet.get_mut(&next.instance) else { return };
        if pieces.is_empty() {
            return;
        }
        let size = unit::ByteSize(pieces.iter().map(|waiting| waiting.result_size.0).sum());
        upstream.reserve_results(size);
        let held = upstream.held_bytes(now);
        let foreign = upstream.foreign_calls(now);
        let address = upstream.entry.address;
        let slowness = upstream.slowness(now);
        self.fleet.record_sent(&next.instance, 0);
        let patience = next.expected_time.mul_f64(2.0 * slowness.max(1.0)) + MAX_TURN_TIME;
        let line = telemetry::Line::new("batch")
            .with("batch", id)
            .with("upstream", &next.instance)
            .with("service", upstream_service(&self.fleet, &next.instance))
            .with("pieces", pieces.len())
            .with("expected_ms", next.expected_time.as_millis())
            .with("foreign", foreign)
            .with("held_kb", held.0 / 1_000)
            .with("room_kb", next.free_memory.0 / 1_000)
            .with("left", next.remaining_pieces)
            .with("requests", external_ids(&items));
        effects.push(gateway::Effect::Log(line));
        metrics::histogram!("gateway_batch_pieces").record(items.len() as f64);
        effects.push(gateway::Effect::SendBatch(Box::new(gateway::BatchCall {
            batch: id,
            instance: next.instance.clone(),
            address,
            max_connections: pool.max_connections,
            items,
            timeout: patience,
        })));
        let flight = PendingBatch {
            instance: next.instance,
            pieces,
            sent_at: now,
            expected_time: next.expected_time,
            pool: pool_id.clone(),
            had_backlog: next.remaining_pieces > 0,
            batching: *terms,
            foreign_calls: foreign,
            result_size: size,
        };
        self.batches.insert(id, flight);
    }

    /// Returns what an upstream has to know of a piece, if it is still wanted.
    fn item(&self, piece: &batch::PieceId) -> Option<gateway::BatchItem> {
        let group = self.groups.get(&piece.group)?;
        Some(gateway::BatchItem {
            external_id: group.external_id.clone(),
            stage: group.stage,
            piece: piece.piece,
            budget: group.deadline.saturating_sub(self.now.mono),
            input: group.input.clone(),
        })
    }

    pub(super) fn batch_ended(
        &mut self,
        id: batch::BatchId,
        outcome: gateway::BatchOutcome,
        load: Option<fleet::Load>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(flight) = self.batches.remove(&id) else { return };
        let now = self.now.mono;
        self.fleet.record_ended(&flight.instance, 0);
        if let Some(upstream) = self.fleet.get_mut(&flight.instance) {
            upstream.unreserve_results(flight.result_size);
        }
        if let Some(load) = load {
            self.fleet.record_load(now, &flight.instance, load);
        }
        let took = now.saturating_sub(flight.sent_at);
        let made =
            count_outcomes(&outcome, |piece| matches!(piece, gateway::PieceOutcome::Done(_)));
        let no_room = count_outcomes(&outcome, |piece| *piece == gateway::PieceOutcome::NoRoom);
        let line = telemetry::Line::new("batch_ended")
            .with("batch", id)
            .with("upstream", &flight.instance)
            .with("outcome", outcome_name(&outcome))
            .with("made", made)
            .with("no_room", no_room)
            .with("took_ms", took.as_millis());
        effects.push(gateway::Effect::Log(line));
        metrics::histogram!("gateway_batch_seconds").record(took.as_secs_f64());
        match outcome {
            gateway::BatchOutcome::Done(outcomes) if outcomes.len() == flight.pieces.len() => {
                let expected = flight.expected_time.as_secs_f64().max(0.001);
                let ratio = (flight.foreign_calls == 0).then(|| took.as_secs_f64() / expected);
                self.fleet.record_success(now, &flight.instance, ratio);
                self.record_rate(&flight, took);
                for (waiting, outcome) in flight.pieces.iter().zip(outcomes) {
                    self.piece_ended(&flight, waiting, outcome);
                }
                if no_room > 0 {
                    self.record_full(&flight, made > 0);
                }
            }
            gateway::BatchOutcome::Full => {
                if let Some(upstream) = self.fleet.get_mut(&flight.instance) {
                    upstream.backoff_until = now + FULL_BACKOFF;
                }
                self.pieces_failed(&flight);
            }
            _ => {
                self.record_upstream_failure(&flight.instance, effects);
                self.pieces_failed(&flight);
            }
        }
        self.close_groups(&flight, effects);
    }

    fn record_rate(&mut self, flight: &PendingBatch, took: time::Duration) {
        if flight.had_backlog {
            let pace = self.pool_rates.entry(flight.pool.clone()).or_default();
            pace.record(&flight.batching, flight.pieces.len(), took);
        }
    }

    /// Takes note that some pieces of a call found no room: results are not all of their usual size,
    /// or others have some there too.
    fn record_full(&mut self, flight: &PendingBatch, has_made: bool) {
        let now = self.now.mono;
        let Some(upstream) = self.fleet.get_mut(&flight.instance) else { return };
        upstream.record_full(now, flight.batching.result_memory);
        if !has_made {
            upstream.backoff_until = now + FULL_BACKOFF;
        }
    }

    fn pieces_failed(&mut self, flight: &PendingBatch) {
        for waiting in &flight.pieces {
            self.piece_failed(waiting.id);
        }
    }

    fn close_groups(&mut self, flight: &PendingBatch, effects: &mut Vec<gateway::Effect>) {
        let mut groups: Vec<_> = flight.pieces.iter().map(|waiting| waiting.id.group).collect();
        groups.sort_unstable();
        groups.dedup();
        for group in groups {
            self.finish_group(group, effects);
        }
    }

    /// Takes note of a failure of an upstream.
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

    fn piece_ended(
        &mut self,
        flight: &PendingBatch,
        waiting: &batch::QueuedPiece,
        outcome: gateway::PieceOutcome,
    ) {
        let now = self.now.mono;
        let piece = waiting.id;
        match outcome {
            gateway::PieceOutcome::Done(handle) => {
                let instance = flight.instance.clone();
                if let Some(upstream) = self.fleet.get_mut(&instance) {
                    upstream.add_result(
                        handle.clone(),
                        waiting.result_size,
                        now + flight.batching.retention,
                    );
                }
                let Some(group) = self.groups.get_mut(&piece.group) else {
                    self.free_handle(instance, handle, waiting.result_size);
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

/// Returns how many pieces of a call ended in a way.
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

fn external_ids(items: &[gateway::BatchItem]) -> String {
    let mut names: Vec<&str> = items.iter().map(|item| item.external_id.as_str()).collect();
    names.dedup();
    names.join(",")
}
