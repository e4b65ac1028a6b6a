//! Groups of pieces: made in this gateway's own batches, or handed over to the gateway that forms
//! the batches of their pool.

use std::collections;
use std::net;
use std::time;

use crate::batch;
use crate::gateway;
use crate::gateway::request;
use crate::handoff;
use crate::id;
use crate::roster;
use crate::telemetry;
use crate::unit;

/// Times that pieces of one group may fail before it is given back.
const MAX_FAILURES: u32 = 6;
/// Age up to which another gateway's word on pieces to come is believed.
const MAX_UPCOMING_AGE: time::Duration = time::Duration::from_secs(1);
/// Time after the end of a request for which its pieces are still waited for, so that it is the
/// request that ends and not the gateway that is taken for lost.
const HANDOVER_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Silence of a gateway that holds pieces, after which it is asked whether it is alive.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Who waits for a group.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// A request of this gateway.
    Request(id::RequestId),
    /// Another gateway.
    Peer(gateway::HandoverId),
}

/// Pieces of one stage of one request.
#[derive(Clone, Debug)]
pub struct Group {
    /// Who waits for it.
    pub owner: Owner,
    /// The caller's id of the request.
    pub external_id: String,
    /// Upstreams that make it.
    pub pool: roster::PoolId,
    /// Index of the stage.
    pub stage: usize,
    /// Moment by which it should be done if the request is to be on time.
    pub due: time::Duration,
    /// Moment at which the request's time is over.
    pub deadline: time::Duration,
    /// Rank of the request; 0 is the highest.
    pub rank: u8,
    /// Usual size of one result.
    pub result_size: unit::ByteSize,
    /// What the pieces work on.
    pub input: gateway::PieceInput,
    /// Failure domain that keeps what they work on, if that is much.
    pub input_domain: Option<id::DomainId>,
    /// The pieces, with their outcomes once they have them.
    pub pieces: collections::BTreeMap<u32, Option<handoff::Outcome>>,
    /// Times that pieces failed.
    pub failures: u32,
    /// Gateway that it was handed over to.
    pub handed_to: Option<id::InstanceId>,
}

/// What is known of a gateway that holds groups of this one.
#[derive(Debug)]
pub struct Holder {
    address: net::SocketAddr,
    last_answer: time::Duration,
    is_probed: bool,
}

impl gateway::Gateway {
    /// Has a group made.
    pub(super) fn start_group(
        &mut self,
        id: batch::GroupId,
        group: Group,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let batcher = self.roster.batcher(self.now.mono, &group.pool, &self.settings.regions);
        let peer = batcher.filter(|peer| peer.instance != self.settings.instance).cloned();
        self.groups.insert(id, group);
        match peer {
            Some(peer) => self.hand_over(id, &peer, effects),
            None => self.enqueue(id),
        }
    }

    fn hand_over(
        &mut self,
        id: batch::GroupId,
        peer: &roster::Peer,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let now = self.now.mono;
        let Some(pool) = self.groups.get(&id).map(|group| group.pool.clone()) else { return };
        let pledged = self.own_upcoming(&pool);
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.handed_to = Some(peer.instance.clone());
        let heard = now.saturating_sub(PROBE_INTERVAL / 2);
        let fresh = Holder { address: peer.address, last_answer: heard, is_probed: false };
        let holder = self.holders.entry(peer.instance.clone()).or_insert(fresh);
        holder.address = peer.address;
        holder.last_answer = holder.last_answer.max(heard);
        let due_ms = i64::try_from(group.due.as_millis()).unwrap_or(i64::MAX)
            - i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let budget = group.deadline.saturating_sub(now);
        let message = handoff::Handover {
            version: handoff::VERSION,
            from: self.settings.instance.clone(),
            upcoming: pledged,
            external_id: group.external_id.clone(),
            service: group.pool.service.clone(),
            region: group.pool.region.clone(),
            stage: group.stage,
            pieces: group.pieces.keys().copied().collect(),
            due_ms,
            budget_ms: budget.into(),
            rank: group.rank,
            result_size: group.result_size,
            input: group.input.clone(),
            input_domain: group.input_domain.clone(),
        };
        let line = telemetry::Line::new("hand_over")
            .with("request", &group.external_id)
            .with("group", id)
            .with("stage", group.stage)
            .with("pieces", group.pieces.len())
            .with("due_ms", due_ms)
            .with("peer", &peer.instance);
        effects.push(gateway::Effect::Log(line));
        effects.push(gateway::Effect::HandOver {
            group: id,
            address: peer.address,
            message: Box::new(message),
            timeout: budget + HANDOVER_MARGIN,
        });
    }

    fn enqueue(&mut self, id: batch::GroupId) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.handed_to = None;
        for (piece, outcome) in &group.pieces {
            if outcome.is_none() {
                let piece = batch::PieceId { group: id, piece: *piece };
                self.queues.push(&group.pool, group.queued_piece(piece));
            }
        }
    }

    /// Takes in pieces that another gateway hands over.
    pub(super) fn handover_received(
        &mut self,
        ticket: gateway::HandoverId,
        message: handoff::Handover,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let now = self.now.mono;
        let late = time::Duration::from_millis(message.due_ms.unsigned_abs());
        let due = if message.due_ms < 0 { now.saturating_sub(late) } else { now + late };
        let id = batch::GroupId(self.next_serial());
        let line = telemetry::Line::new("take_over")
            .with("request", &message.external_id)
            .with("group", id)
            .with("stage", message.stage)
            .with("pieces", message.pieces.len())
            .with("due_ms", message.due_ms);
        effects.push(gateway::Effect::Log(line));
        let group = Group {
            owner: Owner::Peer(ticket),
            external_id: message.external_id,
            pool: roster::PoolId { service: message.service, region: message.region },
            stage: message.stage,
            due,
            deadline: now + message.budget_ms.duration(),
            rank: message.rank,
            result_size: message.result_size,
            input: message.input,
            input_domain: message.input_domain,
            pieces: message.pieces.into_iter().map(|piece| (piece, None)).collect(),
            failures: 0,
            handed_to: None,
        };
        let pledge = (group.pool.clone(), message.from);
        self.reported_upcoming.insert(pledge, (now, message.upcoming));
        self.handovers.insert(ticket, id);
        self.groups.insert(id, group);
        self.enqueue(id);
    }

    /// Returns the pieces of own requests that will come to a pool later.
    fn own_upcoming(&self, pool: &roster::PoolId) -> batch::PiecesByRank {
        let mut pledged = batch::PiecesByRank::default();
        for request in self.requests.values().filter(|request| request.region == pool.region) {
            let pieces = request.pledged(self.now.mono, &pool.service);
            pledged[batch::rank_index(request.rank)] += pieces;
        }
        pledged
    }

    /// Returns the pieces of all gateways' requests that will come to a pool later.
    pub(super) fn all_upcoming(&self, pool: &roster::PoolId) -> batch::PiecesByRank {
        let now = self.now.mono;
        let mut pledged = self.own_upcoming(pool);
        for ((pledged_pool, _), (told, pieces)) in &self.reported_upcoming {
            if pledged_pool == pool && now.saturating_sub(*told) < MAX_UPCOMING_AGE {
                for (sum, more) in pledged.iter_mut().zip(pieces) {
                    *sum += more;
                }
            }
        }
        pledged
    }

    /// Drops the pieces that another gateway does not wait for any more.
    pub(super) fn handover_cancelled(&mut self, ticket: gateway::HandoverId) {
        if let Some(id) = self.handovers.remove(&ticket) {
            self.drop_group(id);
        }
    }

    fn drop_group(&mut self, id: batch::GroupId) -> Option<Group> {
        let group = self.groups.remove(&id)?;
        self.queues.remove_group(&group.pool, id);
        self.free_outcomes(&group);
        Some(group)
    }

    /// Drops all groups of a request.
    pub(super) fn drop_groups(
        &mut self,
        request: &request::Request,
        effects: &mut Vec<gateway::Effect>,
    ) {
        for id in request.groups() {
            let dropped = self.drop_group(id);
            if dropped.is_some_and(|group| group.handed_to.is_some()) {
                effects.push(gateway::Effect::CancelHandover(id));
            }
        }
    }

    /// Takes in what became of a group that was handed over; nothing if its holder was lost.
    pub(super) fn handover_ended(
        &mut self,
        id: batch::GroupId,
        outcomes: Option<handoff::HandoverResult>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let Some(peer) = group.handed_to.take() else { return };
        match outcomes {
            Some(outcomes) if outcomes.outcomes.len() == group.pieces.len() => {
                for (piece, outcome) in group.pieces.values_mut().zip(outcomes.outcomes) {
                    *piece = Some(outcome);
                }
                let pool = group.pool.clone();
                if let Some(holder) = self.holders.get_mut(&peer) {
                    holder.last_answer = self.now.mono;
                }
                self.reported_waits.insert(pool, (self.now.mono, outcomes.wait));
                self.finish_group(id, effects);
            }
            _ => {
                self.peer_lost(&peer, effects);
                self.enqueue(id);
            }
        }
    }

    /// Takes note that a gateway does not answer, and makes what it holds here.
    fn peer_lost(&mut self, peer: &id::InstanceId, effects: &mut Vec<gateway::Effect>) {
        self.roster.mark_suspect(self.now.mono, peer);
        self.holders.remove(peer);
        let held: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| group.handed_to.as_ref() == Some(peer))
            .map(|(id, _)| *id)
            .collect();
        let line = telemetry::Line::new("peer_lost").with("peer", peer).with("groups", held.len());
        effects.push(gateway::Effect::Log(line));
        for id in held {
            effects.push(gateway::Effect::CancelHandover(id));
            self.enqueue(id);
        }
    }

    /// Asks silent gateways that hold pieces whether they are alive. One that is about to stop is not
    /// listed any more, but finishes what it holds.
    pub(super) fn probe_holders(&mut self, effects: &mut Vec<gateway::Effect>) {
        let now = self.now.mono;
        let holding: collections::BTreeSet<_> =
            self.groups.values().filter_map(|group| group.handed_to.clone()).collect();
        for peer in holding {
            let Some(holder) = self.holders.get_mut(&peer) else { continue };
            if !holder.is_probed && now.saturating_sub(holder.last_answer) > PROBE_INTERVAL {
                holder.is_probed = true;
                effects.push(gateway::Effect::ProbePeer { peer, address: holder.address });
            }
        }
    }

    /// Takes in whether a gateway is alive.
    pub(super) fn peer_probed(
        &mut self,
        peer: &id::InstanceId,
        is_alive: bool,
        effects: &mut Vec<gateway::Effect>,
    ) {
        if !is_alive {
            self.peer_lost(peer, effects);
            return;
        }
        if let Some(holder) = self.holders.get_mut(peer) {
            holder.is_probed = false;
            holder.last_answer = self.now.mono;
        }
    }

    /// Notes a piece that failed; it is made again, unless its group failed too often.
    pub(super) fn piece_failed(&mut self, piece: batch::PieceId) {
        let now = self.now.mono;
        let Some(group) = self.groups.get_mut(&piece.group) else { return };
        group.failures += 1;
        if group.failures > MAX_FAILURES || group.deadline <= now {
            group.pieces.insert(piece.piece, Some(handoff::Outcome::Failed));
        } else {
            self.queues.push_started(&group.pool, group.queued_piece(piece));
        }
    }

    /// Makes a piece wait again for which there was no room.
    pub(super) fn requeue(&mut self, piece: batch::PieceId) {
        if let Some(group) = self.groups.get(&piece.group) {
            self.queues.push_started(&group.pool, group.queued_piece(piece));
        }
    }

    /// Frees one result.
    pub(super) fn free_handle(
        &mut self,
        instance: id::InstanceId,
        handle: gateway::Handle,
        size: unit::ByteSize,
    ) {
        self.free_result(request::StoredResult { instance, handle, size });
    }

    /// Gives a group to its owner once all its pieces have outcomes.
    pub(super) fn finish_group(&mut self, id: batch::GroupId, effects: &mut Vec<gateway::Effect>) {
        if self.groups.get(&id).is_none_or(|group| group.pieces.values().any(Option::is_none)) {
            return;
        }
        let Some(group) = self.groups.remove(&id) else { return };
        match group.owner {
            Owner::Request(request) => self.stage_finished(request, &group, effects),
            Owner::Peer(ticket) => {
                self.handovers.remove(&ticket);
                let pieces = group.pieces.into_values().flatten().collect();
                let wait = self.own_wait(&group.pool);
                let outcomes = handoff::HandoverResult { outcomes: pieces, wait };
                effects.push(gateway::Effect::AnswerHandover(ticket, outcomes));
            }
        }
    }

    /// Frees a result: at its upstream, through the gateway that keeps count of its memory.
    pub(super) fn free_result(&mut self, kept: request::StoredResult) {
        self.unneeded_results.entry(kept.instance).or_default().push(kept.handle);
    }

    pub(super) fn flush_freed(&mut self, effects: &mut Vec<gateway::Effect>) {
        for (instance, handles) in std::mem::take(&mut self.unneeded_results) {
            let Some(upstream) = self.fleet.get(&instance) else { continue };
            let listed = &upstream.entry;
            let pool = self.settings.regions.get(&listed.domain).map(|region| roster::PoolId {
                service: listed.service.clone(),
                region: region.clone(),
            });
            let upstream_address = listed.address;
            let batcher = pool
                .and_then(|pool| self.roster.batcher(self.now.mono, &pool, &self.settings.regions))
                .filter(|peer| peer.instance != self.settings.instance);
            if let Some(peer) = batcher {
                let message = handoff::Release { version: handoff::VERSION, instance, handles };
                effects.push(gateway::Effect::ForwardRelease { address: peer.address, message });
            } else {
                let address = upstream_address;
                effects.push(gateway::Effect::FreeResults { instance, address, handles });
            }
        }
    }

    /// Frees results on behalf of another gateway.
    pub(super) fn release_received(
        &mut self,
        message: handoff::Release,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(upstream) = self.fleet.get(&message.instance) else { return };
        let address = upstream.entry.address;
        let handoff::Release { instance, handles, .. } = message;
        effects.push(gateway::Effect::FreeResults { instance, address, handles });
    }

    /// Takes note that an upstream has freed results; a call sent before could find it full.
    pub(super) fn results_freed(&mut self, instance: &id::InstanceId, handles: &[gateway::Handle]) {
        if let Some(upstream) = self.fleet.get_mut(instance) {
            for handle in handles {
                upstream.remove_result(handle);
            }
        }
    }
}

impl Group {
    /// Returns the entry of a piece in a queue.
    fn queued_piece(&self, id: batch::PieceId) -> batch::QueuedPiece {
        let inputs = self.input_domain.clone();
        batch::QueuedPiece {
            id,
            due: self.due,
            rank: self.rank,
            result_size: self.result_size,
            input_domain: inputs,
        }
    }
}
