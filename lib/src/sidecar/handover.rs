//! Ownership of key ranges: carries out what changed, and passes ledgers on and takes them in.

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

use super::{Effect, Handover, MEMORY, RangeLedger, Sidecar, Staged};

impl Sidecar {
    pub(super) fn busy_ranges(&self) -> collections::BTreeSet<u32> {
        let keys = self.ledger.open().filter_map(|(_, record)| record.key.as_ref());
        keys.map(|key| key::range_of(key)).collect()
    }

    pub(super) fn call(&mut self, calls: Vec<claim::Call>, effects: &mut Vec<Effect>) {
        for call in calls {
            match call {
                claim::Call::Offer { ranges, to } => {
                    effects.push(Effect::HandOver(to, self.ledgers_of(&ranges)));
                }
                other => effects.push(Effect::Ownership(other)),
            }
        }
    }

    fn ledgers_of(&self, tokens: &claim::RangeTokens) -> Handover {
        let mut ranges = collections::BTreeMap::new();
        let mut done = collections::BTreeMap::new();
        for (range, fence) in tokens {
            let book = self.books.get(range).cloned().unwrap_or_default();
            // Rounded up, because a later beginning is the safe side; zero keeps its meaning.
            let rounding = u64::from(!book.complete_since.is_zero());
            let since = unit::Millis(unit::Millis::from(book.complete_since).0 + rounding);
            let records: collections::BTreeMap<_, _> =
                book.iter().map(|(key, record)| (key.clone(), record.clone())).collect();
            for record in records.values() {
                if let Some(kept) = self.ledger.get(record.attempt) {
                    done.insert(record.attempt, kept.state() == attempt::State::Done);
                }
            }
            ranges.insert(*range, RangeLedger { fence: *fence, complete_since: since, records });
        }
        Handover {
            version: wire::MAJOR_VERSION,
            ranges,
            answers_kept: done,
            surplus: !self.ownership.is_leaving(),
        }
    }

    pub(super) fn ownership_reply(
        &mut self,
        now: clock::Now,
        reply: claim::Reply,
        effects: &mut Vec<Effect>,
    ) {
        let is_verdict =
            matches!(reply, claim::Reply::Taken { offered: true, .. } | claim::Reply::TakeFailed);
        let (mut calls, mut changes) = (Vec::new(), Vec::new());
        self.ownership.reply(now, reply, &mut calls, &mut changes);
        let taken = changes.iter().any(|change| matches!(change, claim::Change::Received(_)));
        for change in changes {
            self.apply_change(now, &change, effects);
        }
        if is_verdict && let Some(staged) = self.staged.take() {
            if taken {
                effects.push(Effect::OfferResult(staged.conn, true));
            } else {
                self.decline(&staged, effects);
            }
            self.evict(effects);
        }
        self.call(calls, effects);
    }

    pub(super) fn apply_change(
        &mut self,
        now: clock::Now,
        change: &claim::Change,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("ownership");
        match *change {
            claim::Change::Claimed { range, since } => {
                // What this sidecar remembers from an earlier time stays good to know.
                self.books.entry(range).or_default().complete_since = since;
                let line = line.with("gained", range).with("since", unit::Millis::from(since));
                effects.push(Effect::Log(line));
            }
            claim::Change::Received(range) => {
                self.adopt(now, range);
                effects.push(Effect::Log(line.with("taken", range)));
            }
            claim::Change::HandedOver(range) => {
                effects.push(Effect::Log(line.with("given", range)));
            }
        }
    }

    pub(super) fn offered(&mut self, now: clock::Now, staged: Staged, effects: &mut Vec<Effect>) {
        let ledgers = &staged.handover.ranges;
        let records: usize = ledgers.values().map(|ledger| ledger.records.len()).sum();
        let fits = staged.handover.version == wire::MAJOR_VERSION
            && !self.is_draining()
            && self.staged.is_none()
            && self.remembered() + 2 * records <= self.config.limits.ledger_entries as usize;
        let tokens = ledgers.iter().map(|(range, ledger)| (*range, ledger.fence)).collect();
        let surplus = staged.handover.surplus;
        match self.ownership.accept_offer(now, tokens, surplus).filter(|_| fits) {
            Some(call) => {
                self.staged = Some(staged);
                effects.push(Effect::Ownership(call));
            }
            None => self.decline(&staged, effects),
        }
    }

    pub(super) fn decline(&self, staged: &Staged, effects: &mut Vec<Effect>) {
        let unknown = staged.sizes.keys().filter(|attempt| self.ledger.get(**attempt).is_none());
        effects.extend(unknown.map(|attempt| Effect::Discard(*attempt)));
        effects.push(Effect::OfferResult(staged.conn, false));
    }

    /// Makes the ledger of a range that was taken over by agreement this sidecar's own.
    fn adopt(&mut self, now: clock::Now, range: u32) {
        let ledger = self.staged.as_mut().and_then(|staged| staged.handover.ranges.remove(&range));
        let Some(ledger) = ledger else {
            // The ledger was given up in the meantime: begin a new one.
            self.books.entry(range).or_default().complete_since = now.wall;
            return;
        };
        for (key, record) in &ledger.records {
            self.adopt_attempt(now, key, record.attempt);
        }
        let mut book = key::Ledger::new(ledger.complete_since.duration());
        book.extend(ledger.records);
        self.books.insert(range, book);
    }

    fn adopt_attempt(&mut self, now: clock::Now, key: &str, attempt: id::AttemptId) {
        let Some(staged) = &self.staged else { return };
        let done = staged.handover.answers_kept.get(&attempt).copied().unwrap_or(false);
        let kept = staged.sizes.get(&attempt).copied();
        let state = match (done, kept) {
            (true, Some(_)) => attempt::State::Done,
            (true, None) => attempt::State::Dropped,
            (false, _) => {
                attempt::State::Broken(refusal::Kind::AnswerDropped, refusal::Ran::Unknown)
            }
        };
        let forget = now.mono + self.config.limits.key_ms.duration() + MEMORY;
        let mut own = attempt::Record::new(state, now.mono, forget);
        own.key = Some(key.to_owned());
        own.length = kept.unwrap_or(0);
        self.ledger.insert(attempt, own);
    }
}
