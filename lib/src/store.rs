//! Client of the platform's key-value store, behind a small trait. The implementation talks to the
//! JSON gateway of etcd v3.

use std::time;

use base64::Engine as _;
use http_body_util::BodyExt as _;

use crate::claim;
use crate::http;

/// Prefix of all keys that this system writes.
pub const PREFIX: &str = "/bramleyshelf/";
/// Key of the configuration.
pub const CONFIG_KEY: &str = "/bramleyshelf/config";
/// Time within which the store has to answer a call.
const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);
/// Largest answer of the store, and longest line of a watch, in bytes.
const MAX_ANSWER_BYTES: u64 = 16 << 20;

/// A call to the store that failed. A write may have taken effect nevertheless.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum StoreError {
    /// The store could not be reached or did not answer in time.
    #[display("the store at {url} does not answer; check the address and the store's health")]
    Unreachable {
        /// Base address of the store.
        url: String,
    },
    /// The store answered with an error status.
    #[display("the store refused the call with status {status}: {message}; see the store's log")]
    Refused {
        /// HTTP status.
        status: u16,
        /// Body of the answer.
        message: String,
    },
    /// The answer does not follow the protocol.
    #[display(
        "the store's answer could not be read ({message}); check that it is an etcd v3 gateway"
    )]
    Malformed {
        /// What could not be read.
        message: String,
    },
}

/// A key with its value, as last written.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Full key, with [`PREFIX`].
    pub key: String,
    /// Value as raw bytes.
    pub value: bytes::Bytes,
    /// Store revision of the last write to this key.
    pub mod_revision: u64,
}

/// Keys under a prefix at one revision of the store.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Id of the store's cluster. One that is restored from a backup is a new cluster, which gives out
    /// again the revisions since the backup.
    pub cluster: u64,
    /// Store revision at which the keys were read.
    pub revision: u64,
    /// Entries in the order of their keys.
    pub entries: Vec<Entry>,
}

/// Condition under which a transaction takes effect.
#[derive(Clone, Debug)]
pub enum Compare {
    /// The key does not exist.
    Absent(String),
    /// The key was last written at this store revision.
    ModRevision(String, u64),
}

/// Write that a transaction makes.
#[derive(Clone, Debug)]
pub enum Write {
    /// Sets a key. If a lease is given, the store deletes the key when the lease ends.
    Put(String, bytes::Bytes, Option<claim::LeaseId>),
    /// Removes a key.
    Delete(String),
}

/// Result of a transaction.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether the conditions held and the writes took effect.
    pub is_applied: bool,
    /// Store revision after the transaction.
    pub revision: u64,
}

/// The key-value store. Every call counts against the rate that the store allows.
pub trait Store: Clone + Send + Sync + 'static {
    /// A watch of one key.
    type Watch: Watch;

    /// Reads a key or, if `is_prefix` is true, all keys that start with it.
    fn range(
        &self,
        key: &str,
        is_prefix: bool,
    ) -> impl Future<Output = Result<Snapshot, StoreError>> + Send;

    /// Reads the keys under a prefix that were written after a revision. Also returns the number of
    /// all keys under the prefix, by which a caller notices deletions.
    fn changes(
        &self,
        prefix: &str,
        after: u64,
    ) -> impl Future<Output = Result<(Snapshot, usize), StoreError>> + Send;

    /// Counts the keys under a prefix without reading them.
    fn count(&self, prefix: &str) -> impl Future<Output = Result<u64, StoreError>> + Send;

    /// Applies all writes if all conditions hold, and none otherwise.
    fn commit(
        &self,
        compares: &[Compare],
        writes: &[Write],
    ) -> impl Future<Output = Result<Outcome, StoreError>> + Send;

    /// Requests a lease; returns its id and the validity that the store chose.
    fn grant(
        &self,
        ttl: time::Duration,
    ) -> impl Future<Output = Result<(claim::LeaseId, time::Duration), StoreError>> + Send;

    /// Renews a lease; returns its new validity, or `None` if the lease has ended.
    fn keep_alive(
        &self,
        lease: claim::LeaseId,
    ) -> impl Future<Output = Result<Option<time::Duration>, StoreError>> + Send;

    /// Ends a lease, which deletes the keys that are attached to it.
    fn revoke(&self, lease: claim::LeaseId) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Watches a key for writes from a store revision on.
    fn watch(
        &self,
        key: &str,
        from: u64,
    ) -> impl Future<Output = Result<Self::Watch, StoreError>> + Send;
}

/// A watch of one key.
pub trait Watch: Send + 'static {
    /// Waits for the next writes. An empty list means that the watch is alive without a write, or
    /// that the key was deleted.
    fn next(&mut self) -> impl Future<Output = Result<Vec<Entry>, StoreError>> + Send;
}

/// Client of an etcd v3 JSON gateway.
#[derive(Clone, Debug)]
pub struct Etcd {
    url: String,
    client: http::Client,
}

impl Etcd {
    /// Makes a client for a base address such as `http://10.0.0.5:2379`.
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

fn encode_base64(bytes: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(bytes)
}

fn decode_base64(text: &str) -> Result<Vec<u8>, StoreError> {
    base64::engine::general_purpose::STANDARD.decode(text).map_err(|e| malformed(&e.to_string()))
}

/// Parses a number. The gateway writes 64-bit numbers as strings and omits zeros.
fn parse_number(value: &serde_json::Value) -> Result<u64, StoreError> {
    match value {
        serde_json::Value::Null => Ok(0),
        serde_json::Value::String(text) => text.parse().map_err(|_| malformed("bad number")),
        other => other.as_u64().ok_or_else(|| malformed("bad number")),
    }
}

/// Returns the store revision from the header of an answer.
fn header_revision(answer: &serde_json::Value) -> Result<u64, StoreError> {
    parse_number(&answer["header"]["revision"])
}

fn parse_entry(value: &serde_json::Value) -> Result<Entry, StoreError> {
    let key = value["key"].as_str().ok_or_else(|| malformed("entry without key"))?;
    let key = String::from_utf8(decode_base64(key)?).map_err(|e| malformed(&e.to_string()))?;
    let raw = decode_base64(value["value"].as_str().unwrap_or_default())?;
    Ok(Entry { key, value: raw.into(), mod_revision: parse_number(&value["mod_revision"])? })
}

fn parse_snapshot(answer: &serde_json::Value) -> Result<Snapshot, StoreError> {
    let entries = answer["kvs"].as_array().map_or(&[][..], Vec::as_slice);
    let entries = entries.iter().map(parse_entry).collect::<Result<_, _>>()?;
    let cluster = parse_number(&answer["header"]["cluster_id"])?;
    Ok(Snapshot { cluster, revision: header_revision(answer)?, entries })
}

/// Local copy of the keys under a prefix, kept up to date by reading only the keys that changed.
#[derive(Debug, Default)]
pub struct Mirror {
    cluster: u64,
    revision: u64,
    entries: std::collections::BTreeMap<String, Entry>,
}

impl Mirror {
    /// Brings the copy up to date and returns it.
    ///
    /// # Errors
    /// Fails if a call to the store fails. The copy may then lack deletions, which the next update
    /// finds.
    pub async fn update<S: Store>(
        &mut self,
        store: &S,
        prefix: &str,
    ) -> Result<Snapshot, StoreError> {
        let (changed, count) = store.changes(prefix, self.revision).await?;
        // A restored store shows what it had at lower revisions, which are no changes.
        let is_restored = self.revision > 0
            && (changed.cluster != self.cluster || changed.revision < self.revision);
        if is_restored {
            log::warn!("event=store_restored cluster={:x} prefix={prefix}", changed.cluster);
        }
        self.apply(changed);
        if is_restored || self.entries.len() != count {
            // The changes do not show which keys were deleted.
            let all = store.range(prefix, true).await?;
            self.entries.clear();
            self.apply(all);
        }
        let entries = self.entries.values().cloned().collect();
        Ok(Snapshot { cluster: self.cluster, revision: self.revision, entries })
    }

    fn apply(&mut self, snapshot: Snapshot) {
        self.cluster = snapshot.cluster;
        self.revision = snapshot.revision;
        for entry in snapshot.entries {
            self.entries.insert(entry.key.clone(), entry);
        }
    }
}

/// Returns the first key after all keys with the prefix. The last byte of a prefix is ASCII, so
/// that it can be incremented.
fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}

impl Store for Etcd {
    type Watch = EtcdWatch;

    async fn range(&self, key: &str, is_prefix: bool) -> Result<Snapshot, StoreError> {
        let mut body = serde_json::json!({ "key": encode_base64(key.as_bytes()) });
        if is_prefix {
            body["range_end"] = encode_base64(&prefix_end(key)).into();
        }
        parse_snapshot(&self.call("/v3/kv/range", &body).await?)
    }

    async fn changes(&self, prefix: &str, after: u64) -> Result<(Snapshot, usize), StoreError> {
        let body = serde_json::json!({
            "key": encode_base64(prefix.as_bytes()),
            "range_end": encode_base64(&prefix_end(prefix)),
            "min_mod_revision": (after + 1).to_string(),
        });
        let answer = self.call("/v3/kv/range", &body).await?;
        let count = usize::try_from(parse_number(&answer["count"])?).unwrap_or(usize::MAX);
        Ok((parse_snapshot(&answer)?, count))
    }

    async fn count(&self, prefix: &str) -> Result<u64, StoreError> {
        let body = serde_json::json!({
            "key": encode_base64(prefix.as_bytes()),
            "range_end": encode_base64(&prefix_end(prefix)),
            "count_only": true,
        });
        parse_number(&self.call("/v3/kv/range", &body).await?["count"])
    }

    async fn commit(&self, compares: &[Compare], writes: &[Write]) -> Result<Outcome, StoreError> {
        let compare: Vec<_> = compares
            .iter()
            .map(|compare| match compare {
                Compare::Absent(key) => serde_json::json!({
                    "key": encode_base64(key.as_bytes()), "target": "CREATE",
                    "create_revision": "0",
                }),
                Compare::ModRevision(key, revision) => serde_json::json!({
                    "key": encode_base64(key.as_bytes()), "target": "MOD",
                    "mod_revision": revision.to_string(),
                }),
            })
            .collect();
        let success: Vec<_> = writes
            .iter()
            .map(|write| match write {
                Write::Put(key, value, lease) => serde_json::json!({ "request_put": {
                    "key": encode_base64(key.as_bytes()), "value": encode_base64(value),
                    "lease": lease.unwrap_or(0).to_string(),
                }}),
                Write::Delete(key) => serde_json::json!({ "request_delete_range": {
                    "key": encode_base64(key.as_bytes()),
                }}),
            })
            .collect();
        let body = serde_json::json!({ "compare": compare, "success": success });
        let answer = self.call("/v3/kv/txn", &body).await?;
        let is_applied = answer["succeeded"].as_bool().unwrap_or(false);
        Ok(Outcome { is_applied, revision: header_revision(&answer)? })
    }

    async fn grant(
        &self,
        ttl: time::Duration,
    ) -> Result<(claim::LeaseId, time::Duration), StoreError> {
        let body = serde_json::json!({ "TTL": ttl.as_secs().to_string() });
        let answer = self.call("/v3/lease/grant", &body).await?;
        let id = parse_number(&answer["ID"])?.cast_signed();
        Ok((id, time::Duration::from_secs(parse_number(&answer["TTL"])?)))
    }

    async fn keep_alive(
        &self,
        lease: claim::LeaseId,
    ) -> Result<Option<time::Duration>, StoreError> {
        let body = serde_json::json!({ "ID": lease.to_string() });
        let answer = self.call("/v3/lease/keepalive", &body).await?;
        let ttl = parse_number(&answer["result"]["TTL"])?;
        Ok((ttl > 0).then(|| time::Duration::from_secs(ttl)))
    }

    async fn revoke(&self, lease: claim::LeaseId) -> Result<(), StoreError> {
        let body = serde_json::json!({ "ID": lease.to_string() });
        self.call("/v3/lease/revoke", &body).await.map(|_| ())
    }

    async fn watch(&self, key: &str, from: u64) -> Result<EtcdWatch, StoreError> {
        let body = serde_json::json!({ "create_request": {
            "key": encode_base64(key.as_bytes()), "start_revision": from.to_string(),
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

/// Watch that reads a streamed answer of one JSON value per line.
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
                return parse_watch_line(&line);
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

fn parse_watch_line(line: &[u8]) -> Result<Vec<Entry>, StoreError> {
    let answer: serde_json::Value =
        serde_json::from_slice(line).map_err(|e| malformed(&e.to_string()))?;
    let result = &answer["result"];
    if result["canceled"].as_bool().unwrap_or(false) {
        return Err(malformed(
            "watch cancelled, perhaps because its start revision was compacted; read the key again",
        ));
    }
    let events = result["events"].as_array().map_or(&[][..], Vec::as_slice);
    events
        .iter()
        .filter(|event| event["type"].as_str() != Some("DELETE"))
        .map(|event| parse_entry(&event["kv"]))
        .collect()
}

/// Returns the key prefix of a service's owners, members and ownership marks.
pub fn service_prefix(service: &crate::id::ServiceId) -> String {
    format!("{PREFIX}services/{service}/")
}

/// Reads owners, members and marks from a snapshot of a service's prefix. Keys and values that
/// cannot be parsed are skipped, and an owner's fencing token is the revision at which it was
/// written.
pub fn read_service(service: &crate::id::ServiceId, snapshot: &Snapshot) -> claim::Reply {
    let prefix = service_prefix(service);
    let mut owners = crate::wire::Owners::new();
    let mut members = claim::Members::new();
    let mut ever_owned = std::collections::BTreeSet::new();
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
            "marks" => ever_owned.extend(name.parse::<u32>()),
            _ => {}
        }
    }
    claim::Reply::Snapshot { owners, members, ever_owned }
}
