//! Stand-in for the platform's key-value store: the JSON gateway of etcd v3 with ranges,
//! transactions, leases and watches.

use std::collections;
use std::sync;
use std::time;

use base64::Engine as _;
use bramleyshelf_lib::http;
use tokio::sync::watch;

use crate::server;

/// Value of a key, with the revisions of its creation and last write.
#[derive(Clone, Debug)]
struct Value {
    data: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    /// Lease whose end deletes the key; 0 for none.
    lease: i64,
}

/// Change of a key, as watches report it; the value is `None` if the key was deleted.
#[derive(Clone, Debug)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    value: Option<Value>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: time::Duration,
    expires: time::Instant,
}

#[derive(Debug, Default)]
struct State {
    /// Id of the cluster; a restore from a backup makes a new one.
    cluster: u64,
    revision: u64,
    values: collections::BTreeMap<Vec<u8>, Value>,
    /// All changes so far, oldest first, for watches that start at an earlier revision.
    history: Vec<Change>,
    leases: collections::BTreeMap<i64, Lease>,
    next_lease: i64,
    /// Number of calls by path.
    calls: collections::BTreeMap<String, u64>,
}

/// Contents of the store at one time.
#[derive(Clone, Debug)]
pub struct Backup {
    revision: u64,
    values: collections::BTreeMap<Vec<u8>, Value>,
}

/// Stand-in for the platform's key-value store; clones share its content.
#[derive(Clone, Debug)]
pub struct Kv {
    state: sync::Arc<sync::Mutex<State>>,
    /// Current revision; wakes the watches.
    changed: watch::Sender<u64>,
}

impl Default for Kv {
    fn default() -> Self {
        let state = State { next_lease: 1_000, revision: 1, ..State::default() };
        let (changed, _) = watch::channel(1);
        Self { state: sync::Arc::new(sync::Mutex::new(state)), changed }
    }
}

fn decode(value: &serde_json::Value) -> Vec<u8> {
    let text = value.as_str().unwrap_or_default();
    base64::engine::general_purpose::STANDARD.decode(text).unwrap_or_default()
}

fn encode(data: &[u8]) -> String {
    base64::engine::general_purpose::STANDARD.encode(data)
}

/// Reads a 64-bit integer, which the gateway writes as a string.
fn parse_integer(value: &serde_json::Value) -> i64 {
    value.as_str().and_then(|text| text.parse().ok()).or(value.as_i64()).unwrap_or(0)
}

fn entry_json(key: &[u8], value: &Value) -> serde_json::Value {
    serde_json::json!({
        "key": encode(key),
        "value": encode(&value.data),
        "create_revision": value.create_revision.to_string(),
        "mod_revision": value.mod_revision.to_string(),
        "lease": value.lease.to_string(),
    })
}

impl State {
    fn header(&self) -> serde_json::Value {
        serde_json::json!({
            "cluster_id": self.cluster.to_string(), "revision": self.revision.to_string(),
        })
    }

    fn range(&self, request: &serde_json::Value) -> serde_json::Value {
        let key = decode(&request["key"]);
        let end = decode(&request["range_end"]);
        let found: Vec<_> = if end.is_empty() {
            self.values.get_key_value(&key).into_iter().collect()
        } else {
            self.values.range(key..end).collect()
        };
        let count = found.len().to_string();
        if request["count_only"] == true {
            return serde_json::json!({ "header": self.header(), "count": count });
        }
        let min_revision = parse_integer(&request["min_mod_revision"]).cast_unsigned();
        let found = found.into_iter().filter(|(_, value)| value.mod_revision >= min_revision);
        let entries: Vec<_> = found.map(|(key, value)| entry_json(key, value)).collect();
        serde_json::json!({ "header": self.header(), "kvs": entries, "count": count })
    }

    /// Returns whether a condition of a transaction holds; an absent key has revision 0.
    fn is_satisfied(&self, compare: &serde_json::Value) -> bool {
        let value = self.values.get(&decode(&compare["key"]));
        match compare["target"].as_str() {
            Some("CREATE") => {
                let revision = value.map_or(0, |value| value.create_revision);
                revision == parse_integer(&compare["create_revision"]).cast_unsigned()
            }
            Some("MOD") => {
                let revision = value.map_or(0, |value| value.mod_revision);
                revision == parse_integer(&compare["mod_revision"]).cast_unsigned()
            }
            _ => false,
        }
    }

    fn transact(&mut self, request: &serde_json::Value) -> serde_json::Value {
        let empty = Vec::new();
        let compares = request["compare"].as_array().unwrap_or(&empty);
        let is_applied = compares.iter().all(|compare| self.is_satisfied(compare));
        if is_applied {
            let writes = request["success"].as_array().unwrap_or(&empty);
            if !writes.is_empty() {
                self.revision += 1;
            }
            for write in writes {
                self.write(write);
            }
        }
        serde_json::json!({ "header": self.header(), "succeeded": is_applied })
    }

    fn write(&mut self, write: &serde_json::Value) {
        let put = &write["request_put"];
        if put.is_object() {
            let key = decode(&put["key"]);
            let lease = parse_integer(&put["lease"]);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return;
            }
            let create_revision =
                self.values.get(&key).map_or(self.revision, |value| value.create_revision);
            let data = decode(&put["value"]);
            let value = Value { data, create_revision, mod_revision: self.revision, lease };
            self.record(key.clone(), Some(value.clone()));
            self.values.insert(key, value);
        }
        let delete = &write["request_delete_range"];
        if delete.is_object() {
            self.remove(&decode(&delete["key"]));
        }
    }

    fn remove(&mut self, key: &[u8]) {
        if self.values.remove(key).is_some() {
            self.record(key.to_vec(), None);
        }
    }

    fn record(&mut self, key: Vec<u8>, value: Option<Value>) {
        self.history.push(Change { revision: self.revision, key, value });
    }

    /// Revokes the leases whose time to live has passed.
    fn expire(&mut self) {
        let now = time::Instant::now();
        let expired: Vec<_> =
            self.leases.iter().filter(|(_, l)| l.expires <= now).map(|(id, _)| *id).collect();
        for id in expired {
            self.revoke(id);
        }
    }

    fn revoke(&mut self, lease: i64) {
        if self.leases.remove(&lease).is_none() {
            return;
        }
        let keys: Vec<_> = self
            .values
            .iter()
            .filter(|(_, value)| value.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.remove(&key);
        }
    }

    fn grant(&mut self, request: &serde_json::Value) -> serde_json::Value {
        self.next_lease += 1;
        let ttl = time::Duration::from_secs(parse_integer(&request["TTL"]).cast_unsigned());
        self.leases.insert(self.next_lease, Lease { ttl, expires: time::Instant::now() + ttl });
        serde_json::json!({
            "header": self.header(),
            "ID": self.next_lease.to_string(),
            "TTL": ttl.as_secs().to_string(),
        })
    }

    fn keep_alive(&mut self, request: &serde_json::Value) -> serde_json::Value {
        let id = parse_integer(&request["ID"]);
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.expires = time::Instant::now() + lease.ttl;
            lease.ttl.as_secs()
        });
        // Like the real gateway, leaves the field out if it is zero: the lease does not exist.
        let mut result = serde_json::json!({ "header": self.header(), "ID": id.to_string() });
        if ttl > 0 {
            result["TTL"] = ttl.to_string().into();
        }
        serde_json::json!({ "result": result })
    }

    /// Returns the changes of a key from a revision on, as watch events.
    fn changes(&self, key: &[u8], from: u64) -> Vec<serde_json::Value> {
        let changes = self.history.iter().filter(|c| c.revision >= from && c.key == key);
        changes
            .map(|change| match &change.value {
                Some(value) => serde_json::json!({ "kv": entry_json(key, value) }),
                None => serde_json::json!({
                    "type": "DELETE",
                    "kv": { "key": encode(key), "mod_revision": change.revision.to_string() },
                }),
            })
            .collect()
    }
}

impl Kv {
    /// Returns the number of calls received so far, by path.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn calls(&self) -> collections::BTreeMap<String, u64> {
        self.state.lock().expect("no holder panics").calls.clone()
    }

    /// Returns the number of keys that contain a text, without those of expired leases.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn count_keys(&self, part: &str) -> usize {
        let mut state = self.state.lock().expect("no holder panics");
        state.expire();
        let keys = state.values.keys();
        keys.filter(|key| String::from_utf8_lossy(key).contains(part)).count()
    }

    /// Writes a value with a given revision, which may be lower than the current one. This
    /// simulates a store restored from a backup; watches are not notified.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn force_put(&self, key: &str, data: &[u8], revision: u64) {
        let mut state = self.state.lock().expect("no holder panics");
        let value = Value {
            data: data.to_vec(),
            create_revision: revision,
            mod_revision: revision,
            lease: 0,
        };
        state.values.insert(key.as_bytes().to_vec(), value);
    }

    /// Returns a backup of the contents.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn backup(&self) -> Backup {
        let state = self.state.lock().expect("no holder panics");
        Backup { revision: state.revision, values: state.values.clone() }
    }

    /// Replaces the contents by a backup. Leases are gone with their keys, and revisions since the
    /// backup are given out again.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn restore(&self, backup: Backup) {
        let mut state = self.state.lock().expect("no holder panics");
        state.cluster += 1;
        state.revision = backup.revision;
        state.values = backup.values;
        state.values.retain(|_, value| value.lease == 0);
        state.leases.clear();
        state.history.clear();
    }

    fn call(&self, path: &str, request: &serde_json::Value) -> serde_json::Value {
        let mut state = self.state.lock().expect("no holder panics");
        state.expire();
        *state.calls.entry(path.to_owned()).or_default() += 1;
        let answer = match path {
            "/v3/kv/range" => state.range(request),
            "/v3/kv/txn" => state.transact(request),
            "/v3/lease/grant" => state.grant(request),
            "/v3/lease/keepalive" => state.keep_alive(request),
            "/v3/lease/revoke" => {
                state.revoke(parse_integer(&request["ID"]));
                serde_json::json!({ "header": state.header() })
            }
            _ => serde_json::json!({ "error": "no such call" }),
        };
        self.changed.send_replace(state.revision);
        answer
    }

    fn watch(&self, request: &serde_json::Value) -> http::Body {
        let create = &request["create_request"];
        let key = decode(&create["key"]);
        let from = parse_integer(&create["start_revision"]).cast_unsigned();
        {
            let mut state = self.state.lock().expect("no holder panics");
            *state.calls.entry("/v3/watch".to_owned()).or_default() += 1;
        }
        let (sender, body) = http::Body::stream(16);
        tokio::spawn(self.clone().send_changes(sender, key, from));
        body
    }

    async fn send_changes(self, mut sender: http::BodySender, key: Vec<u8>, mut from: u64) {
        let mut revisions = self.changed.subscribe();
        let created = serde_json::json!({ "result": { "created": true } });
        if !sender.send(format!("{created}\n").into()).await {
            return;
        }
        loop {
            let (events, revision) = {
                let state = self.state.lock().expect("no holder panics");
                (state.changes(&key, from), state.revision)
            };
            from = revision + 1;
            if !events.is_empty() {
                let line = serde_json::json!({ "result": { "events": events } });
                if !sender.send(format!("{line}\n").into()).await {
                    return;
                }
            }
            tokio::select! {
                change = revisions.changed() => if change.is_err() { return },
                () = sender.closed() => return,
            }
        }
    }
}

impl server::StandIn for Kv {
    async fn respond(&self, request: server::Request) -> server::Response {
        let body = request.json();
        if request.path == "/v3/watch" {
            return server::Response::Body(self.watch(&body));
        }
        server::Response::Json(200, self.call(&request.path, &body))
    }

    fn log(&self) -> serde_json::Value {
        serde_json::json!(self.calls())
    }
}
