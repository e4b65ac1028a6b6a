//! What operators do through the command line: write the configuration, drain instances, and see
//! how far each process is.

use std::collections;
use std::time;

use crate::check;
use crate::diagnostic;
use crate::http;
use crate::id;
use crate::registry;
use crate::revision;
use crate::store;

/// Times that a call is repeated whose answer was lost.
const MAX_TRIES: u32 = 6;
/// Pause between two tries.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Time that a process has to tell its state.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Processes asked at a time.
const STATUS_BATCH: usize = 32;
/// Largest configuration that the store holds, in bytes.
const MAX_CONFIG_BYTES: usize = 1_000_000;

/// An operator's wish that was not carried out.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum OperatorError {
    /// The text has faults.
    #[display("the text has {} fault(s)", errors.0.len())]
    Invalid {
        /// All of them.
        errors: diagnostic::Diagnostics,
    },
    /// The text is larger than the store holds.
    #[display("the text has {size} bytes, more than {MAX_CONFIG_BYTES}; shorten it")]
    TooLarge {
        /// Size of the text.
        size: usize,
    },
    /// Somebody else changed the configuration.
    #[display(
        "the configuration changed since you read it: it is at revision {found}, not {expected}"
    )]
    Conflict {
        /// Revision that the operator knew.
        expected: id::Revision,
        /// Revision in the store.
        found: id::Revision,
        /// What changed, if the earlier text is known.
        changes: Vec<String>,
    },
    /// It is not known whether a write took effect.
    #[display("the store did not say whether the write took effect; nothing else was changed")]
    Unknown,
    /// No configuration was ever accepted.
    #[display("the store holds no configuration; run `bramleyshelf apply FILE` first")]
    NoConfig,
    /// The store holds something else than a configuration.
    #[display("the store's configuration could not be read ({message}); apply a valid text")]
    Unreadable {
        /// What was wrong.
        message: String,
    },
    /// No process is registered under the name.
    #[display("no process of instance `{instance}` is registered; see `bramleyshelf status`")]
    UnknownInstance {
        /// The name.
        instance: id::InstanceId,
    },
    /// A drain would leave too few upstreams.
    #[display(
        "draining `{instance}` would leave {left} upstream(s) of `{service}`, which keeps {keep}; \
         undrain another one first or give --force"
    )]
    TooFewUpstreams {
        /// The instance.
        instance: id::InstanceId,
        /// Its service.
        service: id::ServiceId,
        /// Upstreams that would be left.
        left: usize,
        /// Upstreams that have to be left.
        keep: u32,
    },
    /// The store failed.
    #[display("{source}")]
    Store {
        /// How.
        source: store::StoreError,
    },
}

impl From<store::StoreError> for OperatorError {
    fn from(source: store::StoreError) -> Self {
        Self::Store { source }
    }
}

/// The configuration in the store; revision zero stands for none.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    /// Its revision.
    pub revision: id::Revision,
    /// What was accepted.
    pub stored: revision::StoredConfig,
}

/// Reads the configuration in the store.
///
/// # Errors
/// Fails if the store does not answer, or holds something else.
pub async fn read_config<S: store::Store>(store: &S) -> Result<CurrentConfig, OperatorError> {
    let snapshot = store.range(store::CONFIG_KEY, false).await?;
    let Some(entry) = snapshot.entries.first() else {
        return Ok(CurrentConfig::default());
    };
    let accepted = serde_json::from_slice(&entry.value)
        .map_err(|e| OperatorError::Unreadable { message: e.to_string() })?;
    Ok(CurrentConfig { revision: id::Revision(entry.mod_revision), stored: accepted })
}

/// Puts a text in force; the drains stay as they are.
///
/// # Errors
/// Fails if the text has faults, or if the configuration is not at the revision `expect`.
pub async fn apply<S: store::Store>(
    store: &S,
    text: &str,
    expect: Option<id::Revision>,
    nonce: &str,
) -> Result<id::Revision, OperatorError> {
    check::parse(text).map_err(|errors| OperatorError::Invalid { errors })?;
    if text.len() > MAX_CONFIG_BYTES {
        return Err(OperatorError::TooLarge { size: text.len() });
    }
    let current = read_config(store).await?;
    if let Some(expected) = expect.filter(|expected| *expected != current.revision) {
        return Err(raced(expected, &current, ""));
    }
    let next = revision::StoredConfig {
        nonce: nonce.to_owned(),
        draining: current.stored.draining.clone(),
        text: text.to_owned(),
    };
    write(store, &current, &next).await
}

fn raced(expected: id::Revision, found: &CurrentConfig, known: &str) -> OperatorError {
    let changes = if known.is_empty() { Vec::new() } else { diff_texts(known, &found.stored.text) };
    OperatorError::Conflict { expected, found: found.revision, changes }
}

/// Writes a configuration over the one that was read.
///
/// The write is repeated while its answer is lost. That is safe, because it only takes effect on
/// the revision that was read, and the nonce tells whether an earlier try did.
async fn write<S: store::Store>(
    store: &S,
    current: &CurrentConfig,
    next: &revision::StoredConfig,
) -> Result<id::Revision, OperatorError> {
    let value: bytes::Bytes = serde_json::json!(next).to_string().into();
    let compare = store::Compare::ModRevision(store::CONFIG_KEY.to_owned(), current.revision.0);
    let put = store::Write::Put(store::CONFIG_KEY.to_owned(), value, None);
    for tried in 0..MAX_TRIES {
        match store.commit(std::slice::from_ref(&compare), std::slice::from_ref(&put)).await {
            Ok(outcome) if outcome.is_applied => return Ok(id::Revision(outcome.revision)),
            Ok(_) => return settle(store, current, next, tried > 0).await,
            Err(e) => {
                log::warn!("event=write_unanswered try={tried} error={:?}", e.to_string());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    Err(OperatorError::Unknown)
}

/// Finds out whether an earlier try took effect, after the store refused this one.
async fn settle<S: store::Store>(
    store: &S,
    current: &CurrentConfig,
    next: &revision::StoredConfig,
    was_unanswered: bool,
) -> Result<id::Revision, OperatorError> {
    let found = read_config(store).await?;
    if found.stored.nonce == next.nonce {
        return Ok(found.revision);
    }
    if was_unanswered {
        // Our write may have taken effect and been replaced since.
        return Err(OperatorError::Unknown);
    }
    Err(raced(current.revision, &found, &current.stored.text))
}

/// Drains an instance or takes the drain back.
///
/// # Errors
/// Fails if the instance is unknown, or if its service would be left with too few upstreams and
/// `force` is not given.
pub async fn set_draining<S: store::Store>(
    store: &S,
    instance: &id::InstanceId,
    draining: bool,
    force: bool,
    nonce: &str,
) -> Result<id::Revision, OperatorError> {
    let mut last = None;
    for _ in 0..MAX_TRIES {
        let current = read_config(store).await?;
        if current.revision == id::Revision(0) {
            return Err(OperatorError::NoConfig);
        }
        if current.stored.draining.contains(instance) == draining {
            return Ok(current.revision);
        }
        if draining && !force {
            check_drain(store, &current, instance).await?;
        }
        let mut next = current.stored.clone();
        nonce.clone_into(&mut next.nonce);
        if draining {
            next.draining.insert(instance.clone());
        } else {
            next.draining.remove(instance);
        }
        match write(store, &current, &next).await {
            // Another change came first: look at its result and decide anew.
            Err(e @ OperatorError::Conflict { .. }) => last = Some(e),
            other => return other,
        }
    }
    Err(last.unwrap_or(OperatorError::Unknown))
}

async fn check_drain<S: store::Store>(
    store: &S,
    current: &CurrentConfig,
    instance: &id::InstanceId,
) -> Result<(), OperatorError> {
    let processes = read_processes(store).await?;
    let Some(process) = processes.get(instance) else {
        return Err(OperatorError::UnknownInstance { instance: instance.clone() });
    };
    let Some(service) = &process.service else {
        return Ok(());
    };
    let config =
        check::parse(&current.stored.text).map_err(|errors| OperatorError::Invalid { errors })?;
    let keep = config.services.get(service).map_or(0, |service| service.min_upstreams);
    let left = processes
        .iter()
        .filter(|(name, other)| {
            other.service.as_ref() == Some(service)
                && *name != instance
                && !current.stored.draining.contains(*name)
        })
        .count();
    if left < keep as usize {
        let (instance, service) = (instance.clone(), service.clone());
        return Err(OperatorError::TooFewUpstreams { instance, service, left, keep });
    }
    Ok(())
}

/// Processes by instance.
pub type Processes = collections::BTreeMap<id::InstanceId, registry::Process>;

/// Reads the registered processes.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn read_processes<S: store::Store>(store: &S) -> Result<Processes, OperatorError> {
    let snapshot = store.range(registry::PREFIX, true).await?;
    let known = snapshot.entries.iter().filter_map(|entry| {
        let name = entry.key.rsplit('/').next()?.parse().ok()?;
        Some((name, serde_json::from_slice(&entry.value).ok()?))
    });
    Ok(known.collect())
}

/// A process with its state, if it told it.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ProcessReport {
    /// The instance.
    pub instance: id::InstanceId,
    /// What is registered of it.
    pub process: registry::Process,
    /// Its state; missing if it did not answer.
    pub status: Option<registry::Status>,
}

impl ProcessReport {
    /// Whether the process has the revision, or a higher one, in force.
    pub fn has_reached(&self, revision: id::Revision) -> bool {
        self.status.as_ref().is_some_and(|status| status.revision >= revision)
    }
}

/// Asks all registered processes for their state.
///
/// # Errors
/// Fails if the store does not answer; a process that does not answer is reported as such.
pub async fn process_reports<S: store::Store>(
    store: &S,
) -> Result<Vec<ProcessReport>, OperatorError> {
    let client = http::client(false);
    let known: Vec<_> = read_processes(store).await?.into_iter().collect();
    let mut reports = Vec::new();
    for batch in known.chunks(STATUS_BATCH) {
        let asked: Vec<_> = batch
            .iter()
            .map(|(_, process)| tokio::spawn(ask(client.clone(), process.address)))
            .collect();
        for ((instance, process), asked) in batch.iter().zip(asked) {
            let status = asked.await.ok().flatten();
            let (instance, process) = (instance.clone(), process.clone());
            reports.push(ProcessReport { instance, process, status });
        }
    }
    Ok(reports)
}

async fn ask(client: http::Client, address: std::net::SocketAddr) -> Option<registry::Status> {
    let uri = format!("http://{address}/status");
    let request = hyper::Request::get(uri).body(http::Body::full("")).ok()?;
    let response = http::with_timeout(STATUS_TIMEOUT, client.request(request)).await?.ok()?;
    let body = http::read_body(response.into_body(), 1 << 16, STATUS_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns what differs between two texts, one line per JSON pointer.
pub fn diff_texts(old: &str, new: &str) -> Vec<String> {
    let parse = |text: &str| serde_json::from_str(text).unwrap_or(serde_json::Value::Null);
    let mut lines = Vec::new();
    compare("", Some(&parse(old)), Some(&parse(new)), &mut lines);
    lines
}

fn compare(
    pointer: &str,
    old: Option<&serde_json::Value>,
    new: Option<&serde_json::Value>,
    lines: &mut Vec<String>,
) {
    match (old, new) {
        (Some(serde_json::Value::Object(a)), Some(serde_json::Value::Object(b))) => {
            let names: collections::BTreeSet<_> = a.keys().chain(b.keys()).collect();
            for name in names {
                compare(&format!("{pointer}/{name}"), a.get(name), b.get(name), lines);
            }
        }
        (Some(a), Some(b)) if a == b => {}
        (Some(a), Some(b)) => lines.push(format!("~ {pointer}: {a} -> {b}")),
        (Some(a), None) => lines.push(format!("- {pointer}: {a}")),
        (None, Some(b)) => lines.push(format!("+ {pointer}: {b}")),
        (None, None) => {}
    }
}
