//! Prompt parts and requests that crash engines, and the prompts that are held back because of them.
//!
//! Load pattern: one part of some prompts, or one request as a whole, crashes each engine that begins
//! to answer it, and such prompts keep arriving at any gateway. Each crash also breaks the other answers
//! of the engine. So gateways relate crashes to the parts of the prompts that an engine had not begun,
//! or had just begun, to answer, and to these requests themselves, which callers send again under other
//! ids. They report this to each other, and hold back prompts with a suspect that explains several
//! crashes. Requests without a prompt are handled like prompts without parts, and their upstreams like
//! engines.
//!
//! Requests and parts are weighed by one model ([`suspicion`]). Most prompts share parts with others,
//! so a part is not to blame just because it was there: an answer that has run for a while shows
//! that neither the request nor any of its parts crashes engines, and says nothing about other
//! requests. Crashes are identified by the process that crashed, so that gateways need not compare
//! their clocks.

mod crash;
mod sound_requests;
mod suspects;
pub mod suspicion;

use std::collections;
use std::time;

pub use suspects::{Prompt, is_request, request_suspect};

use crate::crash_report;
use crate::id;

/// Time that an answer has to run to show that its prompt does not crash the engine.
pub const SOUND_TIME: time::Duration = time::Duration::from_millis(500);
/// Time after the start of a sound answer in which a crash says nothing about its parts.
const SOUND_MARGIN: time::Duration = time::Duration::from_secs(2);
/// Time after the start of a sound answer in which reports that a part of it is held back are ignored.
/// They may come from a gateway that has lost its engines and sees crashes only.
const SOUND_MEMORY: time::Duration = time::Duration::from_secs(8);
/// Time after the start of a gateway in which crashes say less, as it does not know yet which parts
/// are sound.
const START_MARGIN: time::Duration = time::Duration::from_millis(1_200);
/// Time for which a suspect is held back, and for which crashes count.
const HOLD_TIME: time::Duration = time::Duration::from_mins(10);
/// Time for which crashes are remembered, so that late reports do not count them again.
const CRASH_MEMORY: time::Duration = time::Duration::from_mins(30);
/// Largest number of remembered crashes.
const MAX_CRASHES: usize = 256;
/// Largest number of parts of which the last sound answer is remembered.
const MAX_SOUND_PARTS: usize = 4_096;
/// Time after the start of a hold after which one prompt is let through, in case it was a mistake.
const PROBE_DELAY: time::Duration = time::Duration::from_secs(20);
/// Time after the release of a part in which reports that it is held back are outdated.
const RELEASE_MEMORY: time::Duration = time::Duration::from_secs(30);
/// Pause between two decisions.
const DECISION_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time for which a crash is reported to other gateways.
const REPORT_TIME: time::Duration = time::Duration::from_secs(30);
/// Crashes that a part may have caused from which a prompt with it is not sent again.
const RETRY_CRASH_LIMIT: usize = 2;
/// Largest number of crashes and of sound parts in a report.
const MAX_REPORTED: usize = 16;
/// Largest number of sound requests in a report: one crash leaves as many suspects.
const MAX_REPORTED_REQUESTS: usize = 48;
/// Largest number of suspects of one crash in a report.
const MAX_REPORTED_SUSPECTS: usize = 48;
/// Largest number of suspects of one crash.
const MAX_SUSPECTS: usize = 256;

/// Why a suspect is held back no longer or from now on.
#[derive(Clone, Copy, Debug, derive_more::Display, Eq, PartialEq)]
pub enum Reason {
    /// It explains this many crashes.
    #[display("crashes:{_0}")]
    Crashes(usize),
    /// Another gateway reported it.
    #[display("reported")]
    Reported,
    /// A sound answer showed that it does not crash engines.
    #[display("sound")]
    Sound,
    /// Held requests explain all of its crashes.
    #[display("explained")]
    Explained,
    /// The time for which parts are held back is over.
    #[display("expired")]
    Expired,
}

/// A suspect that is held back from now on, or no longer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Change {
    /// Id of the part or request.
    pub suspect: u64,
    /// Whether it is held back.
    pub is_held: bool,
    /// Why.
    pub reason: Reason,
}

/// State of a suspect that is held back.
#[derive(Debug)]
struct Hold {
    since: time::Duration,
    is_probed: bool,
    /// Whether this gateway reports it.
    is_reported: bool,
}

/// Crashes, and the sound and held suspects, that a gateway knows of.
#[derive(Debug, Default)]
pub struct Quarantine {
    /// When the gateway first used it.
    started: Option<time::Duration>,
    crashes: collections::BTreeMap<crash_report::EngineProcess, crash::CrashState>,
    /// Start of the last sound answer by suspect.
    sound: collections::BTreeMap<u64, time::Duration>,
    /// The same of requests without a prompt.
    sound_requests: sound_requests::SoundRequests,
    /// Suspects that this gateway has shown to be sound, the latest last.
    reported_sound: collections::VecDeque<crash_report::SoundPart>,
    /// Serials of sound parts that were read, by gateway and part.
    read_sound: collections::BTreeMap<(id::InstanceId, u64), u64>,
    /// Held parts in the latest reports, by gateway and part.
    read_held: collections::BTreeSet<(id::InstanceId, u64)>,
    held: collections::BTreeMap<u64, Hold>,
    /// Parts that are held back no longer, with the time of their release.
    released: collections::BTreeMap<u64, time::Duration>,
    /// Changes since they were last taken.
    changes: Vec<Change>,
    /// When the next decision is due.
    next_decision: time::Duration,
    last_serial: u64,
}

impl Quarantine {
    /// Makes an empty quarantine. The serials in its reports count from `origin`, which should
    /// differ with each start of the gateway.
    pub fn new(origin: u64) -> Self {
        Self { last_serial: origin, ..Self::default() }
    }

    /// Records that a call broke off because its engine closed the connection. `begun` is when the
    /// first event of its answer arrived, if one did.
    pub fn record_crash<'p>(
        &mut self,
        now: time::Duration,
        engine: crash_report::EngineProcess,
        begun: Option<time::Duration>,
        prompt: impl Into<Prompt<'p>>,
    ) {
        let prompt = prompt.into();
        let started = *self.started.get_or_insert(now);
        if let Some(begun) = begun
            && now.saturating_sub(begun) >= SOUND_TIME
        {
            self.record_sound(begun, prompt);
            return;
        }
        let is_new =
            |suspect: &u64| self.last_sound(*suspect).is_none_or(|last| now > last + SOUND_MARGIN);
        let suspects: Vec<_> = prompt.suspects().filter(is_new).collect();
        let crash = self.crashes.entry(engine).or_insert_with(|| crash::CrashState::new(now));
        crash.is_early &= now < started + START_MARGIN;
        for suspect in suspects {
            if crash.present.len() < MAX_SUSPECTS {
                crash.own_present.insert(suspect);
                crash.present.insert(suspect);
            }
        }
        self.forget_oldest_crash();
    }

    /// Records an answer that began at `begun` and ended whole, or has run for a while.
    pub fn record_sound<'p>(&mut self, begun: time::Duration, prompt: impl Into<Prompt<'p>>) {
        self.started.get_or_insert(begun);
        let prompt = prompt.into();
        for suspect in prompt.suspects() {
            let was_suspected = self.clear(suspect, begun);
            if was_suspected {
                self.report_sound(suspect);
            }
            if prompt.is_plain() {
                self.sound_requests.record(suspect, begun);
                continue;
            }
            // Most requests are never seen again, so only those that were suspected are remembered.
            if was_suspected || !is_request(suspect) {
                let last = self.sound.entry(suspect).or_insert(begun);
                *last = begun.max(*last);
            }
        }
        if self.sound.len() > MAX_SOUND_PARTS {
            let latest = self.sound.values().max().copied().unwrap_or_default();
            let kept_since = latest.saturating_sub(HOLD_TIME / 10);
            self.sound.retain(|_, last| *last >= kept_since);
        }
    }

    /// Adds a part to those that are reported as sound.
    fn report_sound(&mut self, part: u64) {
        self.last_serial = self.last_serial.wrapping_add(1);
        self.reported_sound.retain(|sound| sound.part != part);
        self.reported_sound.push_back(crash_report::SoundPart { part, serial: self.last_serial });
        let is_request = is_request(part);
        let limit = if is_request { MAX_REPORTED_REQUESTS } else { MAX_REPORTED };
        let mut alike = (0..self.reported_sound.len())
            .filter(|index| self::is_request(self.reported_sound[*index].part) == is_request);
        let oldest = alike.next();
        if alike.count() >= limit
            && let Some(oldest) = oldest
        {
            self.reported_sound.remove(oldest);
        }
    }

    /// Returns the start of the last sound answer that is remembered of a suspect.
    fn last_sound(&self, suspect: u64) -> Option<time::Duration> {
        self.sound.get(&suspect).copied().max(self.sound_requests.get(suspect))
    }

    /// Records that an engine began an answer to a call that was sent at `sent`. A crash that was
    /// assumed before was none.
    pub fn record_alive(&mut self, sent: time::Duration, engine: &crash_report::EngineProcess) {
        if let Some(crash) = self.crashes.get_mut(engine)
            && sent > crash.learned
        {
            crash.is_refuted = true;
        }
    }

    /// Applies the latest reports of all gateways, including an earlier process of this one.
    pub fn apply_reports(
        &mut self,
        now: time::Duration,
        own_instance: &id::InstanceId,
        reports: &[crash_report::GatewayReport],
    ) {
        self.started.get_or_insert(now);
        // Reports do not tell whether a sound answer or a crash came first, so a sound part is
        // cleared only of crashes that were known before.
        let mut read_sound = collections::BTreeMap::new();
        for crash_report::GatewayReport { instance, report } in reports {
            for sound in &report.sound {
                let key = (instance.clone(), sound.part);
                if self.read_sound.get(&key) != Some(&sound.serial) {
                    self.clear(sound.part, now);
                }
                read_sound.insert(key, sound.serial);
            }
        }
        self.read_sound = read_sound;
        let mut read_held = collections::BTreeSet::new();
        for crash_report::GatewayReport { instance, report } in reports {
            for crash in &report.crashes {
                let state = self
                    .crashes
                    .entry(crash.engine.clone())
                    .or_insert_with(|| crash::CrashState::new(now));
                state.present.extend(&crash.suspects);
                state.is_early &= crash.is_early;
            }
            for held in &report.held {
                let key = (instance.clone(), held.part);
                let is_new = !self.read_held.contains(&key);
                read_held.insert(key);
                self.apply_held(now, *held, is_new, instance == own_instance);
            }
        }
        self.read_held = read_held;
        self.forget_oldest_crash();
    }

    /// Applies a report that a part is held back.
    fn apply_held(
        &mut self,
        now: time::Duration,
        held: crash_report::HeldPart,
        is_new: bool,
        is_own: bool,
    ) {
        if let Some(hold) = self.held.get_mut(&held.part) {
            hold.is_probed |= held.is_probed;
            // The report of an earlier process of this gateway stays in the store until this process
            // writes one. So this gateway has to report the hold too, as others would otherwise read
            // the old report after the release.
            hold.is_reported |= is_own;
            return;
        }
        let is_released = self
            .released
            .get(&held.part)
            .is_some_and(|at| now.saturating_sub(*at) < RELEASE_MEMORY);
        let is_sound = self.last_sound(held.part).is_some_and(|last| now < last + SOUND_MEMORY);
        if !is_new || is_released || is_sound {
            return;
        }
        let hold = Hold { since: now, is_probed: held.is_probed, is_reported: is_own };
        self.held.insert(held.part, hold);
        self.changes.push(Change { suspect: held.part, is_held: true, reason: Reason::Reported });
    }

    /// Clears a part of crashes before `begun`, and releases it if it was held back before. Returns
    /// whether it was suspected.
    fn clear(&mut self, part: u64, begun: time::Duration) -> bool {
        let mut was_suspected = false;
        for crash in self.crashes.values_mut() {
            if crash.learned < begun && crash.present.contains(&part) {
                was_suspected |= crash.cleared.insert(part);
            }
        }
        if self.held.get(&part).is_some_and(|hold| hold.since < begun) {
            self.release(part, begun, Reason::Sound);
            was_suspected = true;
        }
        was_suspected
    }

    fn release(&mut self, part: u64, now: time::Duration, reason: Reason) {
        self.held.remove(&part);
        self.released.insert(part, now);
        self.changes.push(Change { suspect: part, is_held: false, reason });
    }

    /// Decides which parts are held back from now on. Returns all changes since the last call.
    pub fn update(&mut self, now: time::Duration) -> Vec<Change> {
        self.started.get_or_insert(now);
        if now < self.next_decision {
            return std::mem::take(&mut self.changes);
        }
        self.next_decision = now + DECISION_PAUSE;
        self.expire(now);
        while let Some(verdict) = self.judge(now) {
            for suspect in verdict.suspects {
                let is_reported = !self.read_held.iter().any(|(_, other)| *other == suspect);
                self.held.insert(suspect, Hold { since: now, is_probed: false, is_reported });
                let reason = Reason::Crashes(verdict.crashes);
                self.changes.push(Change { suspect, is_held: true, reason });
            }
        }
        if self.held.keys().any(|suspect| !is_request(*suspect)) {
            for part in suspicion::explained_parts(&self.evidence(now)) {
                self.release(part, now, Reason::Explained);
            }
        }
        std::mem::take(&mut self.changes)
    }

    fn expire(&mut self, now: time::Duration) {
        let is_over = |hold: &Hold| now.saturating_sub(hold.since) >= HOLD_TIME;
        let over: Vec<_> =
            self.held.iter().filter(|(_, hold)| is_over(hold)).map(|(part, _)| *part).collect();
        for part in over {
            self.release(part, now, Reason::Expired);
        }
        self.crashes.retain(|_, crash| crash.age(now) < CRASH_MEMORY);
        self.released.retain(|_, at| now.saturating_sub(*at) < RELEASE_MEMORY);
    }

    /// Returns the suspects to hold back next according to the settled crashes; `None` if none reaches
    /// its limit.
    fn judge(&self, now: time::Duration) -> Option<suspicion::Verdict> {
        suspicion::judge(&self.evidence(now), |suspect| self.last_sound(suspect).is_some())
    }

    /// Returns the crashes of which other gateways have had the time to report what they saw.
    fn evidence(&self, now: time::Duration) -> Vec<suspicion::Evidence> {
        let is_counted = |crash: &&crash::CrashState| {
            !crash.is_refuted && crash.age(now) < HOLD_TIME && crash.is_settled(now)
        };
        self.crashes
            .values()
            .filter(is_counted)
            .map(|crash| {
                let is_suspect = |suspect: &u64| {
                    let last_sound = self.last_sound(*suspect);
                    last_sound.is_none_or(|last| crash.learned > last + SOUND_MARGIN)
                };
                let is_held = |suspect: &u64| self.held.contains_key(suspect);
                suspicion::Evidence {
                    suspects: crash.suspects().filter(is_suspect).collect(),
                    held: crash.present.iter().copied().filter(is_held).collect(),
                    is_early: crash.is_early,
                }
            })
            .collect()
    }

    /// Returns what of a prompt is held back: parts, and the request itself.
    pub fn held_parts<'p>(&self, prompt: impl Into<Prompt<'p>>) -> Vec<u64> {
        if self.held.is_empty() {
            return Vec::new();
        }
        let prompt = prompt.into();
        prompt.suspects().filter(|suspect| self.held.contains_key(suspect)).collect()
    }

    /// Returns whether a prompt may be let through although a part of it is held back, and records
    /// that it is. Only the gateway that is responsible for the part asks.
    pub fn take_probe(&mut self, now: time::Duration, part: u64) -> bool {
        let Some(hold) = self.held.get_mut(&part) else { return false };
        if hold.is_probed || now.saturating_sub(hold.since) < PROBE_DELAY {
            return false;
        }
        hold.is_probed = true;
        hold.is_reported = true;
        true
    }

    /// Returns whether a part of a prompt may have caused several crashes already, so that the
    /// prompt should not be tried at another engine.
    pub fn is_suspect<'p>(&self, prompt: impl Into<Prompt<'p>>) -> bool {
        let count = |suspect: u64| {
            let is_suspect =
                |crash: &&crash::CrashState| crash.suspects().any(|other| other == suspect);
            self.crashes.values().filter(is_suspect).count()
        };
        prompt.into().suspects().any(|suspect| {
            self.last_sound(suspect).is_none() && count(suspect) >= RETRY_CRASH_LIMIT
        })
    }

    /// Returns what this gateway tells the others.
    pub fn report(&self, now: time::Duration) -> crash_report::Report {
        let is_recent =
            |crash: &crash::CrashState| crash.age(now) < REPORT_TIME && !crash.is_refuted;
        let mut recent: Vec<_> =
            self.crashes.iter().filter(|(_, crash)| is_recent(crash)).collect();
        recent.sort_by_key(|(_, crash)| std::cmp::Reverse(crash.learned));
        let crashes = recent.into_iter().map(|(engine, crash)| {
            let suspects = crash.own_present.difference(&crash.cleared);
            crash_report::Crash {
                engine: engine.clone(),
                suspects: suspects.copied().take(MAX_REPORTED_SUSPECTS).collect(),
                is_early: crash.is_early,
            }
        });
        let held = self.held.iter().filter(|(_, hold)| hold.is_reported);
        crash_report::Report {
            crashes: crashes
                .filter(|crash| !crash.suspects.is_empty())
                .take(MAX_REPORTED)
                .collect(),
            sound: self.reported_sound.iter().copied().collect(),
            held: held
                .map(|(part, hold)| crash_report::HeldPart {
                    part: *part,
                    is_probed: hold.is_probed,
                })
                .collect(),
        }
    }

    fn forget_oldest_crash(&mut self) {
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.learned);
            let Some(engine) = oldest.map(|(engine, _)| engine.clone()) else { return };
            self.crashes.remove(&engine);
        }
    }
}
