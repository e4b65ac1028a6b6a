//! Speeds of engines, learned from the streams that gateways relay.
//!
//! Load pattern: engines of one service differ in speed by a factor of two or more, and each
//! gateway relays too few streams to learn all speeds by itself within seconds. So gateways share
//! what they measure, which also lets them prefer the same engines.
//!
//! [`Paces`] makes all decisions without input or output and imports none of the gateway's modules.
//! [`exchange`] has the messages between gateways and the task that sends them, and imports the
//! modules that send messages and read the store.

pub mod exchange;

use std::collections;
use std::sync;
use std::time;

use crate::id;

/// Time constant with which earlier measurements lose their weight.
const MEMORY: time::Duration = time::Duration::from_secs(20);
/// Number of events of a stream from which the time between them says something about the engine. The
/// first and last events of short streams are often received late, and together.
const MIN_EVENTS: u64 = 5;
/// Number of pauses between events that make a measurement of weight 1.
const PAUSES_PER_WEIGHT: f64 = 8.0;
/// Largest weight of one stream.
const MAX_STREAM_WEIGHT: f64 = 2.0;
/// Part of its weight that a measurement above the present pace has. Prompts that are processed
/// meanwhile and other load make streams slower than the engine is, and nothing makes them faster.
const SLOWER_WEIGHT: f64 = 0.2;
/// Largest number of engines for which measurements wait to be sent to another gateway.
const MAX_UNSENT: usize = 256;
/// Largest number of engines in one message.
const MAX_SENT: usize = 64;
/// Change of the logarithm of a pace from which other gateways are told again.
const REPORTED_CHANGE: f64 = 0.08;
/// Difference of the logarithm of a pace from the median up to which an engine has the usual speed.
/// Engines of equal speed differ by that much because of their load.
const EQUAL_DIFFERENCE: f64 = 0.2;
/// Largest factor by which an engine counts as slower or faster than the median.
const MAX_SLOWNESS: f64 = 4.0;
/// Shortest and longest time between two events that is believed, in seconds.
const PLAUSIBLE_SECONDS: std::ops::RangeInclusive<f64> = 0.000_1..=30.0;

/// Time between the events of an engine's streams while it has little other work.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Pace {
    /// Natural logarithm of the seconds between two events. Logarithms are averaged, so that a few
    /// long pauses do not outweigh many short ones.
    #[serde(rename = "ln")]
    pub ln_seconds: f64,
    /// Number of streams that it was measured on, less those that are long past.
    pub weight: f64,
}

impl Pace {
    fn is_plausible(&self) -> bool {
        let seconds = self.ln_seconds.exp();
        PLAUSIBLE_SECONDS.contains(&seconds) && self.weight.is_finite() && self.weight > 0.0
    }

    /// Adds another pace with its weight.
    fn add(&mut self, other: Pace) {
        let total = self.weight + other.weight;
        self.ln_seconds =
            (self.ln_seconds * self.weight + other.ln_seconds * other.weight) / total.max(1e-9);
        self.weight = total;
    }
}

/// Pace of one engine with its history.
#[derive(Clone, Copy, Debug)]
struct Record {
    pace: Pace,
    /// When the weight was last reduced by age.
    updated_at: time::Duration,
    /// Logarithm as of the revision with which it was last reported; `None` before the first.
    reported_ln: Option<f64>,
    /// When it was last reported.
    reported_at: time::Duration,
    revision: u64,
}

/// What a gateway knows about the paces of engines.
#[derive(Debug)]
pub struct Paces {
    /// Tells the revisions of this process from those of others.
    generation: u64,
    records: collections::BTreeMap<id::InstanceId, Record>,
    /// Measurements, own and relayed ones, that were not sent to another gateway yet.
    unsent: collections::BTreeMap<id::InstanceId, Pace>,
    /// Counts reported changes.
    revision: u64,
}

/// State of the paces of one process that another one knows.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct KnownState {
    /// Number that identifies the process.
    pub generation: u64,
    /// Revision of its paces.
    pub revision: u64,
}

impl Paces {
    /// Makes an empty record of paces. `generation` is a random number.
    pub fn new(generation: u64) -> Self {
        Self {
            generation,
            records: collections::BTreeMap::new(),
            unsent: collections::BTreeMap::new(),
            revision: 0,
        }
    }

    /// Records a stream of `events` events that were received within `time`.
    pub fn record_stream(
        &mut self,
        now: time::Duration,
        engine: &id::InstanceId,
        events: u64,
        time: time::Duration,
    ) {
        if events < MIN_EVENTS {
            return;
        }
        let seconds = time.as_secs_f64() / (events - 1) as f64;
        let weight = ((events - 1) as f64 / PAUSES_PER_WEIGHT).min(MAX_STREAM_WEIGHT);
        let pace = Pace { ln_seconds: seconds.max(1e-9).ln(), weight };
        if !pace.is_plausible() {
            return;
        }
        self.record(now, engine, pace);
        self.add_unsent(engine, pace);
    }

    /// Records a measurement of another gateway, and passes it on with the own ones.
    pub fn record_relayed(&mut self, now: time::Duration, engine: &id::InstanceId, pace: Pace) {
        if pace.is_plausible() {
            self.record(now, engine, pace);
            self.add_unsent(engine, pace);
        }
    }

    fn add_unsent(&mut self, engine: &id::InstanceId, pace: Pace) {
        if self.unsent.len() < MAX_UNSENT || self.unsent.contains_key(engine) {
            self.unsent.entry(engine.clone()).or_default().add(pace);
        }
    }

    /// Records a measurement of this gateway or of another one.
    fn record(&mut self, now: time::Duration, engine: &id::InstanceId, pace: Pace) {
        let empty = Record {
            pace: Pace::default(),
            updated_at: now,
            reported_ln: None,
            reported_at: now,
            revision: 0,
        };
        let record = self.records.entry(engine.clone()).or_insert(empty);
        let age = now.saturating_sub(record.updated_at).as_secs_f64();
        record.pace.weight *= (-age / MEMORY.as_secs_f64()).exp();
        record.updated_at = now;
        let is_slower = record.pace.weight > 0.0 && pace.ln_seconds > record.pace.ln_seconds;
        let factor = if is_slower { SLOWER_WEIGHT } else { 1.0 };
        record.pace.add(Pace { weight: pace.weight * factor, ..pace });
        let latest = record.pace.ln_seconds;
        let has_changed =
            record.reported_ln.is_none_or(|reported| (latest - reported).abs() >= REPORTED_CHANGE);
        // Others forget a pace that is not stated again.
        if has_changed || now.saturating_sub(record.reported_at) >= MEMORY {
            self.revision += 1;
            record.reported_ln = Some(latest);
            record.reported_at = now;
            record.revision = self.revision;
        }
    }

    /// Replaces what is known about an engine by what a gateway that knows more has stated.
    pub fn adopt(&mut self, now: time::Duration, engine: id::InstanceId, pace: Pace) {
        if !pace.is_plausible() {
            return;
        }
        self.revision += 1;
        let revision = self.revision;
        let reported_ln = Some(pace.ln_seconds);
        let record = Record { pace, updated_at: now, reported_ln, reported_at: now, revision };
        self.records.insert(engine, record);
    }

    /// Forgets the measurements that wait to be sent, as there is no gateway to send them to.
    pub fn clear_unsent(&mut self) {
        self.unsent.clear();
    }

    /// Returns measurements that were not returned before, at most those of [`MAX_SENT`] engines.
    pub fn take_unsent(&mut self) -> Vec<(id::InstanceId, Pace)> {
        let first: Vec<_> = self.unsent.keys().take(MAX_SENT).cloned().collect();
        let taken = first.into_iter().filter_map(|engine| self.unsent.remove_entry(&engine));
        taken.collect()
    }

    /// Returns the paces that have changed after a known state, the oldest changes first, and the
    /// state up to which these are all.
    pub fn changes_since(&self, known: KnownState) -> (Vec<(id::InstanceId, Pace)>, KnownState) {
        let revision = if known.generation == self.generation { known.revision } else { 0 };
        let is_changed = |record: &&Record| record.revision > revision;
        let mut changed: Vec<_> = self
            .records
            .iter()
            .filter(|(_, record)| is_changed(record))
            .map(|(engine, record)| (record.revision, engine, record.pace))
            .collect();
        changed.sort_by_key(|(revision, ..)| *revision);
        changed.truncate(MAX_SENT);
        let last = changed.last().map_or(self.revision, |(revision, ..)| *revision);
        let paces = changed.into_iter().map(|(_, engine, pace)| (engine.clone(), pace));
        (paces.collect(), KnownState { generation: self.generation, revision: last })
    }

    /// Forgets paces that were neither measured nor adopted within three times [`MEMORY`], and returns
    /// the others.
    pub fn prune_and_list(&mut self, now: time::Duration) -> Vec<(id::InstanceId, Pace)> {
        self.records.retain(|_, record| now.saturating_sub(record.updated_at) < 3 * MEMORY);
        self.records.iter().map(|(engine, record)| (engine.clone(), record.pace)).collect()
    }
}

/// Paces that the tasks of a process share; clones refer to the same ones.
#[derive(Clone, Debug)]
pub struct SharedPaces(sync::Arc<sync::Mutex<Paces>>);

impl SharedPaces {
    /// Shares a record of paces.
    pub fn new(paces: Paces) -> Self {
        Self(sync::Arc::new(sync::Mutex::new(paces)))
    }

    /// Runs a function on the paces.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn with<T>(&self, work: impl FnOnce(&mut Paces) -> T) -> T {
        work(&mut self.0.lock().expect("no holder panics"))
    }
}

/// Returns how slow engines are relative to the median of them, 1 for one of usual speed. Few
/// measurements move an engine only a part of the way.
pub fn relative_slowness(paces: &[Pace]) -> Vec<f64> {
    let mut sorted: Vec<f64> = paces.iter().map(|pace| pace.ln_seconds).collect();
    sorted.sort_by(f64::total_cmp);
    let median = sorted.get(sorted.len() / 2).copied().unwrap_or_default();
    paces
        .iter()
        .map(|pace| {
            let certainty = pace.weight / (pace.weight + 1.0);
            let difference = (pace.ln_seconds - median) * certainty;
            if difference.abs() < EQUAL_DIFFERENCE {
                return 1.0;
            }
            difference.exp().clamp(1.0 / MAX_SLOWNESS, MAX_SLOWNESS)
        })
        .collect()
}
