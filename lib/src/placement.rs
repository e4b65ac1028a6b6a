//! Chooses the engine for a generation.
//!
//! Load pattern: most prompts begin with parts that other prompts share, a few parts receive much
//! of the traffic, and results of earlier stages have a size of megabytes. An engine that has the
//! parts of a prompt in its cache need not process them again, and an engine near the results need
//! not fetch them over a slow link. Neither may concentrate all work on one engine.

use std::collections;
use std::time;

use crate::id;
use crate::routing;
use crate::unit;

/// Nominal rate at which an engine processes prompt tokens, per millisecond.
const TOKENS_PER_MS: f64 = 70.0;
/// Milliseconds that each running generation adds to the time to the first token of a new one.
const GENERATION_COST_MS: f64 = 2.0;
/// Time since its last use for which a part is assumed to be in a cache.
const CACHE_LIFETIME: time::Duration = time::Duration::from_secs(10);
/// Number of recorded parts of one engine from which outdated ones are removed.
const MAX_CACHED_PARTS: usize = 4_000;
/// Time for a request to another region and the start of its answer to cross the link.
const REMOTE_ROUND_TRIP: time::Duration = time::Duration::from_millis(40);
/// Milliseconds to transfer a megabyte from another failure domain of the region.
const REGION_MS_PER_MB: f64 = 10.0;
/// Milliseconds to transfer a megabyte from another region.
const REMOTE_MS_PER_MB: f64 = 400.0;

/// Ratio of the speeds of two engines from which the faster one is preferred for a part. Engines of
/// equal speed differ by less in what gateways measure, and parts must not move between them.
const MIN_SPEED_RATIO: f64 = 1.5;

/// One part of a prompt that engines cache as a unit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Id that the caller gives; prompts that share a part use the same id.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u64,
}

/// Returns the parts of a prompt that other prompts may share: all but the last one.
pub fn shared_parts(parts: &[PromptPart]) -> impl Iterator<Item = &PromptPart> {
    parts.iter().take(parts.len().saturating_sub(1))
}

/// Prompt parts that an engine is assumed to have in its cache, with the time of their last use.
#[derive(Clone, Debug, Default)]
struct Cache {
    last_used: collections::BTreeMap<u64, time::Duration>,
}

impl Cache {
    /// Returns the number of tokens that have to be processed: those from the first part that is
    /// not cached.
    fn count_missing(&self, now: time::Duration, parts: &[PromptPart]) -> u64 {
        let is_cached = |part: &&PromptPart| {
            self.last_used
                .get(&part.id)
                .is_some_and(|used| now.saturating_sub(*used) < CACHE_LIFETIME)
        };
        let cached_tokens: u64 = parts.iter().take_while(is_cached).map(|part| part.tokens).sum();
        parts.iter().map(|part| part.tokens).sum::<u64>() - cached_tokens
    }

    fn record(&mut self, now: time::Duration, parts: &[PromptPart]) {
        if self.last_used.len() > MAX_CACHED_PARTS {
            self.last_used.retain(|_, used| now.saturating_sub(*used) < CACHE_LIFETIME);
        }
        for part in parts {
            self.last_used.insert(part.id, now);
        }
    }
}

/// An engine that can be chosen or, for a request that is no generation, an upstream without an
/// engine.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// Instance id of the engine.
    pub instance: id::InstanceId,
    /// Distance of the engine from the gateway.
    pub tier: routing::Tier,
    /// Number of calls of this gateway in flight to the engine.
    pub in_flight: u32,
    /// Prompt tokens of calls to the engine whose answer has not begun.
    pub unread_tokens: u64,
    /// Ratio of the observed to the expected time of its calls.
    pub slowness: f64,
    /// Time between the events of its streams relative to other engines. Estimates leave it out: all
    /// gateways know the same paces and would send what exceeds their preferred engines to the
    /// fastest one.
    pub pace: f64,
    /// Size of the inputs that are stored in other failure domains of its region.
    pub region_bytes: unit::ByteSize,
    /// Size of the inputs that are stored in other regions.
    pub remote_bytes: unit::ByteSize,
}

/// The chosen engine or upstream, with the figures that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// Instance id of the engine.
    pub instance: id::InstanceId,
    /// Estimated time to its first token or, without an engine, to its answer, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that it is assumed to process, as they are not in its cache; 0 without an
    /// engine.
    pub tokens: u64,
    /// Whether it is the engine that every gateway prefers for the shared parts of the prompt.
    pub is_preferred: bool,
}

/// Prompt parts that the engines are assumed to have in their caches.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    caches: collections::BTreeMap<id::InstanceId, Cache>,
}

impl Placement {
    /// Drops the record of an engine that is gone or was restarted.
    pub fn remove_engine(&mut self, instance: &id::InstanceId) {
        self.caches.remove(instance);
    }

    /// Chooses the engine with the lowest estimated time to the first token; `None` if there are no
    /// candidates.
    pub fn pick(
        &self,
        now: time::Duration,
        parts: &[PromptPart],
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let engines = candidates.iter().map(|candidate| (&candidate.instance, candidate.pace));
        let preferred = preferred_engine(parts, engines);
        // Other gateways send prompts with the shared parts to the preferred engine, which keeps
        // them in its cache. Every other engine is charged with the time to process them.
        let shared_read_ms = shared_read_time(parts).as_secs_f64() * 1_000.0;
        let empty = Cache::default();
        candidates
            .iter()
            .map(|candidate| {
                let cache = self.caches.get(&candidate.instance).unwrap_or(&empty);
                let tokens = cache.count_missing(now, parts);
                let mut cost_ms = estimate_cost_ms(candidate, tokens);
                let is_preferred = Some(&candidate.instance) == preferred;
                if !is_preferred {
                    cost_ms += shared_read_ms;
                }
                Choice { instance: candidate.instance.clone(), cost_ms, tokens, is_preferred }
            })
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    /// Records that a prompt was sent to an engine.
    pub fn record(&mut self, now: time::Duration, instance: &id::InstanceId, parts: &[PromptPart]) {
        self.caches.entry(instance.clone()).or_default().record(now, parts);
    }
}

/// Returns the engine that every gateway prefers for the shared parts of a prompt, whatever its load:
/// the faster one of the two with the highest rendezvous hash. `engines` come with their paces.
/// `None` without parts or engines.
///
/// With two engines to choose from, fast engines get more parts than slow ones, and gateways that
/// disagree about speeds still divide a part among two engines at most.
pub fn preferred_engine<'a>(
    parts: &[PromptPart],
    engines: impl Iterator<Item = (&'a id::InstanceId, f64)>,
) -> Option<&'a id::InstanceId> {
    // The last part belongs to a single request or session. Of the shared parts, the one before it
    // is common to the fewest prompts.
    let key = match parts {
        [] => return None,
        [only] => only.id,
        [.., shared, _] => shared.id,
    };
    let mut best: [Option<(u64, &id::InstanceId, f64)>; 2] = [None, None];
    for (engine, pace) in engines {
        let hash = xxhash_rust::xxh3::xxh3_64_with_seed(engine.as_str().as_bytes(), key);
        let entry = Some((hash, engine, pace));
        let rank = best.iter().position(|other| other.is_none_or(|(other, ..)| hash > other));
        match rank {
            Some(0) => best = [entry, best[0]],
            Some(_) => best[1] = entry,
            None => {}
        }
    }
    let (_, first, first_pace) = best[0]?;
    match best[1] {
        Some((_, second, pace)) if pace * MIN_SPEED_RATIO < first_pace => Some(second),
        _ => Some(first),
    }
}

/// Returns whether the shared parts of a prompt take longer to process than another region is away,
/// so that an engine there that has them in its cache answers sooner than a near one without them.
pub fn is_worth_distance(parts: &[PromptPart]) -> bool {
    shared_read_time(parts) > REMOTE_ROUND_TRIP
}

/// Returns the time to process all parts but the last, which belongs to a single request or
/// session.
pub fn shared_read_time(parts: &[PromptPart]) -> time::Duration {
    let shared: u64 = shared_parts(parts).map(|part| part.tokens).sum();
    time::Duration::from_secs_f64(shared as f64 / TOKENS_PER_MS / 1_000.0)
}

/// Estimates the time to the first token of a prompt of which `tokens` are not cached.
fn estimate_cost_ms(candidate: &Candidate, tokens: u64) -> f64 {
    let to_megabytes = |size: unit::ByteSize| size.0 as f64 / 1e6;
    let read_ms = (candidate.unread_tokens + tokens) as f64 / TOKENS_PER_MS;
    let generation_ms = f64::from(candidate.in_flight) * GENERATION_COST_MS;
    (read_ms + generation_ms) * candidate.slowness
        + to_megabytes(candidate.region_bytes) * REGION_MS_PER_MB
        + to_megabytes(candidate.remote_bytes) * REMOTE_MS_PER_MB
}
