//! Handover of key ranges: sends ledgers to other sidecars, receives theirs, and applies changes of
//! ownership to the ledgers.

use std::collections;

use crate::attempt;
use crate::claim;
use crate::clock;
use crate::id;
use crate::key;
use crate::refusal;
use crate::telemetry;
use crate::unit;
use crate::wire;

use super::{ATTEMPT_RETENTION, Effect, Handover, PendingOffer, RangeLedger, Sidecar};

impl Sidecar {
    /// Returns the ranges of the keys whose attempts are queued or running.
    pub(super) fn busy_ranges(&self) -> collections::BTreeSet<u32> {
        let keys = self.ledger.open_attempts().filter_map(|(_, record)| record.key.as_ref());
        keys.map(|key| key::range_of(key)).collect()
    }

    /// Appends the calls of the ownership as effects; offers are sent together with their ledgers.
    pub(super) fn push_calls(&mut self, calls: Vec<claim::Call>, effects: &mut Vec<Effect>) {
        for call in calls {
            match call {
                claim::Call::Offer { ranges, to } => {
                    effects.push(Effect::HandOver(to, self.collect_ledgers(&ranges)));
                }
                other => effects.push(Effect::Ownership(other)),
            }
        }
    }

    /// Builds the offer of ranges with their ledgers.
    fn collect_ledgers(&self, tokens: &claim::RangeTokens) -> Handover {
        let mut ranges = collections::BTreeMap::new();
        let mut answers_kept = collections::BTreeMap::new();
        for (range, fence) in tokens {
            let ledger = self.key_ledgers.get(range).cloned().unwrap_or_default();
            // Rounded up to milliseconds, because a later start is safe while an earlier one is
            // not. Zero stays zero, which means that the range never had another owner.
            let rounding = u64::from(!ledger.complete_since.is_zero());
            let complete_since =
                unit::Millis(unit::Millis::from(ledger.complete_since).0 + rounding);
            let records: collections::BTreeMap<_, _> =
                ledger.iter().map(|(key, record)| (key.clone(), record.clone())).collect();
            for record in records.values() {
                if let Some(attempt) = self.ledger.get(record.attempt) {
                    answers_kept.insert(record.attempt, attempt.state() == attempt::State::Done);
                }
            }
            ranges.insert(*range, RangeLedger { fence: *fence, complete_since, records });
        }
        Handover {
            version: wire::MAJOR_VERSION,
            ranges,
            answers_kept,
            surplus: !self.ownership.is_leaving(),
        }
    }

    /// Passes the result of a call to the ownership, and applies the changes and new calls. If the
    /// call was the take of an offer, its sender gets the result.
    pub(super) fn on_ownership_reply(
        &mut self,
        now: clock::Now,
        reply: claim::Reply,
        effects: &mut Vec<Effect>,
    ) {
        let is_take_result =
            matches!(reply, claim::Reply::Taken { offered: true, .. } | claim::Reply::TakeFailed);
        let (mut calls, mut changes) = (Vec::new(), Vec::new());
        self.ownership.reply(now, reply, &mut calls, &mut changes);
        let is_accepted = changes.iter().any(|change| matches!(change, claim::Change::Received(_)));
        for change in changes {
            self.apply_change(now, &change, effects);
        }
        if is_take_result && let Some(offer) = self.pending_offer.take() {
            if is_accepted {
                effects.push(Effect::OfferResult(offer.conn, true));
            } else {
                self.decline_offer(&offer, effects);
            }
            self.evict_answers(effects);
        }
        self.push_calls(calls, effects);
    }

    /// Applies a change of ownership to the ledger of its range.
    pub(super) fn apply_change(
        &mut self,
        now: clock::Now,
        change: &claim::Change,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("ownership");
        match *change {
            claim::Change::Claimed { range, since } => {
                // Records from an earlier ownership of the range stay in the ledger, as they are
                // still valid.
                self.key_ledgers.entry(range).or_default().complete_since = since;
                let line = line.with("gained", range).with("since", unit::Millis::from(since));
                effects.push(Effect::Log(line));
            }
            claim::Change::Received(range) => {
                self.adopt_ledger(now, range);
                effects.push(Effect::Log(line.with("taken", range)));
            }
            claim::Change::HandedOver(range) => {
                effects.push(Effect::Log(line.with("given", range)));
            }
        }
    }

    /// Decides whether to take ranges that another sidecar offers.
    pub(super) fn on_offer(
        &mut self,
        now: clock::Now,
        offer: PendingOffer,
        effects: &mut Vec<Effect>,
    ) {
        let ledgers = &offer.handover.ranges;
        let record_count: usize = ledgers.values().map(|ledger| ledger.records.len()).sum();
        // Each record adds two entries: the key and its attempt.
        let can_accept = offer.handover.version == wire::MAJOR_VERSION
            && !self.is_draining()
            && self.pending_offer.is_none()
            && self.ledger_entries() + 2 * record_count
                <= self.config.limits.ledger_entries as usize;
        let tokens = ledgers.iter().map(|(range, ledger)| (*range, ledger.fence)).collect();
        let surplus = offer.handover.surplus;
        match self.ownership.accept_offer(now, tokens, surplus).filter(|_| can_accept) {
            Some(call) => {
                self.pending_offer = Some(offer);
                effects.push(Effect::Ownership(call));
            }
            None => self.decline_offer(&offer, effects),
        }
    }

    /// Declines an offer, and frees the answers that came with it.
    pub(super) fn decline_offer(&self, offer: &PendingOffer, effects: &mut Vec<Effect>) {
        let unused =
            offer.answer_sizes.keys().filter(|attempt| self.ledger.get(**attempt).is_none());
        effects.extend(unused.map(|attempt| Effect::Discard(*attempt)));
        effects.push(Effect::OfferResult(offer.conn, false));
    }

    /// Replaces this sidecar's ledger of a range by the one that came with an accepted offer.
    fn adopt_ledger(&mut self, now: clock::Now, range: u32) {
        let ledger =
            self.pending_offer.as_mut().and_then(|offer| offer.handover.ranges.remove(&range));
        let Some(ledger) = ledger else {
            // The offer is gone, and its ledger with it; the range's ledger is complete only from
            // now on.
            self.key_ledgers.entry(range).or_default().complete_since = now.wall;
            return;
        };
        for (key, record) in &ledger.records {
            self.adopt_attempt(now, key, record.attempt);
        }
        let mut key_ledger = key::Ledger::new(ledger.complete_since.duration());
        key_ledger.extend(ledger.records);
        self.key_ledgers.insert(range, key_ledger);
    }

    /// Adds the attempt behind an adopted key to the ledger. Its answer is available only if the
    /// sender sent it.
    fn adopt_attempt(&mut self, now: clock::Now, key: &str, attempt: id::AttemptId) {
        let Some(offer) = &self.pending_offer else { return };
        let is_done = offer.handover.answers_kept.get(&attempt).copied().unwrap_or(false);
        let answer_bytes = offer.answer_sizes.get(&attempt).copied();
        let state = match (is_done, answer_bytes) {
            (true, Some(_)) => attempt::State::Done,
            (true, None) => attempt::State::AnswerDropped,
            (false, _) => {
                attempt::State::Failed(refusal::Kind::AnswerDropped, refusal::Ran::Unknown)
            }
        };
        let expires_at = now.mono + self.config.limits.key_ms.duration() + ATTEMPT_RETENTION;
        let mut record = attempt::Record::new(state, now.mono, expires_at);
        record.key = Some(key.to_owned());
        record.answer_bytes = answer_bytes.unwrap_or(0);
        self.ledger.insert(attempt, record);
    }
}
