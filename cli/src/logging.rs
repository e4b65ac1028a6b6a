//! Logs: one line of key=value pairs per event, on standard error.

use std::io::Write as _;
use std::time;

/// Starts logging; `RUST_LOG` goes before the given level.
pub fn init(level: log::LevelFilter) {
    env_logger::Builder::new()
        .filter_level(level)
        .parse_default_env()
        .format(|out, record| {
            let now = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            writeln!(out, "ts={:.3} level={level} {}", now.as_secs_f64(), record.args())
        })
        .init();
}
