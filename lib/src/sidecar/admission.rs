//! Decides whether an attempt may wait for its turn, and answers questions about earlier ones.

use std::time;

use crate::attempt;
use crate::auth;
use crate::clock;
use crate::id;
use crate::key;
use crate::refusal;
use crate::telemetry;
use crate::wire;

use super::{Effect, MAX_AGE, MEMORY, Sidecar};

impl Sidecar {
    pub(super) fn open(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        open: wire::OpenAttempt,
        digest: &[u8; auth::DIGEST_BYTES],
        effects: &mut Vec<Effect>,
    ) {
        for attempt in &open.acks {
            self.acknowledge(*attempt, effects);
        }
        let attempt = open.attempt;
        if self.ledger.get(attempt).is_some() {
            self.resume(conn, attempt, open.offset, effects);
            return;
        }
        if self.is_full() {
            // Nothing is remembered, and nothing has to be: a late copy meets the same refusal or
            // runs as the first one.
            let refused = self.refused(refusal::Kind::LedgerFull, refusal::Ran::No);
            effects.push(Effect::Refuse(conn, refused));
            return;
        }
        match self.admit(now, &open, digest) {
            Ok(None) => self.enqueue(now, conn, open, digest, effects),
            Ok(Some(origin)) => self.join(now, conn, &open, origin, effects),
            Err(refused) => {
                let line = telemetry::Line::new("refuse_attempt")
                    .with("attempt", attempt)
                    .with("kind", refused.kind)
                    .with("ran", refused.ran);
                effects.push(Effect::Log(line));
                self.tombstone(now, attempt);
                effects.push(Effect::Refuse(conn, refused));
            }
        }
    }

    pub(super) fn is_full(&self) -> bool {
        self.remembered() >= self.config.limits.ledger_entries as usize
    }

    /// Decides whether an attempt may wait for its turn; returns the attempt that it joins, if its
    /// key was used before.
    pub(super) fn admit(
        &mut self,
        now: clock::Now,
        open: &wire::OpenAttempt,
        digest: &[u8; auth::DIGEST_BYTES],
    ) -> Result<Option<id::AttemptId>, wire::Refused> {
        use refusal::Kind;
        let no = refusal::Ran::No;
        if open.version != wire::MAJOR_VERSION {
            return Err(self.refused(Kind::VersionMismatch, no));
        }
        let age = now.wall.abs_diff(open.sent.duration());
        if age > open.budget.duration() + MAX_AGE {
            return Err(self.refused(Kind::Stale, no));
        }
        let Some(service) = self.service() else {
            return Err(self.refused(Kind::NotReady, no));
        };
        let (idempotent, queue_size) = (service.idempotent, service.queue as usize);
        let expected = Some(self.identity.incarnation);
        if open.incarnation != expected && (open.incarnation.is_some() || !idempotent) {
            return Err(self.refused(Kind::WrongIncarnation, no));
        }
        if let Some(key) = open.key.as_ref().filter(|_| !idempotent)
            && let Some(origin) = self.judge_key(now, key, digest)?
        {
            return Ok(Some(origin));
        }
        if self.is_draining() {
            return Err(self.refused(Kind::Draining, no));
        }
        if self.queue.len() >= queue_size {
            return Err(self.refused(Kind::QueueFull, no));
        }
        if self.expected_finish() > open.budget.duration() {
            return Err(self.refused(Kind::DeadlineUnreachable, no));
        }
        Ok(None)
    }

    /// Returns how long a new attempt would take from now on.
    pub(super) fn expected_finish(&self) -> time::Duration {
        let latency = self.limit.latency();
        let limit = self.limit.limit().max(1);
        let waiting = self.queue.len() as u32 + self.running.saturating_sub(limit - 1);
        if self.queue.is_empty() && self.running < limit {
            return time::Duration::ZERO;
        }
        latency + latency * waiting / limit
    }

    pub(super) fn judge_key(
        &mut self,
        now: clock::Now,
        key: &wire::Key,
        digest: &[u8; auth::DIGEST_BYTES],
    ) -> Result<Option<id::AttemptId>, wire::Refused> {
        if key.range != key::range_of(&key.text) {
            return Err(self.refused(refusal::Kind::BadRequest, refusal::Ran::No));
        }
        self.ownership.release_superseded(key.range, key.fence);
        let rule = self.rule();
        let owns = self.ownership.owns(now, key.range);
        let book = self.books.get(&key.range);
        let verdict = match book.and_then(|book| book.lookup(&key.text, digest)) {
            Some(verdict) => verdict,
            None if owns => book.map_or(
                key::Decision::Refuse(refusal::Kind::LeaseLapsed, refusal::Ran::Unknown),
                |book| book.decide(now, &key.text, digest, rule),
            ),
            None => {
                self.ownership.request_refresh(now);
                return Err(self.not_owner(key.range));
            }
        };
        match verdict {
            key::Decision::Run => Ok(None),
            key::Decision::Join(origin) => Ok(Some(origin)),
            key::Decision::Refuse(kind, ran) => Err(self.refused(kind, ran)),
        }
    }

    /// The attempt did not run here, but another owner may have run the key: only the entry, which
    /// goes on to ask the owner, can tell the caller more.
    pub(super) fn not_owner(&self, range: u32) -> wire::Refused {
        let owner = self.ownership.owner(range).cloned();
        let leaving = self.ownership.is_handing_over(range);
        let kind = if owner.is_some() && !leaving {
            refusal::Kind::NotOwner
        } else {
            refusal::Kind::LeaseLapsed
        };
        wire::Refused { kind, ran: refusal::Ran::No, owner, load: self.load() }
    }

    pub(super) fn enqueue(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        open: wire::OpenAttempt,
        digest: &[u8; auth::DIGEST_BYTES],
        effects: &mut Vec<Effect>,
    ) {
        let attempt = open.attempt;
        let deadline = now.mono + open.budget.duration();
        let idempotent = self.service().is_none_or(|service| service.idempotent);
        let mut record = attempt::Record::new(attempt::State::Queued, deadline, deadline + MEMORY);
        record.repeatable = idempotent;
        record.length = open.offset;
        if let Some(key) = open.key.filter(|_| !idempotent) {
            let rule = self.rule();
            let book = self.books.entry(key.range).or_default();
            book.insert(now, &key.text, *digest, attempt, rule);
            record.key = Some(key.text);
        }
        let keyed = record.key.is_some();
        self.ledger.insert(attempt, record);
        if keyed {
            let window = self.config.limits.key_ms.duration();
            self.ledger.keep_until(attempt, now.mono + window + MEMORY);
        }
        let (weight, priority) =
            self.config.teams.get(&open.team).map_or((1, 0), |team| (team.weight, team.priority));
        self.queue.push(attempt, &open.team, weight, priority);
        let line = telemetry::Line::new("admit")
            .with("request", open.request)
            .with("attempt", attempt)
            .with("team", &open.team)
            .with("queued", self.queue.len())
            .with("running", self.running)
            .with("limit", self.limit.limit());
        effects.push(Effect::Log(line));
        self.subscribe(conn, attempt, open.offset, effects);
    }

    pub(super) fn join(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        open: &wire::OpenAttempt,
        origin: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("join")
            .with("request", open.request)
            .with("attempt", open.attempt)
            .with("origin", origin);
        effects.push(Effect::Log(line));
        let deadline = now.mono + open.budget.duration();
        let state = attempt::State::Joined(origin);
        self.ledger.insert(open.attempt, attempt::Record::new(state, deadline, deadline + MEMORY));
        self.resume(conn, open.attempt, open.offset, effects);
    }

    pub(super) fn tombstone(&mut self, now: clock::Now, attempt: id::AttemptId) {
        let forget = now.mono + self.config.limits.deadline_ms.duration() + MEMORY;
        let record = attempt::Record::new(attempt::State::Tombstoned, now.mono, forget);
        self.ledger.insert(attempt, record);
    }

    pub(super) fn acknowledge(&mut self, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.ledger.get(attempt) else { return };
        if record.state() == attempt::State::Done && record.key.is_none() {
            self.ledger.set_state(attempt, attempt::State::Dropped);
            effects.push(Effect::Discard(attempt));
        }
    }

    pub(super) fn attach(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        attach: &wire::AttachAttempt,
        effects: &mut Vec<Effect>,
    ) {
        use refusal::{Kind, Ran};
        let attempt = attach.attempt;
        if self.ledger.get(attempt).is_some() {
            self.resume(conn, attempt, attach.offset, effects);
            return;
        }
        let refused = if attach.version != wire::MAJOR_VERSION {
            self.refused(Kind::VersionMismatch, Ran::Unknown)
        } else if attach.incarnation != Some(self.identity.incarnation) {
            // An earlier life may have run it, and remembers no more.
            self.refused(Kind::WrongIncarnation, Ran::Unknown)
        } else if self.is_full() {
            // Without a tombstone a late copy could still run.
            self.refused(Kind::LedgerFull, Ran::Unknown)
        } else {
            self.tombstone(now, attempt);
            self.refused(Kind::Tombstoned, Ran::No)
        };
        let line = telemetry::Line::new("resolve")
            .with("attempt", attempt)
            .with("kind", refused.kind)
            .with("ran", refused.ran);
        effects.push(Effect::Log(line));
        effects.push(Effect::Refuse(conn, refused));
    }

    /// Answers a connection about an attempt that is in the ledger.
    pub(super) fn resume(
        &mut self,
        conn: attempt::ConnId,
        attempt: id::AttemptId,
        offset: u64,
        effects: &mut Vec<Effect>,
    ) {
        use refusal::{Kind, Ran};
        let origin = self.ledger.origin(attempt);
        let state = self.ledger.get(origin).map(attempt::Record::state);
        let (kind, ran) = match state {
            Some(attempt::State::Queued | attempt::State::Running(_) | attempt::State::Done) => {
                self.subscribe(conn, origin, offset, effects);
                return;
            }
            Some(attempt::State::Tombstoned) => (Kind::Tombstoned, Ran::No),
            Some(attempt::State::Broken(kind, ran)) => (kind, ran),
            Some(attempt::State::Dropped) => (Kind::AnswerDropped, Ran::Yes),
            Some(attempt::State::Joined(_)) | None => (Kind::AnswerDropped, Ran::Unknown),
        };
        let refused = self.refused(kind, ran);
        effects.push(Effect::Refuse(conn, refused));
    }

    pub(super) fn subscribe(
        &mut self,
        conn: attempt::ConnId,
        attempt: id::AttemptId,
        offset: u64,
        effects: &mut Vec<Effect>,
    ) {
        self.ledger.connect(attempt, conn);
        effects.push(Effect::Subscribe { conn, attempt, offset, load: self.load() });
    }
}
