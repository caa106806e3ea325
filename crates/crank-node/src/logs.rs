//! Structured logs: one line an event on standard error.

use std::io::Write;

use flexi_logger::{DeferredNow, FormatFunction, LogSpecification, Logger, LoggerHandle};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::Error;

const FORMAT: FormatFunction = line;
const TIME: &str = "%Y-%m-%dT%H:%M:%S%.3f%:z";

/// Starts the log; it ends when the handle is dropped.
///
/// # Errors
/// [`Error::Logger`] where another logger runs in this process.
///
/// ```
/// let logs = crank_node::logs::start(log::LevelFilter::Info)?;
/// log::info!(node = "n1"; "joined");
/// # drop(logs);
/// # Ok::<(), crank_node::Error>(())
/// ```
pub fn start(level: LevelFilter) -> Result<LoggerHandle, Error> {
    let specification = LogSpecification::builder().default(level).build();
    Ok(Logger::with(specification)
        .log_to_stderr()
        .format(FORMAT)
        .start()?)
}

fn line(out: &mut dyn Write, now: &mut DeferredNow, record: &Record<'_>) -> std::io::Result<()> {
    let time = now.format(TIME);
    let level = record.level();
    let target = record.target();
    write!(
        out,
        "time={time} level={level} from={target} event={:?}",
        record.args().to_string()
    )?;
    let mut pairs = Pairs(out);
    record
        .key_values()
        .visit(&mut pairs)
        .map_err(std::io::Error::other)
}

struct Pairs<'a>(&'a mut dyn Write);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        let plain = !text.is_empty() && !text.contains([' ', '"', '=', '\n']);
        let written = if plain {
            write!(self.0, " {key}={text}")
        } else {
            write!(self.0, " {key}={text:?}")
        };
        written.map_err(Into::into)
    }
}
