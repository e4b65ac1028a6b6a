//! The platform's key-value service behind a small trait, spoken as the etcd v3 JSON gateway.

use std::time;

use base64::Engine as _;
use http_body_util::BodyExt as _;

use crate::claim;
use crate::http;

/// Prefix of all keys of the system.
pub const PREFIX: &str = "/bramleyshelf/";
/// Key of the configuration.
pub const CONFIG_KEY: &str = "/bramleyshelf/config";
/// Time that the service has to answer a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Largest answer of the service, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A call to the service that failed. A write may have taken effect all the same.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The service could not be reached or did not answer in time.
    #[display("the store at {url} does not answer; check the address and the store's health")]
    Unreachable {
        /// Address of the service.
        url: String,
    },
    /// The service answered with an error.
    #[display("the store refused the call with status {status}: {message}; see the store's log")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Message of the service.
        message: String,
    },
    /// The answer is not what the protocol says.
    #[display(
        "the store's answer could not be read ({message}); check that it is an etcd v3 gateway"
    )]
    Malformed {
        /// What was wrong.
        message: String,
    },
}

/// A key with its value.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: bytes::Bytes,
    /// Revision of the last write.
    pub mod_revision: u64,
}

/// Keys under a prefix at one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Revision of the store.
    pub revision: u64,
    /// Keys in order.
    pub entries: Vec<Entry>,
}

/// Condition of a transaction.
#[derive(Clone, Debug)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at the revision.
    ModRevision(String, u64),
}

/// Write of a transaction.
#[derive(Clone, Debug)]
pub enum Write {
    /// Sets a key, which then lives as long as the lease if one is given.
    Put(String, bytes::Bytes, Option<claim::LeaseId>),
    /// Removes a key.
    Delete(String),
}

/// Outcome of a transaction that the service answered.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether the conditions held and the writes took effect.
    pub is_applied: bool,
    /// Revision of the store afterwards.
    pub revision: u64,
}

/// The key-value service. Every call counts against its rate.
pub trait Store: Clone + Send + Sync + 'static {
    /// A running watch.
    type Watch: Watch;

    /// Reads a key, or all keys under a prefix.
    fn range(
        &self,
        key: &str,
        prefix: bool,
    ) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Reads the keys under a prefix that were written after a revision, and the number of all keys
    /// under it.
    fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Future<Output = Result<(Snapshot, usize), StoreError>> + Send;

    /// Counts the keys under a prefix without reading them.
    fn count(&self, prefix: &str) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Writes if all conditions hold.
    fn commit(
        &self,
        compares: &[Compare],
        writes: &[Write],
    ) -> impl Future<Output = Result<Outcome, StoreError>> + Send;

    /// Asks for a lease; returns its number and validity.
    fn grant(
        &self,
        ttl: time::Duration,
    ) -> impl Future<Output = Result<(claim::LeaseId, time::Duration), StoreError>> + Send;

    /// Renews a lease; returns its validity, or nothing if the service does not know it.
    fn keep_alive(
        &self,
        lease: claim::LeaseId,
    ) -> impl Future<Output = Result<Option<time::Duration>, StoreError>> + Send;

    /// Gives a lease back.
    fn revoke(&self, lease: claim::LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Watches a key from a revision on.
    fn watch(
        &self,
        key: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}

/// A running watch of one key.
pub trait Watch: Send + 'static {
    /// Waits for the next writes; an empty list is a sign of life.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;
}

/// Client of an etcd v3 JSON gateway.
#[derive(Clone, Debug)]
pub struct Etcd {
    url: String,
    client: http::Client,
}

impl Etcd {
    /// Makes a client for an address such as `http://10.0.0.5:2379`.
    pub fn new(url: &str) -> Self {
        Self { url: url.trim_end_matches('/').to_owned(), client: http::client(true) }
    }

    fn unreachable(&self) -> StoreError {
        StoreError::Unreachable { url: self.url.clone() }
    }

    async fn send(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<hyper::Response<hyper::body::Incoming>, StoreError> {
        metrics::counter!("store_calls", "path" => path.to_owned()).increment(1);
        let request = hyper::Request::post(format!("{}{path}", self.url))
            .header(hyper::header::CONTENT_TYPE, "application/json")
            .body(http::Body::full(body.to_string()))
            .map_err(|_| self.unreachable())?;
        http::with_timeout(CALL_TIMEOUT, self.client.request(request))
            .await
            .and_then(Result::ok)
            .ok_or_else(|| self.unreachable())
    }

    async fn call(
        &self,
        path: &str,
        body: &serde_json::Value,
    ) -> Result<serde_json::Value, StoreError> {
        let response = self.send(path, body).await?;
        let status = response.status().as_u16();
        let body = http::read_body(response.into_body(), MAX_ANSWER_BYTES, CALL_TIMEOUT)
            .await
            .map_err(|_| self.unreachable())?;
        if status != 200 {
            let message = String::from_utf8_lossy(&body).into_owned();
            return Err(StoreError::Refused { status, message });
        }
        serde_json::from_slice(&body).map_err(|e| malformed(&e.to_string()))
    }
}

fn malformed(message: &str) -> StoreError {
    StoreError::Malformed { message: message.to_owned() }
}

fn encode(bytes: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode(text: &str) -> Result<Vec<u8>, StoreError> {
    base64::engine::general_purpose::STANDARD.decode(text).map_err(|e| malformed(&e.to_string()))
}

/// The gateway writes 64-bit numbers as strings and leaves zeros out.
fn number(value: &serde_json::Value) -> Result<u64, StoreError> {
    match value {
        serde_json::Value::Null => Ok(0),
        serde_json::Value::String(text) => text.parse().map_err(|_| malformed("bad number")),
        other => other.as_u64().ok_or_else(|| malformed("bad number")),
    }
}

fn revision(answer: &serde_json::Value) -> Result<u64, StoreError> {
    number(&answer["header"]["revision"])
}

fn entry(value: &serde_json::Value) -> Result<Entry, StoreError> {
    let key = value["key"].as_str().ok_or_else(|| malformed("entry without key"))?;
    let key = String::from_utf8(decode(key)?).map_err(|e| malformed(&e.to_string()))?;
    let raw = decode(value["value"].as_str().unwrap_or_default())?;
    Ok(Entry { key, value: raw.into(), mod_revision: number(&value["mod_revision"])? })
}

fn read_snapshot(answer: &serde_json::Value) -> Result<Snapshot, StoreError> {
    let entries = answer["kvs"].as_array().map_or(&[][..], Vec::as_slice);
    let entries = entries.iter().map(entry).collect::<Result<_, _>>()?;
    Ok(Snapshot { revision: revision(answer)?, entries })
}

/// Copy of the keys under a prefix, kept up to date by reading only what changed.
#[derive(Debug, Default)]
pub struct Mirror {
    revision: u64,
    entries: std::collections::BTreeMap<String, Entry>,
}

impl Mirror {
    /// Brings the copy up to date and returns it.
    ///
    /// # Errors
    /// Fails if the service does not answer; the copy then stays as it was.
    pub async fn update<S: Store>(
        &mut self,
        store: &S,
        prefix: &str,
    ) -> Result<Snapshot, StoreError> {
        let (changed, count) = store.changes(prefix, self.revision).await?;
        self.apply(changed);
        if self.entries.len() != count {
            // Keys were removed, of which changes do not tell.
            let all = store.range(prefix, true).await?;
            self.entries.clear();
            self.apply(all);
        }
        let entries = self.entries.values().cloned().collect();
        Ok(Snapshot { revision: self.revision, entries })
    }

    fn apply(&mut self, snapshot: Snapshot) {
        self.revision = snapshot.revision;
        for entry in snapshot.entries {
            self.entries.insert(entry.key.clone(), entry);
        }
    }
}

/// Returns the first key after all keys with the prefix.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

impl Store for Etcd {
    type Watch = EtcdWatch;

    async fn range(&self, key: &str, prefix: bool) -> Result<Snapshot, StoreError> {
        let mut body = serde_json::json!({ "key": encode(key.as_bytes()) });
        if prefix {
            body["range_end"] = encode(&prefix_end(key)).into();
        }
        read_snapshot(&self.call("/v3/kv/range", &body).await?)
    }

    async fn changes(&self, prefix: &str, after: u64) -> Result<(Snapshot, usize), StoreError> {
        let body = serde_json::json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
            "min_mod_revision": (after + 1).to_string(),
        });
        let answer = self.call("/v3/kv/range", &body).await?;
        let count = usize::try_from(number(&answer["count"])?).unwrap_or(usize::MAX);
        Ok((read_snapshot(&answer)?, count))
    }

    async fn count(&self, prefix: &str) -> Result<u64, StoreError> {
        let body = serde_json::json!({
            "key": encode(prefix.as_bytes()),
            "range_end": encode(&prefix_end(prefix)),
            "count_only": true,
        });
        number(&self.call("/v3/kv/range", &body).await?["count"])
    }

    async fn commit(&self, compares: &[Compare], writes: &[Write]) -> Result<Outcome, StoreError> {
        let compare: Vec<_> = compares
            .iter()
            .map(|compare| match compare {
                Compare::Absent(key) => serde_json::json!({
                    "key": encode(key.as_bytes()), "target": "CREATE", "create_revision": "0",
                }),
                Compare::ModRevision(key, revision) => serde_json::json!({
                    "key": encode(key.as_bytes()), "target": "MOD",
                    "mod_revision": revision.to_string(),
                }),
            })
            .collect();
        let success: Vec<_> = writes
            .iter()
            .map(|write| match write {
                Write::Put(key, value, lease) => serde_json::json!({ "request_put": {
                    "key": encode(key.as_bytes()), "value": encode(value),
                    "lease": lease.unwrap_or(0).to_string(),
                }}),
                Write::Delete(key) => serde_json::json!({ "request_delete_range": {
                    "key": encode(key.as_bytes()),
                }}),
            })
            .collect();
        let body = serde_json::json!({ "compare": compare, "success": success });
        let answer = self.call("/v3/kv/txn", &body).await?;
        let applied = answer["succeeded"].as_bool().unwrap_or(false);
        Ok(Outcome { is_applied: applied, revision: revision(&answer)? })
    }

    async fn grant(
        &self,
        ttl: time::Duration,
    ) -> Result<(claim::LeaseId, time::Duration), StoreError> {
        let body = serde_json::json!({ "TTL": ttl.as_secs().to_string() });
        let answer = self.call("/v3/lease/grant", &body).await?;
        let id = number(&answer["ID"])?.cast_signed();
        Ok((id, time::Duration::from_secs(number(&answer["TTL"])?)))
    }

    async fn keep_alive(
        &self,
        lease: claim::LeaseId,
    ) -> Result<Option<time::Duration>, StoreError> {
        let body = serde_json::json!({ "ID": lease.to_string() });
        let answer = self.call("/v3/lease/keepalive", &body).await?;
        let ttl = number(&answer["result"]["TTL"])?;
        Ok((ttl > 0).then(|| time::Duration::from_secs(ttl)))
    }

    async fn revoke(&self, lease: claim::LeaseId) -> Result<(), StoreError> {
        let body = serde_json::json!({ "ID": lease.to_string() });
        self.call("/v3/lease/revoke", &body).await.map(|_| ())
    }

    async fn watch(&self, key: &str, from: u64) -> Result<EtcdWatch, StoreError> {
        let body = serde_json::json!({ "create_request": {
            "key": encode(key.as_bytes()), "start_revision": from.to_string(),
        }});
        let response = self.send("/v3/watch", &body).await?;
        if response.status() != 200 {
            let status = response.status().as_u16();
            return Err(StoreError::Refused { status, message: "watch".to_owned() });
        }
        let url = self.url.clone();
        Ok(EtcdWatch { body: response.into_body(), buffer: bytes::BytesMut::new(), url })
    }
}

/// Watch over a streaming answer of one JSON value per line.
#[derive(Debug)]
pub struct EtcdWatch {
    body: hyper::body::Incoming,
    buffer: bytes::BytesMut,
    url: String,
}

impl Watch for EtcdWatch {
    async fn next(&mut self) -> Result<Vec<Entry>, StoreError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return read_watch_line(&line);
            }
            if self.buffer.len() as u64 > MAX_ANSWER_BYTES {
                return Err(malformed("watch line too long"));
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        self.buffer.extend_from_slice(&data);
                    }
                }
                _ => {
                    return Err(StoreError::Unreachable { url: self.url.clone() });
                }
            }
        }
    }
}

fn read_watch_line(line: &[u8]) -> Result<Vec<Entry>, StoreError> {
    let answer: serde_json::Value =
        serde_json::from_slice(line).map_err(|e| malformed(&e.to_string()))?;
    let result = &answer["result"];
    if result["canceled"].as_bool().unwrap_or(false) {
        return Err(malformed("watch cancelled, perhaps compacted; read the key again"));
    }
    let events = result["events"].as_array().map_or(&[][..], Vec::as_slice);
    events
        .iter()
        .filter(|event| event["type"].as_str() != Some("DELETE"))
        .map(|event| entry(&event["kv"]))
        .collect()
}

/// Key prefix of a service's owners and members.
pub fn service_prefix(service: &crate::id::ServiceId) -> String {
    format!("{PREFIX}services/{service}/")
}

/// Reads owners, members and marks out of a snapshot of a service's prefix.
pub fn read_service(service: &crate::id::ServiceId, snapshot: &Snapshot) -> claim::Reply {
    let prefix = service_prefix(service);
    let mut owners = crate::wire::Owners::new();
    let mut members = claim::Members::new();
    let mut marked = std::collections::BTreeSet::new();
    for entry in &snapshot.entries {
        let Some((kind, name)) =
            entry.key.strip_prefix(&prefix).and_then(|rest| rest.split_once('/'))
        else {
            continue;
        };
        match kind {
            "owners" => {
                let owner = serde_json::from_slice::<crate::wire::Owner>(&entry.value);
                if let (Ok(range), Ok(mut owner)) = (name.parse(), owner) {
                    owner.fence = crate::id::FencingToken(entry.mod_revision);
                    owners.insert(range, owner);
                }
            }
            "members" => {
                let member = serde_json::from_slice::<claim::Member>(&entry.value);
                if let (Ok(instance), Ok(member)) = (name.parse(), member) {
                    members.insert(instance, member);
                }
            }
            "marks" => marked.extend(name.parse::<u32>()),
            _ => {}
        }
    }
    claim::Reply::Snapshot { owners, members, ever_owned: marked }
}
