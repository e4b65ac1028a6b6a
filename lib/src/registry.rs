//! Registration of a process in the store, by which `bramleyshelf status` finds and queries it.

use std::net;
use std::time;

use crate::claim;
use crate::id;
use crate::store;

/// Prefix of the store keys under which processes register.
pub const PREFIX: &str = "/bramleyshelf/processes/";
/// Time after which the store removes a registration that is not renewed.
const REGISTRATION_TTL: time::Duration = time::Duration::from_mins(1);
/// Interval between renewals of the lease; a third of its time to live, so that one renewal may
/// fail without the loss of the lease.
const RENEW_INTERVAL: time::Duration = time::Duration::from_secs(20);
/// Pause before a failed registration is repeated.
const RETRY_PAUSE: time::Duration = time::Duration::from_secs(3);

/// Kind of a registered process.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Accepts requests of callers.
    #[display("entry")]
    Entry,
    /// Runs beside an upstream and forwards attempts to it.
    #[display("sidecar")]
    Sidecar,
}

/// Value that a process registers in the store.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Process {
    /// Whether it is an entry or a sidecar.
    pub role: Role,
    /// Address on which it serves other processes, including `GET /status`.
    pub address: net::SocketAddr,
    /// Failure domain of its instance.
    pub domain: id::DomainId,
    /// Service of a sidecar's upstream; `None` for an entry.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::ServiceId>,
}

/// Returns the prefix of the store keys under which processes of a role register.
pub fn role_prefix(role: Role) -> String {
    format!("{PREFIX}{role}/")
}

/// Response of a process to `GET /status`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// Name of the instance.
    pub instance: id::InstanceId,
    /// Revision of its active configuration; 0 if it has none yet.
    pub revision: id::Revision,
    /// Where it got the configuration from, as a [`crate::revision::Source`] in text form.
    pub source: String,
    /// Whether the process is draining and accepts no new work.
    pub draining: bool,
    /// Whether the process is draining and has finished all its work.
    pub drained: bool,
    /// Number of requests (entry) or attempts (sidecar) in progress.
    #[serde(rename = "open")]
    pub in_progress: u64,
}

/// Registers a process and keeps the registration alive until the future is dropped.
///
/// Registers again if the store lost the lease, and retries if the store does not answer.
pub async fn register<S: store::Store>(store: S, instance: id::InstanceId, process: Process) {
    let key = format!("{}{instance}", role_prefix(process.role));
    let value = bytes::Bytes::from(serde_json::json!(process).to_string());
    loop {
        let pause = match register_once(&store, &key, &value).await {
            Ok(lease) => {
                renew(&store, lease).await;
                time::Duration::ZERO
            }
            Err(e) => {
                log::debug!("event=register_failed error={:?}", e.to_string());
                RETRY_PAUSE
            }
        };
        tokio::time::sleep(pause).await;
    }
}

async fn register_once<S: store::Store>(
    store: &S,
    key: &str,
    value: &bytes::Bytes,
) -> Result<claim::LeaseId, store::StoreError> {
    let (lease, _) = store.grant(REGISTRATION_TTL).await?;
    let write = store::Write::Put(key.to_owned(), value.clone(), Some(lease));
    store.commit(&[], &[write]).await?;
    Ok(lease)
}

/// Renews a lease until the store reports that it has expired.
async fn renew<S: store::Store>(store: &S, lease: claim::LeaseId) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        if let Ok(None) = store.keep_alive(lease).await {
            return;
        }
    }
}
