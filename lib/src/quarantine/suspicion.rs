//! Decides from crashes which suspects are held back next.
//!
//! Load pattern: a request or prompt part crashes engines while others wait at the same engines, and
//! engines crash by themselves in between. Some suspects are present at several crashes by chance.
//!
//! Requests and parts are weighed in the same way. The strength of a suspect is the number of crashes
//! that it may have caused. A crash at which a held suspect was present is explained by it, and does
//! not count against suspects that are no stronger. One that was present at all of these crashes
//! and at further ones is the likelier cause, and the hold was a mistake.

use std::collections;

use super::suspects;

/// Crashes soon after the start of gateways that count at most, for each suspect. Many engines may
/// crash at once then, without a sign that the parts that they have in common are sound.
const MAX_EARLY_CRASHES: usize = 2;
/// Crashes after which a suspect that was never part of a sound answer is held back.
const CRASH_LIMIT: usize = 3;
/// Crashes in a row after which any other suspect is held back.
const CRASH_LIMIT_ONCE_SOUND: usize = 5;

/// One crash as evidence.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    /// Suspects that may have caused it.
    pub suspects: Vec<u64>,
    /// Held suspects that stood at it.
    pub held: Vec<u64>,
    /// Whether all gateways that saw it had just started.
    pub is_early: bool,
}

/// Suspects that are to be held back, and the number of crashes that they explain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// Number of crashes.
    pub crashes: usize,
    /// Suspects that explain equally many.
    pub suspects: Vec<u64>,
}

/// Crashes that a suspect may have caused.
#[derive(Clone, Copy, Debug, Default)]
struct CrashCount {
    early: usize,
    later: usize,
}

impl CrashCount {
    fn add(&mut self, is_early: bool) {
        if is_early {
            self.early += 1;
        } else {
            self.later += 1;
        }
    }

    fn total(self) -> usize {
        self.later + self.early.min(MAX_EARLY_CRASHES)
    }
}

type Counts = collections::BTreeMap<u64, CrashCount>;

/// Returns which suspects are held back next; `None` if none reaches its limit.
///
/// A request is narrower than its parts. It goes first, so that sound requests with the same parts
/// are served; its parts are held as well once they stand at crashes that no held request explains.
/// Among requests, and among parts, those that explain most go first, then those that were never part
/// of a sound answer.
pub fn judge(evidence: &[Evidence], was_sound: impl Fn(u64) -> bool) -> Option<Verdict> {
    let mut counts = count_crashes(evidence, &was_sound);
    let limit =
        |suspect: u64| if was_sound(suspect) { CRASH_LIMIT_ONCE_SOUND } else { CRASH_LIMIT };
    counts.retain(|suspect, count| count.total() >= limit(*suspect));
    let rank = |suspect: u64, count: &CrashCount| {
        (suspects::is_request(suspect), count.total(), !was_sound(suspect))
    };
    let worst = counts.iter().map(|(suspect, count)| rank(*suspect, count)).max()?;
    let suspects = counts.iter().filter(|(suspect, count)| rank(**suspect, count) == worst);
    let suspects = suspects.map(|(suspect, _)| *suspect).collect();
    Some(Verdict { crashes: worst.1, suspects })
}

/// Returns the held parts that stood at several crashes, each of which a held request explains.
///
/// A gateway may see crashes of several requests with a common part before it has seen enough of
/// any of them, and holds the part. Sound requests with it cannot show that this was a mistake, as
/// they are refused.
pub fn explained_parts(evidence: &[Evidence]) -> collections::BTreeSet<u64> {
    let mut counts = Counts::new();
    let mut unexplained = collections::BTreeSet::new();
    for crash in evidence {
        let is_by_request = crash.held.iter().any(|held| suspects::is_request(*held));
        for part in crash.held.iter().filter(|held| !suspects::is_request(**held)) {
            counts.entry(*part).or_default().add(crash.is_early);
            if !is_by_request {
                unexplained.insert(*part);
            }
        }
    }
    counts.retain(|part, count| count.total() >= CRASH_LIMIT && !unexplained.contains(part));
    counts.into_keys().collect()
}

/// Counts the crashes of each suspect.
///
/// For a request, all its crashes count: few sound requests are present at several crashes, and
/// holding one refuses no other request. For a part, the crashes count at which no held suspect was
/// present. If there is at least one, those also count at which all held suspects are weaker than the
/// part; but if a held request was present, only for parts that never were in a sound answer, as
/// sound requests share them and often wait at the same engines.
fn count_crashes(evidence: &[Evidence], was_sound: impl Fn(u64) -> bool) -> Counts {
    let mut strengths = Counts::new();
    let mut counts = Counts::new();
    for crash in evidence {
        let held = crash.held.iter().filter(|held| !crash.suspects.contains(held));
        for suspect in crash.suspects.iter().chain(held) {
            strengths.entry(*suspect).or_default().add(crash.is_early);
        }
        for suspect in crash.suspects.iter().filter(|suspect| !crash.held.contains(suspect)) {
            if crash.held.is_empty() || suspects::is_request(*suspect) {
                counts.entry(*suspect).or_default().add(crash.is_early);
            }
        }
    }
    let strength = |suspect: &u64| strengths.get(suspect).map_or(0, |count| count.total());
    for crash in evidence.iter().filter(|crash| !crash.held.is_empty()) {
        let is_by_request = crash.held.iter().any(|held| suspects::is_request(*held));
        let strongest = crash.held.iter().map(strength).max().unwrap_or_default();
        for suspect in crash.suspects.iter().filter(|suspect| !crash.held.contains(suspect)) {
            if let Some(count) = counts.get_mut(suspect)
                && !suspects::is_request(*suspect)
                && strength(suspect) > strongest
                && !(is_by_request && was_sound(*suspect))
            {
                count.add(crash.is_early);
            }
        }
    }
    counts
}
