//! Logs: one line of key=value pairs per event.
//!
//! Processes that serve write to standard output through a bounded queue and a thread of its own,
//! so that a reader that does not read neither blocks them nor makes them grow: lines that find the
//! queue full are dropped and counted. Commands write to standard error.

use std::io;
use std::io::Write as _;
use std::time;

use tracing_appender::non_blocking;

/// Lines that wait for standard output.
const QUEUE_LINES: usize = 4_096;
/// Pause between two looks at the number of dropped lines.
const COUNT_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Keeps the writing thread alive; the last lines are written when it is dropped.
#[derive(Debug)]
pub struct Logs {
    _guard: Option<non_blocking::WorkerGuard>,
    dropped: Option<non_blocking::ErrorCounter>,
}

/// Starts logging; `RUST_LOG` goes before the given level. A process that serves writes to standard
/// output.
pub fn init(level: log::LevelFilter, is_server: bool) -> Logs {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).parse_default_env().format(|out, record| {
        let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        let level = record.level().as_str().to_ascii_lowercase();
        writeln!(out, "ts={:.3} level={level} {}", now.as_secs_f64(), record.args())
    });
    if !is_server {
        builder.init();
        return Logs { _guard: None, dropped: None };
    }
    let (writer, guard) = non_blocking::NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(io::stdout());
    let dropped = writer.error_counter();
    builder.target(env_logger::Target::Pipe(Box::new(writer))).init();
    Logs { _guard: Some(guard), dropped: Some(dropped) }
}

impl Logs {
    /// Tells of dropped lines, again and again.
    pub async fn watch(&self) {
        let Some(counter) = &self.dropped else { return std::future::pending().await };
        let mut told = 0;
        loop {
            tokio::time::sleep(COUNT_INTERVAL).await;
            let dropped = counter.dropped_lines();
            if dropped > told {
                log::warn!("event=log_lines_dropped lines={}", dropped - told);
                told = dropped;
            }
        }
    }
}
