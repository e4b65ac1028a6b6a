//! Execution of attempts at the upstream, and the end of those that are late, orphaned or
//! cancelled.

use std::time;

use crate::attempt;
use crate::clock;
use crate::id;
use crate::key;
use crate::refusal;
use crate::telemetry;
use crate::unit;

use super::{CallError, Effect, Sidecar};

/// How long an attempt may have no waiting connection before it is cancelled, unless it runs and
/// may run only once.
const ORPHAN_GRACE: time::Duration = time::Duration::from_secs(3);

impl Sidecar {
    /// Starts queued attempts while the concurrency limit allows it. Those past their deadline
    /// fail.
    pub(super) fn dispatch(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        while self.running < self.limit.limit() {
            let Some(attempt) = self.queue.pop() else {
                break;
            };
            let Some(record) = self.ledger.get(attempt) else { continue };
            let budget = record.deadline.saturating_sub(now.mono);
            if budget.is_zero() {
                self.fail_queued(attempt, refusal::Kind::DeadlineExceeded, effects);
                continue;
            }
            self.ledger.set_state(attempt, attempt::State::Running(now.mono));
            self.running += 1;
            effects.push(Effect::Start { attempt, budget });
        }
    }

    /// Ends a queued attempt, which will not run.
    pub(super) fn fail_queued(
        &mut self,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        self.queue.remove(attempt);
        self.ledger.set_state(attempt, attempt::State::Tombstoned);
        self.release_key(attempt);
        let refused = self.refusal(kind, refusal::Ran::No);
        effects.push(Effect::Fail(attempt, refused));
        effects.push(Effect::Discard(attempt));
    }

    /// Removes the key of an attempt that did not run, so that the call can be sent again.
    pub(super) fn release_key(&mut self, attempt: id::AttemptId) {
        let Some(key) = self.ledger.get(attempt).and_then(|record| record.key.as_ref()) else {
            return;
        };
        if let Some(ledger) = self.key_ledgers.get_mut(&key::range_of(key)) {
            ledger.remove(key);
        }
    }

    /// Cancels an attempt. A running call continues if it may run only once.
    pub(super) fn cancel_attempt(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        effects: &mut Vec<Effect>,
    ) {
        let Some(record) = self.ledger.get(attempt) else {
            // The cancellation arrived before the attempt.
            if !self.is_ledger_full() {
                self.tombstone(now, attempt);
            }
            return;
        };
        match record.state() {
            attempt::State::Queued => self.fail_queued(attempt, refusal::Kind::Cancelled, effects),
            attempt::State::Running(_) if record.repeatable => {
                self.abort(attempt, refusal::Kind::Cancelled, effects);
            }
            _ => {}
        }
    }

    /// Aborts a running call that may run more than once.
    pub(super) fn abort(
        &mut self,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        effects: &mut Vec<Effect>,
    ) {
        effects.push(Effect::Abort(attempt));
        self.fail_running(attempt, kind, refusal::Ran::Unknown, effects);
    }

    /// Ends a running attempt that has no complete answer.
    pub(super) fn fail_running(
        &mut self,
        attempt: id::AttemptId,
        kind: refusal::Kind,
        ran: refusal::Ran,
        effects: &mut Vec<Effect>,
    ) {
        self.running -= 1;
        self.ledger.set_state(attempt, attempt::State::Failed(kind, ran));
        if ran == refusal::Ran::No {
            self.release_key(attempt);
        }
        let line = telemetry::Line::new("fail_attempt").with("attempt", attempt).with("kind", kind);
        effects.push(Effect::Log(line.with("ran", ran)));
        effects.push(Effect::Fail(attempt, self.refusal(kind, ran)));
        effects.push(Effect::Discard(attempt));
    }

    /// Returns when a running attempt was started, or `None` if it is not running.
    pub(super) fn running_since(&self, attempt: id::AttemptId) -> Option<time::Duration> {
        match self.ledger.get(attempt)?.state() {
            attempt::State::Running(since) => Some(since),
            _ => None,
        }
    }

    /// Counts received bytes of an answer, and aborts the call if the answer is too large.
    pub(super) fn on_progress(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        bytes: u64,
        effects: &mut Vec<Effect>,
    ) {
        if self.running_since(attempt).is_none() {
            return;
        }
        let answer_bytes = self.ledger.add_bytes(attempt, bytes);
        if answer_bytes > self.config.limits.answer_bytes.0 {
            effects.push(Effect::Abort(attempt));
            self.limit.record_failure(now.mono);
            let kind = refusal::Kind::AnswerTooLarge;
            self.fail_running(attempt, kind, refusal::Ran::Yes, effects);
            return;
        }
        self.evict_answers(effects);
        // Only answers in progress are left, and this one has just grown.
        if self.ledger.kept_bytes() > self.config.limits.kept_bytes.0 {
            effects.push(Effect::Abort(attempt));
            let kind = refusal::Kind::AnswerTooLarge;
            self.fail_running(attempt, kind, refusal::Ran::Yes, effects);
        }
    }

    /// Drops the oldest complete answers while all answers together exceed `limits.kept_bytes`.
    pub(super) fn evict_answers(&mut self, effects: &mut Vec<Effect>) {
        while self.ledger.kept_bytes() > self.config.limits.kept_bytes.0 {
            let Some(attempt) = self.ledger.drop_oldest_answer() else {
                break;
            };
            effects.push(Effect::Discard(attempt));
        }
    }

    /// Ends an attempt whose answer is complete, and updates the concurrency limit with its
    /// latency. The statuses 429 and 503 count as failures instead.
    pub(super) fn finish_call(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        status: u16,
        effects: &mut Vec<Effect>,
    ) {
        let Some(since) = self.running_since(attempt) else { return };
        let latency = now.mono.saturating_sub(since);
        if matches!(status, 429 | 503) {
            self.limit.record_failure(now.mono);
        } else {
            self.limit.record_success(latency, self.running);
        }
        self.running -= 1;
        self.ledger.set_state(attempt, attempt::State::Done);
        effects.push(Effect::Finish(attempt, self.load()));
        let line = telemetry::Line::new("finish_attempt")
            .with("attempt", attempt)
            .with("status", status)
            .with("latency", unit::Millis::from(latency));
        effects.push(Effect::Log(line));
    }

    /// Ends an attempt whose call failed, and reduces the concurrency limit.
    pub(super) fn fail_call(
        &mut self,
        now: clock::Now,
        attempt: id::AttemptId,
        error: CallError,
        effects: &mut Vec<Effect>,
    ) {
        if self.running_since(attempt).is_none() {
            return;
        }
        self.limit.record_failure(now.mono);
        let (kind, ran) = match error {
            CallError::NotSent => (refusal::Kind::UpstreamUnreachable, refusal::Ran::No),
            CallError::Broken => (refusal::Kind::UpstreamBroken, refusal::Ran::Unknown),
            CallError::NotResumable => (refusal::Kind::UpstreamBroken, refusal::Ran::Yes),
        };
        self.fail_running(attempt, kind, ran, effects);
    }

    /// Ends open attempts that are past their deadline or orphaned for [`ORPHAN_GRACE`], except
    /// running calls that may run only once.
    pub(super) fn end_overdue(&mut self, now: clock::Now, effects: &mut Vec<Effect>) {
        let overdue: Vec<_> = self
            .ledger
            .open_attempts()
            .filter_map(|(attempt, record)| {
                let is_overdue = record.deadline <= now.mono;
                let is_orphan =
                    record.orphaned_at.is_some_and(|since| since + ORPHAN_GRACE <= now.mono);
                let kind = match (is_overdue, is_orphan) {
                    (true, _) => refusal::Kind::DeadlineExceeded,
                    (_, true) => refusal::Kind::Cancelled,
                    _ => return None,
                };
                Some((attempt, record.state(), record.repeatable, kind))
            })
            .collect();
        for (attempt, state, repeatable, kind) in overdue {
            match state {
                attempt::State::Queued => self.fail_queued(attempt, kind, effects),
                attempt::State::Running(_) if repeatable => self.abort(attempt, kind, effects),
                // A call that may run only once continues, so that its answer can be fetched later.
                _ => {}
            }
        }
    }
}
