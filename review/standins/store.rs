//! Stand-in for the platform's store: items, leases and conditional writes. It keeps no history and
//! serves no watches, which gateways do not use.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Request};
use crate::json::Json;

#[derive(Clone, Debug)]
struct Item {
    /// Value in base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Default)]
struct State {
    items: BTreeMap<String, Item>,
    revision: u64,
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<Mutex<State>>);

const BASE64: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let byte = |at: usize| u32::from(group.get(at).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for place in 0..4 {
            let digit = BASE64[(bits >> (18 - 6 * place) & 63) as usize];
            text.push(if place <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}

impl State {
    fn expire(&mut self) {
        self.leases.retain(|_, (renewed, ttl)| renewed.elapsed() < *ttl);
        let leases = &self.leases;
        self.items.retain(|_, item| item.lease == 0 || leases.contains_key(&item.lease));
    }

    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item);
    }

    fn encode(&self, key: &str) -> String {
        let Some(item) = self.items.get(key) else {
            return format!(r#"{{"key":"{key}","revision":0}}"#);
        };
        format!(
            r#"{{"key":"{key}","value":"{}","revision":{},"create_revision":{},"lease":{}}}"#,
            item.value, item.revision, item.created, item.lease
        )
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        let rows = |name: &str| body.get(name).map(|rows| rows.list().to_vec()).unwrap_or_default();
        let text = |row: &Json, name: &str| {
            row.get(name).and_then(Json::text).unwrap_or_default().to_owned()
        };
        let number = |row: &Json, name: &str| row.get(name).and_then(Json::number).unwrap_or(0);
        let expected = rows("expect_rev");
        let holds = expected.iter().all(|row| {
            let item = self.items.get(&text(row, "key"));
            item.map_or(0, |item| item.revision) == number(row, "revision")
        });
        if !holds {
            let items: Vec<_> = expected.iter().map(|row| self.encode(&text(row, "key"))).collect();
            return (412, format!(r#"{{"items":[{}]}}"#, items.join(",")));
        }
        let puts = rows("puts");
        let has_lease = |row: &Json| {
            let lease = number(row, "lease");
            lease == 0 || self.leases.contains_key(&lease)
        };
        if !puts.iter().all(has_lease) {
            return (404, "{}".to_owned());
        }
        self.revision += 1;
        for row in &puts {
            self.put(&text(row, "key"), text(row, "value"), number(row, "lease"));
        }
        for key in rows("deletes") {
            self.items.remove(key.text().unwrap_or_default());
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

/// Returns a parameter of a query; empty if it is absent.
fn parameter<'a>(query: &'a str, name: &str) -> &'a str {
    let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.filter(|(key, _)| *key == name).map(|(_, value)| value).next().unwrap_or_default()
}

impl Store {
    /// Starts to serve on a free port.
    pub fn serve(&self) -> SocketAddr {
        let (listener, address) = http::listen();
        let store = self.clone();
        http::serve(listener, move |connection, request| store.handle(connection, &request));
        address
    }

    /// Writes an item as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.0.lock().expect("no holder panics");
        state.revision += 1;
        state.put(key, base64(value.as_bytes()), 0);
    }

    fn handle(&self, connection: &mut Connection, request: &Request) -> bool {
        let (status, body) = self.answer(request);
        let fields = [("Content-Type", "application/json"), ("Store-Era", "1")];
        connection.write(&http::answer(status, &fields, body.as_bytes())).is_ok()
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let mut state = self.0.lock().expect("no holder panics");
        state.expire();
        let (path, query) = request.target.split_once('?').unwrap_or((&request.target, ""));
        let path = path.strip_prefix("/bramleyshelf/").unwrap_or_default();
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (call, number) = path.split_once('/').unwrap_or((path, ""));
        let number: u64 = number.parse().unwrap_or(0);
        match (request.method.as_str(), call) {
            ("GET", "kv-key") => {
                let key = parameter(query, "key");
                let status = if state.items.contains_key(key) { 200 } else { 404 };
                (status, state.encode(key))
            }
            ("GET", "kv-range") => {
                let (prefix, after) = (parameter(query, "prefix"), parameter(query, "after"));
                let keys = state.items.keys();
                let keys: Vec<_> =
                    keys.filter(|key| key.starts_with(prefix) && key.as_str() > after).collect();
                let items: Vec<_> = keys.iter().take(500).map(|key| state.encode(key)).collect();
                let (has_more, items) = (keys.len() > 500, items.join(","));
                let revision = state.revision;
                (200, format!(r#"{{"items":[{items}],"has_more":{has_more},"as_of":{revision}}}"#))
            }
            ("POST", "kv-txn") => state.commit(&body),
            ("POST", "kv-lease") => {
                let ttl = body.get("ttl_ms").and_then(Json::number).unwrap_or(1_000).max(1_000);
                state.revision += 1;
                let lease = state.revision;
                state.leases.insert(lease, (Instant::now(), Duration::from_millis(ttl)));
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", "kv-keep") => match state.leases.get_mut(&number) {
                Some((renewed, _)) => {
                    *renewed = Instant::now();
                    (200, "{}".to_owned())
                }
                None => (404, "{}".to_owned()),
            },
            ("DELETE", "kv-lease-end") => {
                let known = state.leases.remove(&number).is_some();
                (if known { 200 } else { 404 }, "{}".to_owned())
            }
            _ => (404, "{}".to_owned()),
        }
    }
}
