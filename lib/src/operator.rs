//! Operations behind the command line: write the configuration, drain instances, and query the
//! state of all processes.

use std::collections;
use std::time;

use crate::check;
use crate::diagnostic;
use crate::http;
use crate::id;
use crate::registry;
use crate::revision;
use crate::store;

/// Maximum number of attempts at a write whose response is lost, or at a drain that conflicts with
/// other changes.
const MAX_ATTEMPTS: u32 = 6;
/// Pause between two attempts.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(500);
/// Time within which a process has to answer a request for its status.
const STATUS_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Time within which the processes have to answer before a configuration is written.
const REPORTS_TIMEOUT: time::Duration = time::Duration::from_secs(10);
/// Number of processes that are queried concurrently.
const STATUS_BATCH: usize = 32;
/// Largest configuration text that is accepted; the store limits the size of a value.
const MAX_CONFIG_BYTES: usize = 1_000_000;

/// Reason why an operator's command was not carried out.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum OperatorError {
    /// The configuration text is invalid.
    #[display("the configuration has {} error(s)", errors.0.len())]
    Invalid {
        /// All errors found.
        errors: diagnostic::Diagnostics,
    },
    /// The configuration text is too large.
    #[display("the configuration has {size} bytes, more than {MAX_CONFIG_BYTES}; shorten it")]
    TooLarge {
        /// Size of the text in bytes.
        size: usize,
    },
    /// The configuration was changed by somebody else in the meantime.
    #[display(
        "the configuration changed since you read it: it is at revision {found}, not {expected}"
    )]
    Conflict {
        /// Revision on which the operator's change was based.
        expected: id::Revision,
        /// Current revision in the store.
        found: id::Revision,
        /// Differences from the text of the expected revision, one per line; empty if that text is
        /// not known.
        changes: Vec<String>,
    },
    /// No response was received to a write, so it may or may not have taken effect.
    #[display(
        "the store did not confirm the write, which may have taken effect; nothing else was changed"
    )]
    UnconfirmedWrite,
    /// The store has no configuration yet.
    #[display("the store holds no configuration; run `bramleyshelf apply FILE` first")]
    NoConfig,
    /// The value in the store is not a configuration.
    #[display("the store's configuration could not be read ({message}); apply a valid text")]
    Unreadable {
        /// Error message of the JSON parser.
        message: String,
    },
    /// No process is registered for the instance.
    #[display("no process of instance `{instance}` is registered; see `bramleyshelf status`")]
    UnknownInstance {
        /// Name as given by the operator.
        instance: id::InstanceId,
    },
    /// A drain would leave fewer upstreams in service than the configuration requires.
    #[display(
        "draining `{instance}` would leave {left} upstream(s) of `{service}`, which keeps \
         {min_upstreams}; undrain another one first or give --force"
    )]
    TooFewUpstreams {
        /// Instance to drain.
        instance: id::InstanceId,
        /// Service of its upstream.
        service: id::ServiceId,
        /// Number of upstreams that would be left in service.
        left: usize,
        /// Number of upstreams that have to stay in service.
        min_upstreams: u32,
    },
    /// The store did not answer, or answered with an error.
    #[display("{source}")]
    Store {
        /// Error of the store's client.
        source: store::StoreError,
    },
}

impl From<store::StoreError> for OperatorError {
    fn from(source: store::StoreError) -> Self {
        Self::Store { source }
    }
}

/// The configuration in the store.
#[derive(Clone, Debug, Default)]
pub struct CurrentConfig {
    /// Its revision; zero if the store has no configuration.
    pub revision: id::Revision,
    /// The store's revision of the write, on which the next one is based; zero if there is none.
    pub mod_revision: u64,
    /// Value in the store; empty if there is none.
    pub stored: revision::StoredConfig,
}

/// Reads the configuration in the store.
///
/// # Errors
/// Fails if the store does not answer, or if its value is not a configuration.
pub async fn read_config<S: store::Store>(store: &S) -> Result<CurrentConfig, OperatorError> {
    let snapshot = store.range(store::CONFIG_KEY, false).await?;
    let Some(entry) = snapshot.entries.first() else {
        return Ok(CurrentConfig::default());
    };
    let value: revision::StoredValue = serde_json::from_slice(&entry.value)
        .map_err(|e| OperatorError::Unreadable { message: e.to_string() })?;
    let revision = value.revision(entry.mod_revision);
    Ok(CurrentConfig { revision, mod_revision: entry.mod_revision, stored: value.config })
}

/// Writes a new configuration text and returns its revision; draining instances are kept.
///
/// # Errors
/// Fails if the text is invalid or too large, if the configuration is not at the revision `expect`
/// or changes meanwhile, or if the store does not answer.
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
        return Err(conflict(expected, &current, ""));
    }
    let next = revision::StoredConfig {
        nonce: nonce.to_owned(),
        draining: current.stored.draining.clone(),
        text: text.to_owned(),
    };
    publish(store, current, next).await
}

/// Returns the error for a configuration that is not at the expected revision; `base_text` is the
/// text of that revision, or empty if it is not known.
fn conflict(expected: id::Revision, found: &CurrentConfig, base_text: &str) -> OperatorError {
    let changes =
        if base_text.is_empty() { Vec::new() } else { diff_texts(base_text, &found.stored.text) };
    OperatorError::Conflict { expected, found: found.revision, changes }
}

/// Replaces the configuration that was read, with a revision above those of all processes.
///
/// After the write the processes are asked again. If the store was restored between the read and the
/// write, they may have configurations that the read did not show, and the write is repeated with a
/// higher revision.
async fn publish<S: store::Store>(
    store: &S,
    mut current: CurrentConfig,
    next: revision::StoredConfig,
) -> Result<id::Revision, OperatorError> {
    let mut highest = highest_revision(store).await?;
    let mut result = Err(OperatorError::UnconfirmedWrite);
    for _ in 0..MAX_ATTEMPTS {
        let revision = revision::next_revision([current.revision, highest], since_epoch());
        let written = write(store, &current, revision, &next).await?;
        result = Ok(written);
        // The configuration is in the store; what fails from here on is not a failed write.
        highest = highest_revision(store).await.unwrap_or_default();
        if highest <= written {
            break;
        }
        let found = read_config(store).await?;
        if found.stored.nonce != next.nonce {
            // A later configuration has replaced it, or a restore has removed it.
            if found.revision < written {
                return Err(conflict(written, &found, &next.text));
            }
            break;
        }
        log::warn!("event=revision_raised written={written} in_force={highest}");
        current = found;
    }
    result
}

/// Returns the highest revision that a registered process has in force; zero if none answers.
async fn highest_revision<S: store::Store>(store: &S) -> Result<id::Revision, OperatorError> {
    let Some(reports) = http::with_timeout(REPORTS_TIMEOUT, process_reports(store)).await else {
        log::warn!("event=reports_incomplete effect=\"the clock alone decides the revision\"");
        return Ok(id::Revision(0));
    };
    let revisions = reports?.into_iter().filter_map(|report| Some(report.status?.revision));
    Ok(revisions.max().unwrap_or_default())
}

fn since_epoch() -> time::Duration {
    time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default()
}

/// Replaces the configuration that was read, and returns the revision of the new one.
///
/// The write is repeated if its response is lost. That is safe: the store applies it only on top of
/// the revision that was read, and the nonce shows whether an earlier attempt took effect.
async fn write<S: store::Store>(
    store: &S,
    current: &CurrentConfig,
    revision: id::Revision,
    next: &revision::StoredConfig,
) -> Result<id::Revision, OperatorError> {
    let value = revision::StoredValue { number: Some(revision), config: next.clone() };
    let value: bytes::Bytes = serde_json::json!(value).to_string().into();
    let compare = store::Compare::ModRevision(store::CONFIG_KEY.to_owned(), current.mod_revision);
    let put = store::Write::Put(store::CONFIG_KEY.to_owned(), value, None);
    for attempt in 0..MAX_ATTEMPTS {
        match store.commit(std::slice::from_ref(&compare), std::slice::from_ref(&put)).await {
            Ok(outcome) if outcome.is_applied => return Ok(revision),
            Ok(_) => return resolve_rejected(store, current, next, attempt > 0).await,
            Err(e) => {
                log::warn!("event=write_unanswered try={attempt} error={:?}", e.to_string());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }
    Err(OperatorError::UnconfirmedWrite)
}

/// After the store rejected a write, determines whether an earlier attempt took effect.
///
/// `response_lost` says whether there was an earlier attempt, which ended without a response.
async fn resolve_rejected<S: store::Store>(
    store: &S,
    current: &CurrentConfig,
    next: &revision::StoredConfig,
    response_lost: bool,
) -> Result<id::Revision, OperatorError> {
    let found = read_config(store).await?;
    if found.stored.nonce == next.nonce {
        return Ok(found.revision);
    }
    if response_lost {
        // The earlier write may have taken effect and been replaced since.
        return Err(OperatorError::UnconfirmedWrite);
    }
    Err(conflict(current.revision, &found, &current.stored.text))
}

/// Starts or ends the drain of an instance; returns a revision of the configuration that has the
/// change.
///
/// # Errors
/// Fails if there is no configuration, or if the store does not answer. A drain also fails, unless
/// `force` is set, if the instance is unknown or its service would be left with too few upstreams.
pub async fn set_draining<S: store::Store>(
    store: &S,
    instance: &id::InstanceId,
    draining: bool,
    force: bool,
    nonce: &str,
) -> Result<id::Revision, OperatorError> {
    let mut last_conflict = None;
    for _ in 0..MAX_ATTEMPTS {
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
        match publish(store, current, next).await {
            // Another change came first: read it and check again.
            Err(e @ OperatorError::Conflict { .. }) => last_conflict = Some(e),
            other => return other,
        }
    }
    Err(last_conflict.unwrap_or(OperatorError::UnconfirmedWrite))
}

/// Checks that draining an instance leaves enough upstreams of its service.
///
/// Registered upstreams that are draining already do not count. An entry can always be drained.
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
    let min_upstreams = config.services.get(service).map_or(0, |service| service.min_upstreams);
    let left = processes
        .iter()
        .filter(|(name, other)| {
            other.service.as_ref() == Some(service)
                && *name != instance
                && !current.stored.draining.contains(*name)
        })
        .count();
    if left < min_upstreams as usize {
        let (instance, service) = (instance.clone(), service.clone());
        return Err(OperatorError::TooFewUpstreams { instance, service, left, min_upstreams });
    }
    Ok(())
}

/// Registered processes by instance.
pub type Processes = collections::BTreeMap<id::InstanceId, registry::Process>;

/// Reads the registered processes from the store; entries that cannot be parsed are skipped.
///
/// # Errors
/// Fails if the store does not answer.
pub async fn read_processes<S: store::Store>(store: &S) -> Result<Processes, OperatorError> {
    let snapshot = store.range(registry::PREFIX, true).await?;
    let registered = snapshot.entries.iter().filter_map(|entry| {
        let name = entry.key.rsplit('/').next()?.parse().ok()?;
        Some((name, serde_json::from_slice(&entry.value).ok()?))
    });
    Ok(registered.collect())
}

/// A registered process and its status.
#[derive(Clone, Debug, serde::Serialize)]
pub struct ProcessReport {
    /// Name of the instance.
    pub instance: id::InstanceId,
    /// Registration in the store.
    pub process: registry::Process,
    /// Status reported by the process; `None` if it did not answer in time.
    pub status: Option<registry::Status>,
}

impl ProcessReport {
    /// Returns whether the revision, or a higher one, is active in the process.
    pub fn has_reached(&self, revision: id::Revision) -> bool {
        self.status.as_ref().is_some_and(|status| status.revision >= revision)
    }
}

/// Queries the status of all registered processes.
///
/// # Errors
/// Fails if the store does not answer. A process that does not answer is reported without a status.
pub async fn process_reports<S: store::Store>(
    store: &S,
) -> Result<Vec<ProcessReport>, OperatorError> {
    let client = http::client(false);
    let processes: Vec<_> = read_processes(store).await?.into_iter().collect();
    let mut reports = Vec::new();
    for batch in processes.chunks(STATUS_BATCH) {
        let queries: Vec<_> = batch
            .iter()
            .map(|(_, process)| tokio::spawn(query_status(client.clone(), process.address)))
            .collect();
        for ((instance, process), query) in batch.iter().zip(queries) {
            let status = query.await.ok().flatten();
            let (instance, process) = (instance.clone(), process.clone());
            reports.push(ProcessReport { instance, process, status });
        }
    }
    Ok(reports)
}

async fn query_status(
    client: http::Client,
    address: std::net::SocketAddr,
) -> Option<registry::Status> {
    let uri = format!("http://{address}/status");
    let request = hyper::Request::get(uri).body(http::Body::full("")).ok()?;
    let response = http::with_timeout(STATUS_TIMEOUT, client.request(request)).await?.ok()?;
    let body = http::read_body(response.into_body(), 1 << 16, STATUS_TIMEOUT).await.ok()?;
    serde_json::from_slice(&body).ok()
}

/// Returns the differences between two JSON texts, one line per JSON pointer.
///
/// Lines start with `+` for an added value, `-` for a removed and `~` for a changed one. A text
/// that is not JSON counts as null.
pub fn diff_texts(old: &str, new: &str) -> Vec<String> {
    let parse = |text: &str| serde_json::from_str(text).unwrap_or(serde_json::Value::Null);
    let mut lines = Vec::new();
    diff_values("", Some(&parse(old)), Some(&parse(new)), &mut lines);
    lines
}

fn diff_values(
    pointer: &str,
    old: Option<&serde_json::Value>,
    new: Option<&serde_json::Value>,
    lines: &mut Vec<String>,
) {
    match (old, new) {
        (Some(serde_json::Value::Object(a)), Some(serde_json::Value::Object(b))) => {
            let names: collections::BTreeSet<_> = a.keys().chain(b.keys()).collect();
            for name in names {
                diff_values(&format!("{pointer}/{name}"), a.get(name), b.get(name), lines);
            }
        }
        (Some(a), Some(b)) if a == b => {}
        (Some(a), Some(b)) => lines.push(format!("~ {pointer}: {a} -> {b}")),
        (Some(a), None) => lines.push(format!("- {pointer}: {a}")),
        (None, Some(b)) => lines.push(format!("+ {pointer}: {b}")),
        (None, None) => {}
    }
}
