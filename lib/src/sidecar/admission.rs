//! Admission of attempts to the queue, and answers about earlier attempts.

use std::time;

use crate::attempt;
use crate::auth;
use crate::clock;
use crate::id;
use crate::key;
use crate::refusal;
use crate::telemetry;
use crate::wire;

use super::{ATTEMPT_RETENTION, Effect, MAX_EXTRA_AGE, Sidecar};

impl Sidecar {
    /// Handles a new attempt or a copy of an earlier one: queues it, lets it join another one with
    /// the same key, answers it from the ledger, or refuses it.
    pub(super) fn on_open(
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
            self.answer_from_ledger(conn, attempt, open.offset, effects);
            return;
        }
        if self.is_ledger_full() {
            // No tombstone is needed: this copy did not run, so a later one may be refused again or
            // run.
            let refused = self.refusal(refusal::Kind::LedgerFull, refusal::Ran::No);
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

    /// Whether the ledgers have no room for another entry.
    pub(super) fn is_ledger_full(&self) -> bool {
        self.ledger_entries() >= self.config.limits.ledger_entries as usize
    }

    /// Decides whether an attempt may be queued. Returns the attempt that it joins if its key was
    /// used before, or `None` if it may be queued.
    pub(super) fn admit(
        &mut self,
        now: clock::Now,
        open: &wire::OpenAttempt,
        digest: &[u8; auth::DIGEST_BYTES],
    ) -> Result<Option<id::AttemptId>, wire::Refused> {
        use refusal::Kind;
        let not_run = refusal::Ran::No;
        if open.version != wire::MAJOR_VERSION {
            return Err(self.refusal(Kind::VersionMismatch, not_run));
        }
        let age = now.wall.abs_diff(open.sent.duration());
        if age > open.budget.duration() + MAX_EXTRA_AGE {
            return Err(self.refusal(Kind::Stale, not_run));
        }
        let Some(service) = self.service() else {
            return Err(self.refusal(Kind::NotReady, not_run));
        };
        let (idempotent, queue_limit) = (service.idempotent, service.queue as usize);
        // A call that may run only once has to name the incarnation: only the ledger of that
        // incarnation shows later whether it ran.
        let expected = Some(self.identity.incarnation);
        if open.incarnation != expected && (open.incarnation.is_some() || !idempotent) {
            return Err(self.refusal(Kind::WrongIncarnation, not_run));
        }
        // Checked before draining, so that a key that was used before still gets its answer.
        if let Some(key) = open.key.as_ref().filter(|_| !idempotent)
            && let Some(origin) = self.check_key(now, key, digest)?
        {
            return Ok(Some(origin));
        }
        if self.is_draining() {
            return Err(self.refusal(Kind::Draining, not_run));
        }
        if self.queue.len() >= queue_limit {
            return Err(self.refusal(Kind::QueueFull, not_run));
        }
        if self.expected_duration() > open.budget.duration() {
            return Err(self.refusal(Kind::DeadlineUnreachable, not_run));
        }
        Ok(None)
    }

    /// Estimates the time from now until a new attempt would finish. Returns zero if it could start
    /// at once.
    pub(super) fn expected_duration(&self) -> time::Duration {
        let latency = self.limit.latency();
        let limit = self.limit.limit().max(1);
        let waiting = self.queue.len() as u32 + self.running.saturating_sub(limit - 1);
        if self.queue.is_empty() && self.running < limit {
            return time::Duration::ZERO;
        }
        latency + latency * waiting / limit
    }

    /// Decides whether a call with an idempotency key may run here. Returns the attempt that it
    /// joins if the key was used before, or `None` if it may run.
    pub(super) fn check_key(
        &mut self,
        now: clock::Now,
        key: &wire::Key,
        digest: &[u8; auth::DIGEST_BYTES],
    ) -> Result<Option<id::AttemptId>, wire::Refused> {
        if key.range != key::range_of(&key.text) {
            return Err(self.refusal(refusal::Kind::BadRequest, refusal::Ran::No));
        }
        self.ownership.release_superseded(key.range, key.fence);
        let policy = self.key_policy();
        let owns = self.ownership.owns(now, key.range);
        let ledger = self.key_ledgers.get(&key.range);
        let decision = match ledger.and_then(|ledger| ledger.lookup(&key.text, digest)) {
            Some(decision) => decision,
            None if owns => ledger.map_or(
                key::Decision::Refuse(refusal::Kind::LeaseLapsed, refusal::Ran::Unknown),
                |ledger| ledger.decide(now, &key.text, digest, policy),
            ),
            None => {
                self.ownership.request_refresh(now);
                return Err(self.not_owner_refusal(key.range));
            }
        };
        match decision {
            key::Decision::Run => Ok(None),
            key::Decision::Join(origin) => Ok(Some(origin)),
            key::Decision::Refuse(kind, ran) => Err(self.refusal(kind, ran)),
        }
    }

    /// Returns the refusal for a key whose range this sidecar does not own. The attempt did not run
    /// here, but another owner may have run the key. The entry finds that out by sending the key to
    /// the owner.
    pub(super) fn not_owner_refusal(&self, range: u32) -> wire::Refused {
        let owner = self.ownership.owner(range).cloned();
        let is_handing_over = self.ownership.is_handing_over(range);
        let kind = if owner.is_some() && !is_handing_over {
            refusal::Kind::NotOwner
        } else {
            refusal::Kind::LeaseLapsed
        };
        wire::Refused { kind, ran: refusal::Ran::No, owner, load: self.load() }
    }

    /// Adds an attempt to the ledger and the queue, and records its key.
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
        let mut record =
            attempt::Record::new(attempt::State::Queued, deadline, deadline + ATTEMPT_RETENTION);
        record.repeatable = idempotent;
        record.answer_bytes = open.offset;
        if let Some(key) = open.key.filter(|_| !idempotent) {
            let policy = self.key_policy();
            let ledger = self.key_ledgers.entry(key.range).or_default();
            ledger.insert(now, &key.text, *digest, attempt, policy);
            record.key = Some(key.text);
        }
        let has_key = record.key.is_some();
        self.ledger.insert(attempt, record);
        if has_key {
            let retention = self.config.limits.key_ms.duration();
            self.ledger.extend_retention(attempt, now.mono + retention + ATTEMPT_RETENTION);
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

    /// Records that an attempt joins `origin`, and answers it with that attempt's answer.
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
        self.ledger.insert(
            open.attempt,
            attempt::Record::new(state, deadline, deadline + ATTEMPT_RETENTION),
        );
        self.answer_from_ledger(conn, open.attempt, open.offset, effects);
    }

    /// Records that an attempt did not run, so that late copies of it are refused.
    pub(super) fn tombstone(&mut self, now: clock::Now, attempt: id::AttemptId) {
        let expires_at = now.mono + self.config.limits.deadline_ms.duration() + ATTEMPT_RETENTION;
        let record = attempt::Record::new(attempt::State::Tombstoned, now.mono, expires_at);
        self.ledger.insert(attempt, record);
    }

    /// Drops the answer of a completed attempt that the entry has received. Answers of attempts
    /// with an idempotency key are kept for later requests with the key.
    pub(super) fn acknowledge(&mut self, attempt: id::AttemptId, effects: &mut Vec<Effect>) {
        let Some(record) = self.ledger.get(attempt) else { return };
        if record.state() == attempt::State::Done && record.key.is_none() {
            self.ledger.set_state(attempt, attempt::State::AnswerDropped);
            effects.push(Effect::Discard(attempt));
        }
    }

    /// Answers an entry that asks for the outcome of an attempt. An unknown attempt gets a
    /// tombstone, so that the entry can rely on the answer that it did not run.
    pub(super) fn on_attach(
        &mut self,
        now: clock::Now,
        conn: attempt::ConnId,
        attach: &wire::AttachAttempt,
        effects: &mut Vec<Effect>,
    ) {
        use refusal::{Kind, Ran};
        let attempt = attach.attempt;
        if self.ledger.get(attempt).is_some() {
            self.answer_from_ledger(conn, attempt, attach.offset, effects);
            return;
        }
        let refused = if attach.version != wire::MAJOR_VERSION {
            self.refusal(Kind::VersionMismatch, Ran::Unknown)
        } else if attach.incarnation != Some(self.identity.incarnation) {
            // An earlier incarnation may have run it; its ledger is lost.
            self.refusal(Kind::WrongIncarnation, Ran::Unknown)
        } else if self.is_ledger_full() {
            // The ledger has no room for a tombstone, so a late copy could still run.
            self.refusal(Kind::LedgerFull, Ran::Unknown)
        } else {
            self.tombstone(now, attempt);
            self.refusal(Kind::Tombstoned, Ran::No)
        };
        let line = telemetry::Line::new("resolve")
            .with("attempt", attempt)
            .with("kind", refused.kind)
            .with("ran", refused.ran);
        effects.push(Effect::Log(line));
        effects.push(Effect::Refuse(conn, refused));
    }

    /// Answers a connection that asks for an attempt in the ledger: subscribes it to the answer, or
    /// refuses it if there is none.
    pub(super) fn answer_from_ledger(
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
            Some(attempt::State::Failed(kind, ran)) => (kind, ran),
            Some(attempt::State::AnswerDropped) => (Kind::AnswerDropped, Ran::Yes),
            Some(attempt::State::Joined(_)) | None => (Kind::AnswerDropped, Ran::Unknown),
        };
        let refused = self.refusal(kind, ran);
        effects.push(Effect::Refuse(conn, refused));
    }

    /// Registers a connection and sends it the answer of an attempt.
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
