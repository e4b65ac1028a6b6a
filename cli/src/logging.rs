//! Logs: one line of key=value pairs per event.
//!
//! Servers write to standard output through a bounded queue and a separate thread, so that a reader
//! that stops reading neither blocks them nor makes their memory grow: lines that arrive while the
//! queue is full are dropped and counted. Other commands write to standard error.

use std::io;
use std::io::Write as _;
use std::time;

use tracing_appender::non_blocking;

/// Capacity of the queue for standard output, in lines.
const QUEUE_LINES: usize = 4_096;
/// Pause between two checks of the number of dropped lines.
const DROP_CHECK_INTERVAL: time::Duration = time::Duration::from_secs(1);

/// Keeps the writing thread alive; dropping it writes the lines that are still queued.
#[derive(Debug)]
pub struct Logs {
    _guard: Option<non_blocking::WorkerGuard>,
    /// Counts dropped lines; `None` if the process logs to standard error.
    dropped: Option<non_blocking::ErrorCounter>,
}

/// Starts logging. `RUST_LOG` overrides the given level. Servers write to standard output, other
/// commands to standard error.
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
    /// Logs the number of newly dropped lines periodically. Never returns.
    pub async fn report_dropped_lines(&self) {
        let Some(counter) = &self.dropped else { return std::future::pending().await };
        let mut reported = 0;
        loop {
            tokio::time::sleep(DROP_CHECK_INTERVAL).await;
            let dropped = counter.dropped_lines();
            if dropped > reported {
                log::warn!("event=log_lines_dropped lines={}", dropped - reported);
                reported = dropped;
            }
        }
    }
}
