//! Logger that writes one line per record to standard error.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use log::{LevelFilter, Log, Metadata, Record};

struct Logger;

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= log::max_level()
    }

    fn log(&self, record: &Record) {
        if self.enabled(record.metadata()) {
            let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
            let level = record.level().as_str().to_ascii_lowercase();
            // A failing log write must not stop the router.
            let _ = writeln!(
                std::io::stderr(),
                "{}.{:03} {level} {}",
                since.as_secs(),
                since.subsec_millis(),
                record.args()
            );
        }
    }

    fn flush(&self) {}
}

/// Installs the logger at the level of `MARLJUNCTION_LOG`, or at `info`.
pub fn start() {
    if log::set_logger(&Logger).is_ok() {
        set_level(None);
    }
}

/// Sets the log level; `MARLJUNCTION_LOG` takes precedence, and `info` is the default.
pub fn set_level(level: Option<LevelFilter>) {
    let named = std::env::var("MARLJUNCTION_LOG").ok().and_then(|l| l.parse().ok());
    log::set_max_level(named.or(level).unwrap_or(LevelFilter::Info));
}
