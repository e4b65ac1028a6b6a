//! Groups of pieces: run in batches of this gateway, or handed over to the gateway that forms the
//! batches of their pool.

use std::collections;
use std::net;
use std::time;

use crate::batch;
use crate::gateway;
use crate::gateway::request;
use crate::handoff;
use crate::id;
use crate::roster;
use crate::shedding::loss;
use crate::telemetry;
use crate::unit;

/// Number of failures of pieces of one group that are retried. Pieces that fail after that are
/// given up.
const MAX_FAILURES: u32 = 6;
/// Age from which another gateway's report on its upcoming pieces is ignored.
const MAX_UPCOMING_AGE: time::Duration = time::Duration::from_secs(1);
/// Time beyond the deadline of a request for which a handover is awaited, so that the request times
/// out first and the peer is not mistaken for a lost one.
const HANDOVER_MARGIN: time::Duration = time::Duration::from_secs(1);
/// Time without an answer from a gateway that holds pieces, after which it is probed.
const PROBE_INTERVAL: time::Duration = time::Duration::from_millis(250);

/// Where the results of a group go.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Owner {
    /// To a request of this gateway.
    Request(id::RequestId),
    /// To the gateway that handed the pieces over.
    Peer(gateway::HandoverId),
}

/// Pieces of one stage of one request that are being run.
#[derive(Clone, Debug)]
pub struct Group {
    /// Where its results go.
    pub owner: Owner,
    /// Request id that the caller gave, for logs and upstreams.
    pub external_id: String,
    /// Pool whose upstreams run the pieces.
    pub pool: roster::PoolId,
    /// Index of the stage in the route.
    pub stage: usize,
    /// Time by which the stage should end for the request to be on time.
    pub due: time::Duration,
    /// Time from which the results are useless to the request.
    pub deadline: time::Duration,
    /// What the loss of the request is judged by; `None` if requests are not shed by loss.
    pub terms: Option<loss::Terms>,
    /// Rank of the request; 0 is the highest priority.
    pub rank: u8,
    /// Typical size of one result.
    pub result_size: unit::ByteSize,
    /// What the pieces are computed from.
    pub input: gateway::PieceInput,
    /// Failure domain that the pieces should run in, as it holds most of the input or the upstream
    /// that reads the results; `None` if these are small.
    pub near_domain: Option<id::DomainId>,
    /// Outcome of each piece by its index; `None` while it is unfinished.
    pub pieces: collections::BTreeMap<u32, Option<handoff::Outcome>>,
    /// Number of failures of pieces so far.
    pub failures: u32,
    /// Gateway that the group was handed over to; `None` if it is run here.
    pub handed_to: Option<id::InstanceId>,
}

/// State of a gateway that holds groups of this one.
#[derive(Debug)]
pub struct Holder {
    address: net::SocketAddr,
    /// When it last answered. On a handover it is treated as if it had answered recently.
    last_answer: time::Duration,
    /// Whether a probe is under way.
    is_probed: bool,
}

impl gateway::Gateway {
    /// Hands a group over to the gateway that forms the batches of its pool, or queues it here.
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

    /// Hands a group over to another gateway.
    fn hand_over(
        &mut self,
        id: batch::GroupId,
        peer: &roster::Peer,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let now = self.now.mono;
        let Some(pool) = self.groups.get(&id).map(|group| group.pool.clone()) else { return };
        let upcoming = self.local_upcoming(&pool);
        let Some(group) = self.groups.get_mut(&id) else { return };
        group.handed_to = Some(peer.instance.clone());
        let assumed_answer = now.saturating_sub(PROBE_INTERVAL / 2);
        let new_holder =
            Holder { address: peer.address, last_answer: assumed_answer, is_probed: false };
        let holder = self.holders.entry(peer.instance.clone()).or_insert(new_holder);
        holder.address = peer.address;
        holder.last_answer = holder.last_answer.max(assumed_answer);
        let due_ms = i64::try_from(group.due.as_millis()).unwrap_or(i64::MAX)
            - i64::try_from(now.as_millis()).unwrap_or(i64::MAX);
        let budget = group.deadline.saturating_sub(now);
        let message = handoff::Handover {
            version: handoff::VERSION,
            from: self.settings.instance.clone(),
            upcoming,
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
            near_domain: group.near_domain.clone(),
            shedding: group.terms.map(|terms| handoff::SheddingTerms {
                latest_ms: terms.latest.saturating_sub(now).into(),
                work_us: u64::try_from(terms.work.as_micros()).unwrap_or(u64::MAX),
                is_raised: terms.is_raised,
            }),
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

    /// Queues the unfinished pieces of a group in this gateway.
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

    /// Queues pieces that another gateway hands over.
    pub(super) fn handover_received(
        &mut self,
        handover: gateway::HandoverId,
        message: handoff::Handover,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let now = self.now.mono;
        let offset = time::Duration::from_millis(message.due_ms.unsigned_abs());
        let due = if message.due_ms < 0 { now.saturating_sub(offset) } else { now + offset };
        let id = batch::GroupId(self.next_serial());
        let line = telemetry::Line::new("take_over")
            .with("request", &message.external_id)
            .with("group", id)
            .with("stage", message.stage)
            .with("pieces", message.pieces.len())
            .with("due_ms", message.due_ms);
        effects.push(gateway::Effect::Log(line));
        let group = Group {
            owner: Owner::Peer(handover),
            external_id: message.external_id,
            pool: roster::PoolId { service: message.service, region: message.region },
            stage: message.stage,
            due,
            deadline: now + message.budget_ms.duration(),
            terms: message.shedding.map(|terms| loss::Terms {
                latest: now + terms.latest_ms.duration(),
                work: time::Duration::from_micros(terms.work_us),
                is_raised: terms.is_raised,
            }),
            rank: message.rank,
            result_size: message.result_size,
            input: message.input,
            near_domain: message.near_domain,
            pieces: message.pieces.into_iter().map(|piece| (piece, None)).collect(),
            failures: 0,
            handed_to: None,
        };
        let reporter = (group.pool.clone(), message.from);
        self.reported_upcoming.insert(reporter, (now, message.upcoming));
        self.handovers.insert(handover, id);
        self.groups.insert(id, group);
        self.enqueue(id);
    }

    /// Returns the pieces of this gateway's requests that will reach a pool later, by rank.
    fn local_upcoming(&self, pool: &roster::PoolId) -> batch::PiecesByRank {
        let mut upcoming = batch::PiecesByRank::default();
        for request in self.requests.values().filter(|request| request.region == pool.region) {
            let pieces = request.pending_pieces(self.now.mono, &pool.service);
            upcoming[batch::rank_index(request.rank)] += pieces;
        }
        upcoming
    }

    /// Returns the pieces of all gateways' requests that will reach a pool later, by rank, without
    /// outdated reports.
    pub(super) fn all_upcoming(&self, pool: &roster::PoolId) -> batch::PiecesByRank {
        let now = self.now.mono;
        let mut upcoming = self.local_upcoming(pool);
        for ((reported_pool, _), (reported_at, pieces)) in &self.reported_upcoming {
            if reported_pool == pool && now.saturating_sub(*reported_at) < MAX_UPCOMING_AGE {
                for (sum, reported) in upcoming.iter_mut().zip(pieces) {
                    *sum += reported;
                }
            }
        }
        upcoming
    }

    /// Drops the pieces of a handover that the other gateway has cancelled.
    pub(super) fn handover_cancelled(&mut self, handover: gateway::HandoverId) {
        if let Some(id) = self.handovers.remove(&handover) {
            self.drop_group(id);
        }
    }

    /// Removes a group and its queued pieces, and frees its results.
    pub(super) fn drop_group(&mut self, id: batch::GroupId) -> Option<Group> {
        let group = self.groups.remove(&id)?;
        self.queues.remove_group(&group.pool, id);
        self.free_outcomes(&group);
        Some(group)
    }

    /// Drops all groups of a request, and cancels the handovers of those that other gateways hold.
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

    /// Handles the end of a handover. `result` is `None` if the connection to the peer was lost; a
    /// result with the wrong number of outcomes is treated in the same way.
    pub(super) fn handover_ended(
        &mut self,
        id: batch::GroupId,
        result: Option<handoff::HandoverResult>,
        effects: &mut Vec<gateway::Effect>,
    ) {
        let Some(group) = self.groups.get_mut(&id) else { return };
        let Some(peer) = group.handed_to.take() else { return };
        match result {
            Some(result) if result.outcomes.len() == group.pieces.len() => {
                for (piece, outcome) in group.pieces.values_mut().zip(result.outcomes) {
                    *piece = Some(outcome);
                }
                let pool = group.pool.clone();
                if let Some(holder) = self.holders.get_mut(&peer) {
                    holder.last_answer = self.now.mono;
                }
                self.reported_waits.insert(pool, (self.now.mono, result.wait));
                match result.retry_ms {
                    Some(delay) => self.end_given_up(id, delay.duration(), effects),
                    None => self.finish_group(id, effects),
                }
            }
            _ => {
                self.peer_lost(&peer, effects);
                self.enqueue(id);
            }
        }
    }

    /// Marks a gateway as suspect, and queues in this gateway the groups that it holds.
    fn peer_lost(&mut self, peer: &id::InstanceId, effects: &mut Vec<gateway::Effect>) {
        self.roster.mark_suspect(self.now.mono, peer);
        self.holders.remove(peer);
        let held_groups: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| group.handed_to.as_ref() == Some(peer))
            .map(|(id, _)| *id)
            .collect();
        let line =
            telemetry::Line::new("peer_lost").with("peer", peer).with("groups", held_groups.len());
        effects.push(gateway::Effect::Log(line));
        for id in held_groups {
            effects.push(gateway::Effect::CancelHandover(id));
            self.enqueue(id);
        }
    }

    /// Probes gateways that hold pieces and have not answered for a while. The roster cannot tell
    /// whether they are alive: a gateway that shuts down leaves it first and then finishes its
    /// pieces.
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

    /// Handles the result of a probe.
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

    /// Queues a failed piece again. If its group has failed too often or its deadline has passed,
    /// the piece is given up.
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

    /// Queues a piece again for which its upstream had no memory.
    pub(super) fn requeue(&mut self, piece: batch::PieceId) {
        if let Some(group) = self.groups.get(&piece.group) {
            self.queues.push_started(&group.pool, group.queued_piece(piece));
        }
    }

    /// Schedules one result, given by its upstream, name and size, to be freed at the next tick.
    pub(super) fn free_handle(
        &mut self,
        instance: id::InstanceId,
        handle: gateway::Handle,
        size: unit::ByteSize,
    ) {
        self.free_result(request::StoredResult { instance, handle, size });
    }

    /// Passes the outcomes of a group to its owner if no piece is unfinished.
    pub(super) fn finish_group(&mut self, id: batch::GroupId, effects: &mut Vec<gateway::Effect>) {
        if self.groups.get(&id).is_none_or(|group| group.pieces.values().any(Option::is_none)) {
            return;
        }
        let Some(group) = self.groups.remove(&id) else { return };
        match group.owner {
            Owner::Request(request) => self.stage_finished(request, &group, effects),
            Owner::Peer(handover) => {
                self.handovers.remove(&handover);
                let outcomes = group.pieces.into_values().flatten().collect();
                let wait = self.local_wait(&group.pool);
                let result = handoff::HandoverResult { outcomes, wait, retry_ms: None };
                effects.push(gateway::Effect::AnswerHandover(handover, result));
            }
        }
    }

    /// Schedules a result to be freed at the next tick.
    pub(super) fn free_result(&mut self, result: request::StoredResult) {
        self.unneeded_results.entry(result.instance).or_default().push(result.handle);
    }

    /// Frees the scheduled results. The message goes through the gateway that forms the batches of
    /// the pool, because that one keeps account of the upstream's memory.
    pub(super) fn free_unneeded_results(&mut self, effects: &mut Vec<gateway::Effect>) {
        for (instance, handles) in std::mem::take(&mut self.unneeded_results) {
            let Some(upstream) = self.fleet.get(&instance) else { continue };
            // Nothing is sent there. The results expire by themselves, and count until then.
            if self.fleet.is_evacuated(&instance)
                || self.fleet.takes_no_messages(self.now.mono, &instance)
            {
                continue;
            }
            if upstream.is_paused(self.now.mono) {
                self.unneeded_results.insert(instance, handles);
                continue;
            }
            let entry = &upstream.entry;
            let process = entry.process();
            let pool = self.settings.regions.get(&entry.domain).map(|region| roster::PoolId {
                service: entry.service.clone(),
                region: region.clone(),
            });
            let upstream_address = entry.address;
            let batcher = pool
                .and_then(|pool| self.roster.batcher(self.now.mono, &pool, &self.settings.regions))
                .filter(|peer| peer.instance != self.settings.instance);
            if let Some(peer) = batcher {
                let message = handoff::Release { version: handoff::VERSION, instance, handles };
                effects.push(gateway::Effect::ForwardRelease { address: peer.address, message });
            } else if !self.fleet.may_send_message(self.now.mono, &instance) {
                self.unneeded_results.insert(instance, handles);
            } else {
                let address = upstream_address;
                self.fleet.record_limited_send(self.now.mono, &instance);
                effects.push(gateway::Effect::FreeResults { process, address, handles });
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
        let (process, address) = (upstream.entry.process(), upstream.entry.address);
        let handoff::Release { instance, handles, .. } = message;
        let now = self.now.mono;
        if self.fleet.is_evacuated(&instance) || self.fleet.takes_no_messages(now, &instance) {
            return;
        }
        if upstream.is_paused(now) || !self.fleet.may_send_message(now, &instance) {
            self.unneeded_results.entry(instance).or_default().extend(handles);
            return;
        }
        self.fleet.record_limited_send(now, &instance);
        effects.push(gateway::Effect::FreeResults { process, address, handles });
    }

    /// Removes freed results from the account of an upstream's memory. This waits for the
    /// upstream's answer, because a call sent before that could still find the memory full.
    pub(super) fn results_freed(&mut self, instance: &id::InstanceId, handles: &[gateway::Handle]) {
        if let Some(upstream) = self.fleet.get_mut(instance) {
            for handle in handles {
                upstream.remove_result(handle);
            }
        }
    }
}

impl Group {
    /// Returns one of its pieces in the form in which it is queued.
    fn queued_piece(&self, id: batch::PieceId) -> batch::QueuedPiece {
        let near_domain = self.near_domain.clone();
        batch::QueuedPiece {
            id,
            due: self.due,
            rank: self.rank,
            result_size: self.result_size,
            near_domain,
            terms: self.terms,
        }
    }
}
