//! Ownership of key ranges: carries out what changed, and passes ledgers on and takes them in.

use std::collections;

use crate::attempt;
use crate::clock;
use crate::id;
use crate::key;
use crate::ownership;
use crate::refusal;
use crate::telemetry;
use crate::unit;
use crate::wire;

use super::{Effect, Handover, MEMORY, Sidecar, Staged};

impl Sidecar {
    pub(super) fn busy_ranges(&self) -> collections::BTreeSet<u32> {
        let keys = self.ledger.open().filter_map(|(_, record)| record.key.as_ref());
        keys.map(|key| key::range_of(key)).collect()
    }

    pub(super) fn call(&mut self, calls: Vec<ownership::Call>, effects: &mut Vec<Effect>) {
        for call in calls {
            match call {
                ownership::Call::Offer { range, fence, to } => {
                    effects.push(Effect::HandOver(to, self.ledger_of(range, fence)));
                }
                other => effects.push(Effect::Call(other)),
            }
        }
    }

    pub(super) fn ledger_of(&self, range: u32, fence: id::FencingToken) -> Handover {
        let book = self.books.get(&range).cloned().unwrap_or_default();
        let records: collections::BTreeMap<_, _> =
            book.iter().map(|(key, record)| (key.clone(), record.clone())).collect();
        let done = records
            .values()
            .filter_map(|record| {
                let state = self.ledger.get(record.attempt)?.state();
                Some((record.attempt, state == attempt::State::Done))
            })
            .collect();
        // Rounded up, because a later beginning is the safe side; zero keeps its meaning.
        let rounding = u64::from(!book.since.is_zero());
        let since = unit::Millis(unit::Millis::from(book.since).0 + rounding);
        Handover { version: wire::MAJOR, range, fence, since, records, done }
    }

    pub(super) fn ownership_reply(
        &mut self,
        now: clock::Now,
        reply: ownership::Reply,
        effects: &mut Vec<Effect>,
    ) {
        let ended = matches!(
            reply,
            ownership::Reply::Taken { offered: true, .. } | ownership::Reply::TakeFailed
        );
        let (mut calls, mut changes) = (Vec::new(), Vec::new());
        self.ownership.reply(now, reply, &mut calls, &mut changes);
        for change in changes {
            self.apply_change(now, &change, effects);
        }
        if ended && let Some(staged) = self.staged.take() {
            self.decline(&staged, effects);
        }
        self.call(calls, effects);
    }

    pub(super) fn apply_change(
        &mut self,
        now: clock::Now,
        change: &ownership::Change,
        effects: &mut Vec<Effect>,
    ) {
        let line = telemetry::Line::new("ownership");
        match *change {
            ownership::Change::Gained { range, since } => {
                // What this sidecar remembers from an earlier time stays good to know.
                self.books.entry(range).or_default().since = since;
                let line = line.with("gained", range).with("since", unit::Millis::from(since));
                effects.push(Effect::Log(line));
            }
            ownership::Change::Taken(range) => {
                match self.staged.take_if(|staged| staged.handover.range == range) {
                    Some(staged) => self.adopt(now, staged, effects),
                    // The ledger was given up in the meantime: begin a new one.
                    None => self.books.entry(range).or_default().since = now.wall,
                }
                effects.push(Effect::Log(line.with("taken", range)));
            }
            ownership::Change::Given(range) => {
                effects.push(Effect::Log(line.with("given", range)));
            }
        }
    }

    pub(super) fn offered(&mut self, now: clock::Now, staged: Staged, effects: &mut Vec<Effect>) {
        let (range, fence) = (staged.handover.range, staged.handover.fence);
        let fits = staged.handover.version == wire::MAJOR
            && !self.is_draining()
            && self.staged.is_none()
            && self.remembered() + staged.handover.records.len()
                <= self.config.limits.ledger_entries as usize;
        match self.ownership.accept_offer(now, range, fence).filter(|_| fits) {
            Some(call) => {
                self.staged = Some(staged);
                effects.push(Effect::Call(call));
            }
            None => self.decline(&staged, effects),
        }
    }

    pub(super) fn decline(&self, staged: &Staged, effects: &mut Vec<Effect>) {
        let unknown = staged.sizes.keys().filter(|attempt| self.ledger.get(**attempt).is_none());
        effects.extend(unknown.map(|attempt| Effect::Drop(*attempt)));
        effects.push(Effect::Verdict(staged.conn, false));
    }

    /// Makes the ledger of a range that was taken over by agreement this sidecar's own.
    pub(super) fn adopt(&mut self, now: clock::Now, staged: Staged, effects: &mut Vec<Effect>) {
        let handover = staged.handover;
        let forget = now.mono + self.config.limits.key_ms.duration() + MEMORY;
        for (key, record) in &handover.records {
            let done = handover.done.get(&record.attempt).copied().unwrap_or(false);
            let kept = staged.sizes.get(&record.attempt).copied();
            let state = match (done, kept) {
                (true, Some(_)) => attempt::State::Done,
                (true, None) => attempt::State::Dropped,
                (false, _) => {
                    attempt::State::Broken(refusal::Kind::AnswerDropped, refusal::Ran::Unknown)
                }
            };
            let mut own = attempt::Record::new(state, now.mono, forget);
            own.key = Some(key.clone());
            own.length = kept.unwrap_or(0);
            self.ledger.insert(record.attempt, own);
        }
        let mut book = key::Book::new(handover.since.duration());
        book.extend(handover.records);
        self.books.insert(handover.range, book);
        effects.push(Effect::Verdict(staged.conn, true));
        self.evict(effects);
    }
}
