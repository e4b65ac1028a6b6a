//! The platform's store: keys, revisions and leases, with one listener for each machine, so that it can tell
//! who calls.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{self, Json};

/// How the store answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// Answers 503 to each call: nothing was done.
    Busy,
}

struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

struct State {
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    next_lease: u64,
    mode: Mode,
    /// Reads of `servers/` that were answered, with the machine.
    reads: Vec<(Instant, usize)>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    pub fn new() -> Self {
        let state = State {
            items: BTreeMap::new(),
            leases: BTreeMap::new(),
            revision: 1,
            next_lease: 1,
            mode: Mode::Up,
            reads: Vec::new(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Listens for one machine; returns the address.
    pub fn listen(&self, machine: usize) -> SocketAddr {
        let store = self.clone();
        let server = http::Server::start(http::free_address(), move |stream| {
            store.serve(stream, machine);
        });
        server.expect("a free port").address
    }

    pub fn set_mode(&self, mode: Mode) {
        self.state.lock().unwrap().mode = mode;
    }

    /// Writes as the operator or a runner does; a runner's own path to the store is sound.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, json::base64(value.as_bytes()), 0);
    }

    pub fn delete(&self, key: &str) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        state.items.remove(key);
    }

    /// Returns the machines whose reads of `servers/` were answered since then.
    pub fn readers_since(&self, since: Instant) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        state.reads.iter().filter(|(at, _)| *at > since).map(|(_, machine)| *machine).collect()
    }

    fn serve(&self, mut stream: TcpStream, machine: usize) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = http::read_message(&mut reader, false) {
            // The store takes 4 ms an answer.
            thread::sleep(Duration::from_millis(4));
            let (status, body) = self.handle(&request, machine);
            let head = [("content-type", "application/json"), ("store-era", "1")];
            if stream.write_all(&http::answer(status, &head, body.as_bytes())).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message, machine: usize) -> (u16, String) {
        let mut state = self.state.lock().unwrap();
        state.expire();
        if state.mode == Mode::Busy {
            return (503, "{}".to_owned());
        }
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let body = Json::parse(&request.text()).unwrap_or(Json::Null);
        let parameter = |name: &str| {
            let found = query.split('&').filter_map(|pair| pair.split_once('='));
            let found = found.into_iter().find(|(key, _)| *key == name);
            found.map(|(_, value)| decode(value)).unwrap_or_default()
        };
        match path {
            "/bramleyshelf/kv-key" => match state.item(&parameter("key")) {
                Some(item) => (200, item),
                None => (404, "{}".to_owned()),
            },
            "/bramleyshelf/kv-range" => {
                let (prefix, after) = (parameter("prefix"), parameter("after"));
                let keys: Vec<_> = state.items.keys().cloned().collect();
                let keys = keys.into_iter().filter(|key| key.starts_with(&prefix) && *key > after);
                let items: Vec<_> = keys.filter_map(|key| state.item(&key)).collect();
                let as_of = state.revision;
                if prefix == "servers/" {
                    state.reads.push((Instant::now(), machine));
                }
                let items = items.join(",");
                (200, format!("{{\"items\":[{items}],\"has_more\":false,\"as_of\":{as_of}}}"))
            }
            "/bramleyshelf/kv-txn" => state.commit(&body),
            "/bramleyshelf/kv-lease" => {
                let ttl = body.number("ttl_ms").unwrap_or(1_000.0).clamp(1_000.0, 600_000.0) as u64;
                let lease = state.next_lease;
                state.next_lease += 1;
                let length = Duration::from_millis(ttl);
                state.leases.insert(lease, (length, Instant::now() + length));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            _ => {
                let id = path.strip_prefix("/bramleyshelf/kv-keep/").and_then(|id| id.parse().ok());
                let lease = id.and_then(|id: u64| state.leases.get_mut(&id));
                match lease {
                    Some((length, end)) => {
                        *end = Instant::now() + *length;
                        (200, format!("{{\"ttl_ms\":{}}}", length.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let create_revision = self.items.get(key).map_or(revision, |item| item.create_revision);
        self.items.insert(key.to_owned(), Item { value, revision, create_revision, lease });
    }

    fn item(&self, key: &str) -> Option<String> {
        let Item { value, revision, create_revision, lease } = self.items.get(key)?;
        Some(format!(
            "{{\"key\":{},\"value\":\"{value}\",\"revision\":{revision},\
             \"create_revision\":{create_revision},\"lease\":{lease},\"as_of\":{}}}",
            json::quote(key),
            self.revision
        ))
    }

    fn commit(&mut self, body: &Json) -> (u16, String) {
        for expected in body.list("expect_rev") {
            let key = expected.text("key").unwrap_or_default();
            let revision = self.items.get(key).map_or(0, |item| item.revision);
            if expected.number("revision") != Some(revision as f64) {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in body.list("puts") {
            let lease = put.number("lease").unwrap_or(0.0) as u64;
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
        }
        for put in body.list("puts") {
            let (key, value) =
                (put.text("key").unwrap_or_default(), put.text("value").unwrap_or_default());
            let lease = put.number("lease").unwrap_or(0.0) as u64;
            self.put(key, value.to_owned(), lease);
        }
        for key in body.list("deletes") {
            if let Json::Text(key) = key {
                self.revision += 1;
                self.items.remove(key);
            }
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }

    fn expire(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (_, end)| *end > now);
        let (leases, before) = (&self.leases, self.items.len());
        self.items.retain(|_, item| item.lease == 0 || leases.contains_key(&item.lease));
        self.revision += (before - self.items.len()) as u64;
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let hex: Vec<u8> = rest.by_ref().take(2).collect();
            let hex = String::from_utf8_lossy(&hex).into_owned();
            bytes.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
