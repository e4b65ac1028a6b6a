//! A model runner as a process of its own: it can crash, and be back under its id some seconds later
//! with nothing of before.

use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Request};
use crate::site::{self, Record};
use crate::store::Store;

/// Pause between two looks for new connections or at the caller's connection.
const POLL: Duration = Duration::from_millis(10);

/// A model runner; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub record: Record,
    address: SocketAddr,
    is_down: Arc<AtomicBool>,
    /// Connections of the present process.
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Engine {
    /// Starts a runner and lists it. The handler answers one request and returns whether the
    /// connection stays open.
    pub fn start<H>(store: &Store, record: &Record, id: &str, service: &str, handler: H) -> Self
    where
        H: Fn(&Engine, &mut Connection, &Request) -> bool + Send + Sync + 'static,
    {
        let (listener, address) = http::listen();
        let (id, record, is_down) = (id.to_owned(), record.clone(), Arc::default());
        let engine = Self { id, record, address, is_down, connections: Arc::default() };
        site::register(store, &engine.id, service, address, 128, Some(&engine.is_down));
        let (served, handler) = (engine.clone(), Arc::new(handler));
        thread::spawn(move || served.serve(listener, &handler));
        engine
    }

    fn serve<H>(&self, first: TcpListener, handler: &Arc<H>)
    where
        H: Fn(&Engine, &mut Connection, &Request) -> bool + Send + Sync + 'static,
    {
        let mut next = Some(first);
        loop {
            let Some(listener) = next.take().or_else(|| TcpListener::bind(self.address).ok())
            else {
                thread::sleep(POLL);
                continue;
            };
            let _ = listener.set_nonblocking(true);
            while !self.has_crashed() {
                match listener.accept() {
                    Ok((stream, _)) => self.spawn_connection(stream, Arc::clone(handler)),
                    Err(_) => thread::sleep(Duration::from_millis(1)),
                }
            }
            drop(listener);
            while self.has_crashed() {
                thread::sleep(POLL);
            }
        }
    }

    fn spawn_connection<H>(&self, stream: TcpStream, handler: Arc<H>)
    where
        H: Fn(&Engine, &mut Connection, &Request) -> bool + Send + Sync + 'static,
    {
        let _ = stream.set_nonblocking(false);
        let Ok(copy) = stream.try_clone() else { return };
        self.connections.lock().expect("no holder panics").push(copy);
        let engine = self.clone();
        thread::spawn(move || {
            let mut connection = Connection::new(stream);
            while let Ok(request) = connection.read_request() {
                if !engine.answer(&mut connection, &request, &*handler) {
                    break;
                }
            }
            let _ = connection.stream.shutdown(Shutdown::Both);
        });
    }

    fn answer<H>(&self, connection: &mut Connection, request: &Request, handler: &H) -> bool
    where
        H: Fn(&Engine, &mut Connection, &Request) -> bool,
    {
        if self.has_crashed() {
            return false;
        }
        let attempt = request.headers.get("x-attempt-id");
        if request.headers.get("x-expect-runner") != self.id {
            let fields = [("X-Attempt-Id", attempt), ("X-Not-Run", "1")];
            return connection.write(&http::answer(421, &fields, b"")).is_ok();
        }
        handler(self, connection, request)
    }

    pub fn has_crashed(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    /// Ends the process: all connections break off. It is back after `length`.
    pub fn crash(&self, length: Duration) {
        if self.is_down.swap(true, Ordering::Relaxed) {
            return;
        }
        self.record.line(&format!("{} crashes", self.id));
        for stream in self.connections.lock().expect("no holder panics").drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(length);
            engine.is_down.store(false, Ordering::Relaxed);
            engine.record.line(&format!("{} is back", engine.id));
        });
    }

    /// Waits as an engine that is at work. Fails if the caller closes the connection or the process
    /// crashes meanwhile.
    pub fn work(&self, connection: &mut Connection, time: Duration) -> io::Result<()> {
        let until = Instant::now() + time;
        while Instant::now() < until {
            let left = until.saturating_duration_since(Instant::now());
            if connection.wait_closed(left.min(POLL)) {
                return Err(io::ErrorKind::ConnectionAborted.into());
            }
        }
        Ok(())
    }

    /// Writes the head of a stream.
    pub fn begin_stream(&self, connection: &mut Connection, attempt: &str) -> io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
            self.id
        );
        connection.write(head.as_bytes())
    }

    /// Writes one event of a stream.
    pub fn send_event(
        &self,
        connection: &mut Connection,
        attempt: &str,
        event: u64,
    ) -> io::Result<()> {
        let text = format!("id: {event}\ndata: {event} of {attempt}\n\n");
        let chunk = format!("{:x}\r\n{text}\r\n", text.len());
        connection.write(chunk.as_bytes())
    }

    /// Ends a stream that is complete.
    pub fn end_stream(&self, connection: &mut Connection) -> io::Result<()> {
        connection.write(b"0\r\n\r\n")
    }
}
