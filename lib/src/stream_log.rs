//! What gateways keep in the store about the versions that began streams: each one's log, and the
//! services with a single version. It outlives the gateways.

use std::time;

use tokio::sync::{mpsc, watch};

use crate::dialect;
use crate::gateway;
use crate::http;
use crate::id;
use crate::stream_versions;

/// Time within which the store has to answer.
const STORE_TIMEOUT: time::Duration = time::Duration::from_millis(600);
/// Pause before another try to read or write.
const RETRY_PAUSE: time::Duration = time::Duration::from_millis(300);
/// Shortest pause between two writes of a gateway's log.
const MIN_PAUSE: time::Duration = time::Duration::from_millis(100);
/// Time by which the pause is longer for each gateway, which limits the writes of all together.
const PAUSE_PER_GATEWAY: time::Duration = time::Duration::from_millis(10);

/// What a gateway keeps in the store.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct State {
    /// Revision of the log.
    pub revision: u64,
    /// Log of this gateway.
    pub log: Vec<stream_versions::LoggedStreams>,
    /// Services with a single version, if this gateway records them for all.
    pub lone: Option<stream_versions::LoneVersions>,
    /// Number of gateways.
    pub gateways: u32,
}

impl State {
    fn pause(&self) -> time::Duration {
        MIN_PAUSE.max(PAUSE_PER_GATEWAY * self.gateways)
    }
}

/// The tasks that write the state and look up streams.
#[derive(Debug)]
pub struct StreamLog {
    state: watch::Sender<State>,
    lookups: mpsc::Sender<()>,
}

impl StreamLog {
    /// Starts the tasks of a gateway. What they read goes to `events`.
    pub fn spawn<S: dialect::GatewayStore>(
        store: &S,
        instance: &id::InstanceId,
        events: &mpsc::Sender<gateway::Event>,
    ) -> Self {
        // A process that has restarted must not overwrite what the one before has logged.
        let process = format!("{instance}/{:016x}", fastrand::u64(..));
        let (state, states) = watch::channel(State::default());
        let (lookups, inbox) = mpsc::channel(1);
        tokio::spawn(read_logs(store.clone(), inbox, events.clone()));
        tokio::spawn(write(store.clone(), process, states, events.clone()));
        Self { state, lookups }
    }

    /// Returns the revision of the state that was published last.
    pub fn revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Has a state written, if it differs from the one before.
    pub fn publish(&self, state: State) {
        self.state.send_if_modified(|current| {
            let is_changed = current.log != state.log || current.lone != state.lone;
            *current = state;
            is_changed
        });
    }

    /// Looks up what gateways have logged.
    pub fn look_up(&self) {
        // If another one is waiting to be made, that serves all.
        let _ = self.lookups.try_send(());
    }
}

async fn with_timeout<T>(
    work: impl Future<Output = Result<T, dialect::StoreError>>,
) -> Result<T, dialect::StoreError> {
    http::with_timeout(STORE_TIMEOUT, work).await.unwrap_or(Err(dialect::StoreError::Unreachable))
}

async fn read_logs<S: dialect::GatewayStore>(
    store: S,
    mut lookups: mpsc::Receiver<()>,
    events: mpsc::Sender<gateway::Event>,
) {
    while lookups.recv().await.is_some() {
        let logged = with_timeout(store.logged_streams()).await;
        if let Err(e) = &logged {
            log::info!("event=stream_lookup_failed error={:?}", e.to_string());
        }
        let found = gateway::Event::StreamsFound(logged.unwrap_or_default());
        if events.send(found).await.is_err() {
            return;
        }
    }
}

async fn write<S: dialect::GatewayStore>(
    store: S,
    process: String,
    mut state: watch::Receiver<State>,
    events: mpsc::Sender<gateway::Event>,
) {
    let mut recorded = loop {
        match with_timeout(store.lone_versions()).await {
            Ok(recorded) => break recorded,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    };
    if events.send(gateway::Event::LoneVersionsRead(recorded.clone())).await.is_err() {
        return;
    }
    let mut eras = store.eras();
    let mut written = Vec::new();
    loop {
        let latest = state.borrow_and_update().clone();
        // A restored store may have lost what was written.
        let is_restored = eras.has_changed().unwrap_or(false);
        eras.mark_unchanged();
        let mut is_written = true;
        if let Some(lone) = latest.lone.as_ref().filter(|lone| is_restored || **lone != recorded) {
            is_written = with_timeout(store.record_lone_versions(lone)).await.is_ok();
            if is_written {
                recorded.clone_from(lone);
            }
        }
        if is_restored && !latest.log.is_empty() || latest.log != written {
            match with_timeout(store.log_streams(&process, &latest.log)).await {
                Ok(()) => written.clone_from(&latest.log),
                Err(_) => is_written = false,
            }
        }
        if !is_written {
            tokio::time::sleep(RETRY_PAUSE).await;
            continue;
        }
        tokio::time::sleep(latest.pause()).await;
        tokio::select! {
            changed = state.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            _ = eras.changed() => eras.mark_changed(),
        }
    }
}
