//! Simulation of a link between regions: relays TCP connections with a delay and a shared
//! bandwidth, and can be cut, delayed or reset.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::{mpsc, watch};

/// Maximum number of bytes that are read and forwarded at once.
const CHUNK_BYTES: usize = 16 * 1024;
/// Maximum number of chunks of one connection and direction that wait for their delay to pass.
const MAX_QUEUED_CHUNKS: usize = 256;
/// Interval at which a cut link is checked for its restoration.
const CUT_POLL_INTERVAL: time::Duration = time::Duration::from_millis(20);

/// A link between two regions; its clones share its state.
#[derive(Clone, Debug)]
pub struct Link {
    /// One-way delay.
    delay: sync::Arc<sync::Mutex<time::Duration>>,
    /// Bandwidth of each direction, which all connections share.
    bytes_per_second: f64,
    /// Time at which all bytes accepted so far have been sent, for each direction.
    free_at: sync::Arc<[sync::Mutex<tokio::time::Instant>; 2]>,
    /// Whether each direction is cut.
    cut: sync::Arc<[atomic::AtomicBool; 2]>,
    /// Number of resets so far; each change resets all open connections.
    resets: watch::Sender<u64>,
    /// Number of bytes accepted so far in both directions, including those held back by a cut.
    carried_bytes: sync::Arc<atomic::AtomicU64>,
}

/// Direction of traffic on a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the connecting side to the target.
    ToTarget,
    /// From the target back to the connecting side.
    FromTarget,
}

impl Link {
    /// Makes a link with a one-way delay and a bandwidth in bytes per second each way.
    pub fn new(delay: time::Duration, bytes_per_second: f64) -> Self {
        let now = tokio::time::Instant::now();
        Self {
            delay: sync::Arc::new(sync::Mutex::new(delay)),
            bytes_per_second,
            free_at: sync::Arc::new([sync::Mutex::new(now), sync::Mutex::new(now)]),
            cut: sync::Arc::default(),
            resets: watch::channel(0).0,
            carried_bytes: sync::Arc::default(),
        }
    }

    /// Cuts or restores both directions. A cut link holds back all data; its connections stay open.
    pub fn set_cut(&self, cut: bool) {
        for direction in [Direction::ToTarget, Direction::FromTarget] {
            self.set_cut_direction(direction, cut);
        }
    }

    /// Cuts or restores one direction.
    pub fn set_cut_direction(&self, direction: Direction, cut: bool) {
        self.cut[direction as usize].store(cut, atomic::Ordering::Relaxed);
    }

    /// Sets the one-way delay of data sent from now on.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set_delay(&self, delay: time::Duration) {
        *self.delay.lock().expect("no holder panics") = delay;
    }

    /// Resets all open connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Returns the number of bytes accepted so far in both directions, including those held back by
    /// a cut.
    pub fn carried_bytes(&self) -> u64 {
        self.carried_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Starts to relay connections to `target` over the link; returns the address to connect to.
    ///
    /// # Panics
    /// Panics if no port is free.
    pub async fn relay(&self, target: net::SocketAddr) -> net::SocketAddr {
        let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tokio::net::TcpListener::bind(any_port).await.expect("a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(link.clone().connect(near, target));
            }
        });
        address
    }

    /// Relays one connection until both directions have ended, or until the next reset.
    async fn connect(self, near: tokio::net::TcpStream, target: net::SocketAddr) {
        let Ok(far) = tokio::net::TcpStream::connect(target).await else { return };
        if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
            return;
        }
        let mut resets = self.resets.subscribe();
        let (mut near, mut far) = (near, far);
        let is_reset = {
            let (near_read, near_write) = near.split();
            let (far_read, far_write) = far.split();
            let both = async {
                tokio::join!(
                    self.pump(Direction::ToTarget, near_read, far_write),
                    self.pump(Direction::FromTarget, far_read, near_write)
                )
            };
            tokio::select! {
                _ = both => false,
                _ = resets.changed() => true,
            }
        };
        if is_reset {
            for stream in [&near, &far] {
                // With a linger time of zero, closing sends a reset. If the option cannot be set,
                // the connection is at least closed.
                let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
            }
        }
    }

    /// Copies one direction of a connection, with the delay and bandwidth of the link, until it ends.
    async fn pump(
        &self,
        direction: Direction,
        mut from: tokio::net::tcp::ReadHalf<'_>,
        mut to: tokio::net::tcp::WriteHalf<'_>,
    ) {
        let (send, mut queued) =
            mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(MAX_QUEUED_CHUNKS);
        let read = async move {
            let mut chunk = vec![0; CHUNK_BYTES];
            while let Ok(bytes) = from.read(&mut chunk).await {
                if bytes == 0 {
                    break;
                }
                let delay = *self.delay.lock().expect("no holder panics");
                let due = self.send_time(direction as usize, bytes) + delay;
                if send.send((due, chunk[..bytes].to_vec())).await.is_err() {
                    break;
                }
            }
        };
        let write = async move {
            while let Some((due, chunk)) = queued.recv().await {
                tokio::time::sleep_until(due).await;
                while self.cut[direction as usize].load(atomic::Ordering::Relaxed) {
                    tokio::time::sleep(CUT_POLL_INTERVAL).await;
                }
                if to.write_all(&chunk).await.is_err() {
                    break;
                }
            }
            // Forwards the end of the stream; fails if the other side has closed already.
            let _ = to.shutdown().await;
        };
        tokio::join!(read, write);
    }

    /// Reserves bandwidth for a number of bytes; returns the time at which the last one is sent,
    /// after all bytes reserved before.
    fn send_time(&self, direction: usize, bytes: usize) -> tokio::time::Instant {
        self.carried_bytes.fetch_add(bytes as u64, atomic::Ordering::Relaxed);
        let span = time::Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let mut free_at = self.free_at[direction].lock().expect("no holder panics");
        *free_at = (*free_at).max(tokio::time::Instant::now()) + span;
        *free_at
    }
}
