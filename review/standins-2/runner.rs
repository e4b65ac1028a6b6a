//! A plain runner, which registers itself, answers requests, and leaves.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Server};
use crate::site::{self, Entry};
use crate::store::Store;

/// What a runner does besides answering.
#[derive(Clone, Copy)]
pub struct Terms {
    /// Time that a request takes.
    pub work: Duration,
}

/// An arrival of a request at a runner.
#[derive(Clone)]
pub struct Arrival {
    pub at: Instant,
    pub runner: String,
    /// Id of the requester's attempt.
    pub request: String,
}

struct State {
    entry: Entry,
    server: Option<Server>,
    is_leaving: bool,
}

/// A runner; clones share it.
#[derive(Clone)]
pub struct Runner {
    state: Arc<Mutex<State>>,
    id: String,
    store: Store,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    terms: Terms,
}

impl Runner {
    /// Starts a runner, which registers itself and writes its entry every 1.2 s.
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        store: &Store,
        arrivals: &Arc<Mutex<Vec<Arrival>>>,
        terms: Terms,
    ) -> Self {
        let address: SocketAddr = http::free_address();
        let entry = Entry {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            zone: zone.to_owned(),
            slots: 6,
            born: site::unix_ms(),
            state: "ready",
            sequence: 0,
        };
        let state = Arc::new(Mutex::new(State { entry, server: None, is_leaving: false }));
        let runner = Self {
            state,
            id: id.to_owned(),
            store: store.clone(),
            arrivals: arrivals.clone(),
            terms,
        };
        runner.boot();
        let beating = runner.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(1_200));
                let mut state = beating.state.lock().unwrap();
                if state.server.is_some() {
                    state.entry.write(&beating.store);
                }
            }
        });
        runner
    }

    pub fn id(&self) -> &str {
        &self.id
    }

    /// Reports that the runner leaves; it says so in its answers too.
    pub fn drain(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_leaving = true;
        state.entry.state = "draining";
        state.entry.write(&self.store);
    }

    /// Ends the runner.
    pub fn end(&self) {
        if let Some(server) = self.state.lock().unwrap().server.take() {
            server.crash();
        }
        self.store.delete(&format!("servers/{}", self.id));
    }

    /// Starts the process of the runner: it listens and registers at once.
    fn boot(&self) {
        let mut state = self.state.lock().unwrap();
        let runner = self.clone();
        let server = Server::start(state.entry.address, move |stream| runner.serve(stream));
        state.server = Some(server.expect("the address of the runner is free"));
        state.entry.born = site::unix_ms();
        state.entry.sequence = 0;
        state.entry.write(&self.store);
    }

    fn serve(&self, mut stream: TcpStream) {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = http::read_message(&mut reader, false) {
            let answer = self.handle(&request);
            if answer.is_empty() || stream.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn handle(&self, request: &Message) -> Vec<u8> {
        if request.header("x-expect-runner") != Some(&self.id) {
            return http::answer(421, &[("x-runner-id", &self.id)], b"");
        }
        let arrival = Arrival {
            at: Instant::now(),
            runner: self.id.clone(),
            request: request.header("x-attempt-id").unwrap_or_default().to_owned(),
        };
        self.arrivals.lock().unwrap().push(arrival);
        thread::sleep(self.terms.work);
        let id = request.header("x-attempt-id").unwrap_or_default();
        let body = format!("answer to {id}");
        let mut headers = vec![
            ("x-attempt-id", id),
            ("x-server-seal", "stand-in"),
            ("x-runner-id", &self.id),
            ("keep-alive", "timeout=10"),
        ];
        if self.state.lock().unwrap().is_leaving {
            headers.push(("server-leaving", "1"));
        }
        http::answer(200, &headers, body.as_bytes())
    }
}
