//! A link between regions: relays TCP connections with a delay and a shared bandwidth.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::sync::{mpsc, watch};

/// Bytes read at a time.
const PIECE_BYTES: usize = 16 * 1024;
/// Pieces of one connection that are under way.
const PIECES_UNDER_WAY: usize = 256;
/// Pause between two looks at a cut link.
const CUT_POLL: time::Duration = time::Duration::from_millis(20);

/// What all connections over one link share.
#[derive(Clone, Debug)]
pub struct Link {
    delay: sync::Arc<sync::Mutex<time::Duration>>,
    bytes_per_second: f64,
    /// When the link is free again, for each direction.
    free: sync::Arc<[sync::Mutex<tokio::time::Instant>; 2]>,
    cut: sync::Arc<[atomic::AtomicBool; 2]>,
    resets: watch::Sender<u64>,
    carried: sync::Arc<atomic::AtomicU64>,
}

/// Directions of a link.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From who connects to the target.
    ToTarget,
    /// Back from the target.
    FromTarget,
}

impl Link {
    /// Makes a link with a one-way delay and a bandwidth in bytes per second each way.
    pub fn new(delay: time::Duration, bytes_per_second: f64) -> Self {
        let now = tokio::time::Instant::now();
        Self {
            delay: sync::Arc::new(sync::Mutex::new(delay)),
            bytes_per_second,
            free: sync::Arc::new([sync::Mutex::new(now), sync::Mutex::new(now)]),
            cut: sync::Arc::default(),
            resets: watch::channel(0).0,
            carried: sync::Arc::default(),
        }
    }

    /// Cuts the link or restores it. While it is cut nothing passes, and connections stay open.
    pub fn set_cut(&self, cut: bool) {
        for way in [Direction::ToTarget, Direction::FromTarget] {
            self.set_cut_direction(way, cut);
        }
    }

    /// Cuts one direction of the link or restores it.
    pub fn set_cut_direction(&self, way: Direction, cut: bool) {
        self.cut[way as usize].store(cut, atomic::Ordering::Relaxed);
    }

    /// Changes the one-way delay of what is sent from now on.
    ///
    /// # Panics
    /// Panics if another holder of the lock panicked.
    pub fn set_delay(&self, delay: time::Duration) {
        *self.delay.lock().expect("no holder panics") = delay;
    }

    /// Resets all connections.
    pub fn reset(&self) {
        self.resets.send_modify(|resets| *resets += 1);
    }

    /// Returns the bytes carried so far, both ways.
    pub fn carried_bytes(&self) -> u64 {
        self.carried.load(atomic::Ordering::Relaxed)
    }

    /// Relays connections to `target`; returns the address to connect to.
    ///
    /// # Panics
    /// Panics if no port is free.
    pub async fn relay(&self, target: net::SocketAddr) -> net::SocketAddr {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let listener = tokio::net::TcpListener::bind(any).await.expect("a free port");
        let address = listener.local_addr().expect("a listener has an address");
        let link = self.clone();
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(link.clone().connect(near, target));
            }
        });
        address
    }

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
                // Closing then sends a reset; if it can't be set, the close itself is the fault.
                let _ = socket2::SockRef::from(stream).set_linger(Some(time::Duration::ZERO));
            }
        }
    }

    async fn pump(
        &self,
        way: Direction,
        mut from: tokio::net::tcp::ReadHalf<'_>,
        mut to: tokio::net::tcp::WriteHalf<'_>,
    ) {
        let (send, mut under_way) =
            mpsc::channel::<(tokio::time::Instant, Vec<u8>)>(PIECES_UNDER_WAY);
        let read = async move {
            let mut piece = vec![0; PIECE_BYTES];
            while let Ok(bytes) = from.read(&mut piece).await {
                if bytes == 0 {
                    break;
                }
                let delay = *self.delay.lock().expect("no holder panics");
                let due = self.send_time(way as usize, bytes) + delay;
                if send.send((due, piece[..bytes].to_vec())).await.is_err() {
                    break;
                }
            }
        };
        let write = async move {
            while let Some((due, piece)) = under_way.recv().await {
                tokio::time::sleep_until(due).await;
                while self.cut[way as usize].load(atomic::Ordering::Relaxed) {
                    tokio::time::sleep(CUT_POLL).await;
                }
                if to.write_all(&piece).await.is_err() {
                    break;
                }
            }
            // Passes the end on; it fails if the other side is gone already.
            let _ = to.shutdown().await;
        };
        tokio::join!(read, write);
    }

    /// Returns when the last of so many bytes leaves, after all that were sent before.
    fn send_time(&self, direction: usize, bytes: usize) -> tokio::time::Instant {
        self.carried.fetch_add(bytes as u64, atomic::Ordering::Relaxed);
        let span = time::Duration::from_secs_f64(bytes as f64 / self.bytes_per_second);
        let mut free = self.free[direction].lock().expect("no holder panics");
        *free = (*free).max(tokio::time::Instant::now()) + span;
        *free
    }
}
