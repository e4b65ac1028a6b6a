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
const TURN_TIME: time::Duration = time::Duration::from_millis(400);
/// Pause before an upstream without room or places is asked again.
const FULL_PAUSE: time::Duration = time::Duration::from_millis(60);

/// A call with a batch in flight.
#[derive(Debug)]
pub struct Flight {
    instance: id::InstanceId,
    pool: roster::PoolId,
    /// Whether pieces had to wait for another call.
    was_short: bool,
    pieces: Vec<batch::QueuedPiece>,
    sent: time::Duration,
    expected: time::Duration,
    terms: table::Batching,
    foreign: u32,
    size: unit::ByteSize,
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
        upstream.expect_results(size);
        let held = upstream.held(now);
        let foreign = upstream.foreign(now);
        let address = upstream.entry.address;
        let slowness = upstream.slowness(now);
        self.fleet.sent(&next.instance, 0);
        let patience = next.expected.mul_f64(2.0 * slowness.max(1.0)) + TURN_TIME;
        let line = telemetry::Line::new("batch")
            .with("batch", id)
            .with("upstream", &next.instance)
            .with("service", upstream_service(&self.fleet, &next.instance))
            .with("pieces", pieces.len())
            .with("expected_ms", next.expected.as_millis())
            .with("foreign", foreign)
            .with("held_kb", held.0 / 1_000)
            .with("room_kb", next.room.0 / 1_000)
            .with("left", next.left)
            .with("requests", names_of(&items));
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
        let flight = Flight {
            instance: next.instance,
            pieces,
            sent: now,
            expected: next.expected,
            pool: pool_id.clone(),
            was_short: next.left > 0,
            terms: *terms,
            foreign,
            size,
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
            budget: group.cutoff.saturating_sub(self.now.mono),
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
        self.fleet.ended(&flight.instance, 0);
        if let Some(upstream) = self.fleet.get_mut(&flight.instance) {
            upstream.settle_results(flight.size);
        }
        if let Some(load) = load {
            self.fleet.report(now, &flight.instance, load);
        }
        let took = now.saturating_sub(flight.sent);
        let made = count(&outcome, |piece| matches!(piece, gateway::PieceOutcome::Done(_)));
        let no_room = count(&outcome, |piece| *piece == gateway::PieceOutcome::NoRoom);
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
                let expected = flight.expected.as_secs_f64().max(0.001);
                let ratio = (flight.foreign == 0).then(|| took.as_secs_f64() / expected);
                self.fleet.succeeded(now, &flight.instance, ratio);
                self.learn_pace(&flight, took);
                for (waiting, outcome) in flight.pieces.iter().zip(outcomes) {
                    self.piece_ended(&flight, waiting, outcome);
                }
                if no_room > 0 {
                    self.note_full(&flight, made > 0);
                }
            }
            gateway::BatchOutcome::Full => {
                if let Some(upstream) = self.fleet.get_mut(&flight.instance) {
                    upstream.full_until = now + FULL_PAUSE;
                }
                self.pieces_failed(&flight);
            }
            _ => {
                self.note_failure(&flight.instance, effects);
                self.pieces_failed(&flight);
            }
        }
        self.close_groups(&flight, effects);
    }

    fn learn_pace(&mut self, flight: &Flight, took: time::Duration) {
        if flight.was_short {
            let pace = self.paces.entry(flight.pool.clone()).or_default();
            pace.learn(&flight.terms, flight.pieces.len(), took);
        }
    }

    /// Takes note that some pieces of a call found no room: results are not all of their usual size,
    /// or others have some there too.
    fn note_full(&mut self, flight: &Flight, has_made: bool) {
        let now = self.now.mono;
        let Some(upstream) = self.fleet.get_mut(&flight.instance) else { return };
        upstream.note_full(now, flight.terms.result_memory);
        if !has_made {
            upstream.full_until = now + FULL_PAUSE;
        }
    }

    fn pieces_failed(&mut self, flight: &Flight) {
        for waiting in &flight.pieces {
            self.piece_failed(waiting.id);
        }
    }

    fn close_groups(&mut self, flight: &Flight, effects: &mut Vec<gateway::Effect>) {
        let mut groups: Vec<_> = flight.pieces.iter().map(|waiting| waiting.id.group).collect();
        groups.sort_unstable();
        groups.dedup();
        for group in groups {
            self.close_group(group, effects);
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
        flight: &Flight,
        waiting: &batch::QueuedPiece,
        outcome: gateway::PieceOutcome,
    ) {
        let now = self.now.mono;
        let piece = waiting.id;
        match outcome {
            gateway::PieceOutcome::Done(handle) => {
                let instance = flight.instance.clone();
                if let Some(upstream) = self.fleet.get_mut(&instance) {
                    upstream.keep(
                        handle.clone(),
                        waiting.result_size,
                        now + flight.terms.retention,
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
fn count(
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

fn names_of(items: &[gateway::BatchItem]) -> String {
    let mut names: Vec<&str> = items.iter().map(|item| item.external_id.as_str()).collect();
    names.dedup();
    names.join(",")
}
