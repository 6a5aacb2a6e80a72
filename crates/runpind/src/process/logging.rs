//! Logging to standard error, as text or JSON; only changes of state are logged.

use crate::error::DaemonError;
use crate::settings::LogFormat;
use std::time::{SystemTime, UNIX_EPOCH};

/// Initializes the process-wide logger.
pub fn start(format: LogFormat) -> Result<(), DaemonError> {
    fern::Dispatch::new()
        .level(log::LevelFilter::Info)
        .format(move |out, message, record| {
            let at_ms = unix_time_ms();
            let level = record.level();
            let target = record.target();
            match format {
                LogFormat::Text => {
                    out.finish(format_args!("{at_ms} {level} {target}: {message}"));
                }
                LogFormat::Json => {
                    let line = serde_json::json!({
                        "at_ms": at_ms,
                        "level": level.as_str(),
                        "target": target,
                        "message": message.to_string(),
                    });
                    out.finish(format_args!("{line}"));
                }
            }
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

fn unix_time_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis())
}
