//! Picks the engine for a generation.
//!
//! Load pattern: most prompts begin with parts that other prompts share, a few parts get much of
//! the traffic, and results of earlier stages weigh megabytes. An engine that has a prompt's parts
//! in its cache does not read them again; one near the results does not pull them over a slow link;
//! and neither may pile all work on one engine.

use std::collections;
use std::time;

use crate::id;
use crate::routing;
use crate::unit;

/// Prompt tokens that an engine reads in a millisecond, until more is known of it.
const TOKENS_PER_MS: f64 = 70.0;
/// Milliseconds that each running generation adds to the time for a new one.
const GENERATION_COST_MS: f64 = 2.0;
/// Time for which parts are expected to stay in a cache.
const CACHE_LIFETIME: time::Duration = time::Duration::from_secs(10);
/// Most parts remembered for one engine.
const MAX_CACHED_PARTS: usize = 4_000;
/// Milliseconds to bring a megabyte from another failure domain of the region.
const REGION_MS_PER_MB: f64 = 10.0;
/// Milliseconds to bring a megabyte from another region.
const REMOTE_MS_PER_MB: f64 = 400.0;

/// One part of a prompt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PromptPart {
    /// Its id.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u64,
}

/// What an engine is expected to have in its cache.
#[derive(Clone, Debug, Default)]
struct Cache {
    last_used: collections::BTreeMap<u64, time::Duration>,
}

impl Cache {
    /// Returns the tokens that have to be read: those after the first part that is missing.
    fn count_missing(&self, now: time::Duration, parts: &[PromptPart]) -> u64 {
        let is_kept = |part: &&PromptPart| {
            self.last_used
                .get(&part.id)
                .is_some_and(|used| now.saturating_sub(*used) < CACHE_LIFETIME)
        };
        let kept: u64 = parts.iter().take_while(is_kept).map(|part| part.tokens).sum();
        parts.iter().map(|part| part.tokens).sum::<u64>() - kept
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

/// An engine that may be picked.
#[derive(Clone, Debug)]
pub struct Candidate {
    /// The engine.
    pub instance: id::InstanceId,
    /// How far it is from the gateway.
    pub tier: routing::Tier,
    /// Generations of this gateway that run there.
    pub in_flight: u32,
    /// Prompt tokens of generations that were sent there and have not begun to answer.
    pub unread_tokens: u64,
    /// Ratio of the time that its calls take to the time that they should take.
    pub slowness: f64,
    /// Bytes of results in other failure domains of its region.
    pub region_bytes: unit::ByteSize,
    /// Bytes of results in other regions.
    pub remote_bytes: unit::ByteSize,
}

/// A picked engine with the figures that decided.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The engine.
    pub instance: id::InstanceId,
    /// Expected time to its first token, in milliseconds.
    pub cost_ms: f64,
    /// Prompt tokens that it is expected to read.
    pub tokens: u64,
}

/// What a gateway expects the caches of all engines to hold.
#[derive(Clone, Debug, Default)]
pub struct Placement {
    caches: collections::BTreeMap<id::InstanceId, Cache>,
}

impl Placement {
    /// Forgets an engine that is gone or began another life.
    pub fn remove_engine(&mut self, instance: &id::InstanceId) {
        self.caches.remove(instance);
    }

    /// Picks the engine that is expected to answer first.
    pub fn pick(
        &self,
        now: time::Duration,
        parts: &[PromptPart],
        candidates: &[Candidate],
    ) -> Option<Choice> {
        let favourite = Self::preferred_engine(parts, candidates);
        // Other gateways keep the shared parts in the favourite's cache; another engine has to read
        // them, unless this gateway sent them there.
        let shared: u64 = parts.iter().rev().skip(1).map(|part| part.tokens).sum();
        let stranger = shared as f64 / TOKENS_PER_MS;
        let empty = Cache::default();
        candidates
            .iter()
            .map(|candidate| {
                let cache = self.caches.get(&candidate.instance).unwrap_or(&empty);
                let tokens = cache.count_missing(now, parts);
                let mut cost = cost_of_candidate(candidate, tokens);
                if Some(&candidate.instance) != favourite.as_ref() {
                    cost += stranger;
                }
                Choice { instance: candidate.instance.clone(), cost_ms: cost, tokens }
            })
            .min_by(|a, b| a.cost_ms.total_cmp(&b.cost_ms))
    }

    /// Takes note that a prompt was sent to an engine.
    pub fn record(&mut self, now: time::Duration, instance: &id::InstanceId, parts: &[PromptPart]) {
        self.caches.entry(instance.clone()).or_default().record(now, parts);
    }

    /// Returns the engine that every gateway of the region would pick for the shared parts if all
    /// were idle: the one with the highest rendezvous hash.
    fn preferred_engine(parts: &[PromptPart], candidates: &[Candidate]) -> Option<id::InstanceId> {
        // The last part belongs to one request or session; the one before it is shared most
        // narrowly.
        let key = match parts {
            [] => return None,
            [only] => only.id,
            [.., shared, _] => shared.id,
        };
        candidates
            .iter()
            .max_by_key(|candidate| {
                xxhash_rust::xxh3::xxh3_64_with_seed(candidate.instance.as_str().as_bytes(), key)
            })
            .map(|candidate| candidate.instance.clone())
    }
}

fn cost_of_candidate(candidate: &Candidate, tokens: u64) -> f64 {
    let megabytes = |size: unit::ByteSize| size.0 as f64 / 1e6;
    let reading = (candidate.unread_tokens + tokens) as f64 / TOKENS_PER_MS;
    let sharing = f64::from(candidate.in_flight) * GENERATION_COST_MS;
    (reading + sharing) * candidate.slowness
        + megabytes(candidate.region_bytes) * REGION_MS_PER_MB
        + megabytes(candidate.remote_bytes) * REMOTE_MS_PER_MB
}
