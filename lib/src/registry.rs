//! Registers a process in the store, so that `bramleyshelf status` can find and ask it.

use std::net;
use std::time;

use crate::claim;
use crate::id;
use crate::store;

/// Prefix of the registered processes.
pub const PREFIX: &str = "/bramleyshelf/processes/";
/// Validity of a registration without renewal.
const TTL: time::Duration = time::Duration::from_mins(1);
/// Pause between renewals.
const RENEWAL: time::Duration = time::Duration::from_secs(20);
/// Pause after a failed call.
const RETRY: time::Duration = time::Duration::from_secs(3);

/// What a process does.
#[derive(
    Clone, Copy, Debug, derive_more::Display, Eq, PartialEq, serde::Deserialize, serde::Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// It takes requests of callers.
    #[display("entry")]
    Entry,
    /// It stands beside an upstream.
    #[display("sidecar")]
    Sidecar,
}

/// What is registered of a process.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Process {
    /// What it does.
    pub role: Role,
    /// Address for other processes of the system.
    pub address: net::SocketAddr,
    /// Its failure domain.
    pub domain: id::DomainId,
    /// Service of a sidecar.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<id::ServiceId>,
}

/// Returns the prefix under which processes of a role are registered.
pub fn role_prefix(role: Role) -> String {
    format!("{PREFIX}{role}/")
}

/// Answer of a process to `GET /status`.
#[derive(Clone, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct Status {
    /// The instance.
    pub instance: id::InstanceId,
    /// Configuration in force.
    pub revision: id::Revision,
    /// Where it was learned from.
    pub source: String,
    /// Whether the process takes no new work.
    pub draining: bool,
    /// Whether a draining process has nothing left to do.
    pub drained: bool,
    /// Requests or attempts in progress.
    #[serde(rename = "open")]
    pub in_progress: u64,
}

/// Keeps the registration alive until the future is dropped.
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
                RETRY
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
    let (lease, _) = store.grant(TTL).await?;
    let write = store::Write::Put(key.to_owned(), value.clone(), Some(lease));
    store.commit(&[], &[write]).await?;
    Ok(lease)
}

/// Renews a lease until the store no longer knows it.
async fn renew<S: store::Store>(store: &S, lease: claim::LeaseId) {
    loop {
        tokio::time::sleep(RENEWAL).await;
        if let Ok(None) = store.keep_alive(lease).await {
            return;
        }
    }
}
