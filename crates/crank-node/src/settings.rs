//! The settings of a node, validated as a whole before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use crank_engine::ini::{Document, Fault, Problem, SectionReader, SettingsReader, value};
use crank_protocol::member::Place;
use crank_protocol::{Millis, Name};

use crate::Error;

const MAX_GRACE_MS: u64 = 600_000;
/// The highest number of requests of one connection that may be set to run before their turn.
const MAX_REQUESTS_AHEAD: u32 = 64;
const DEFAULT_DRAIN_GRACE: Millis = Millis(10_000);
const EXPECTED_LEVELS: &str = "error, warn, info, debug or trace";
const EXPECTED_SEEDS: &str = "IP addresses with ports, separated by commas";
const KNOWN_SECTIONS: [&str; 7] = [
    "account", "node", "listen", "mesh", "platform", "log", "drain",
];
const EXPECTED_SECTIONS: &str = "[account], [node], [listen], [mesh], [platform], [log] or [drain]";
const EXPECTED_ADDRESS: &str = "an IP address and a port";
const EXPECTED_NAME: &str = "a name";

/// The addresses that a node listens on; port 0 picks a free port.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListenAddresses {
    /// The HTTP listener for callers' requests.
    pub callers: SocketAddr,
    /// The mesh listener: UDP and TCP from other nodes.
    pub mesh: SocketAddr,
    /// The HTTP listener for the backend server's heartbeats.
    pub servers: SocketAddr,
    /// The HTTP listener for operators' queries and metrics.
    pub operators: SocketAddr,
    /// How many requests that a caller sends ahead on a connection may run before their turn.
    pub requests_ahead: usize,
}

/// The settings of one node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node's name, unique in the account.
    pub name: Name,
    /// The node's region and data centre.
    pub place: Place,
    /// The addresses that the node listens on.
    pub listen: ListenAddresses,
    /// Addresses of nodes through which to join the mesh while the store is down.
    pub seeds: Vec<SocketAddr>,
    /// How to reach the platform's store.
    pub platform: crank_platform_client::Settings,
    /// The most verbose level that is logged.
    pub level: log::LevelFilter,
    /// How long a stopping node may take to finish the work in flight.
    pub grace: Millis,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// Returns [`Error::SettingsFile`] if the file cannot be read, and [`Error::Settings`] with all
    /// faults if its content is invalid.
    ///
    /// ```
    /// use crank_node::Settings;
    /// assert!(Settings::load(std::path::Path::new("/nowhere.ini")).is_err());
    /// ```
    pub fn load(path: &Path) -> Result<Self, Error> {
        let content = std::fs::read(path).map_err(|source| Error::SettingsFile {
            path: path.to_owned(),
            source,
        })?;
        let file = path.display().to_string();
        Self::parse(&file, &content).map_err(|faults| Error::Settings { faults })
    }

    /// Parses the content of a settings file; `file` is the name that faults report.
    ///
    /// # Errors
    /// Returns all faults found.
    ///
    /// ```
    /// use crank_node::Settings;
    /// let faults = Settings::parse("node.ini", b"[node]\nnmae = a\n").unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.to_string().starts_with("node.ini:2: node nmae")));
    /// ```
    pub fn parse(file: &str, content: &[u8]) -> Result<Self, Vec<Fault>> {
        let document = Document::parse(file.into(), content)?;
        let mut sections = SettingsReader::new(file, &document, &KNOWN_SECTIONS, EXPECTED_SECTIONS);
        let platform = crank_platform_client::Settings::read(file, &document);
        let node = sections.required("node", parse_node);
        let listen = sections.required("listen", parse_listen);
        let seeds = sections.optional("mesh", |reader| reader.optional("seeds", parse_seeds));
        let level = sections.optional("log", |reader| reader.optional("level", parse_log_level));
        let grace = sections.optional("drain", |reader| reader.optional("grace", parse_grace));
        let mut faults = sections.finish();
        let platform = platform.map_err(|errors| faults.extend(errors)).ok();
        match (node, listen, platform) {
            (Some((name, place)), Some(listen), Some(platform)) if faults.is_empty() => Ok(Self {
                name,
                place,
                listen,
                platform,
                seeds: seeds.unwrap_or_default(),
                level: level.unwrap_or(log::LevelFilter::Info),
                grace: grace.unwrap_or(DEFAULT_DRAIN_GRACE),
            }),
            _ => Err(faults),
        }
    }
}

fn parse_node(reader: &mut SectionReader<'_>) -> Option<(Name, Place)> {
    let name = reader.required("name", EXPECTED_NAME, value::name);
    let region = reader.required("region", EXPECTED_NAME, value::name);
    let data_centre = reader.required("data_centre", EXPECTED_NAME, value::name);
    Some((
        name?,
        Place {
            region: region?,
            data_centre: data_centre?,
        },
    ))
}

fn parse_listen(reader: &mut SectionReader<'_>) -> Option<ListenAddresses> {
    let callers = reader.required("callers", EXPECTED_ADDRESS, value::address);
    let mesh = reader.required("mesh", EXPECTED_ADDRESS, value::address);
    let servers = reader.required("servers", EXPECTED_ADDRESS, value::address);
    let operators = reader.required("operators", EXPECTED_ADDRESS, value::address);
    let requests_ahead = reader.optional("requests_ahead", |text| {
        value::count(text, 0, MAX_REQUESTS_AHEAD)
    });
    Some(ListenAddresses {
        callers: callers?,
        mesh: mesh?,
        servers: servers?,
        operators: operators?,
        requests_ahead: requests_ahead.unwrap_or(0) as usize,
    })
}

fn parse_seeds(text: &str) -> Result<Vec<SocketAddr>, Problem> {
    let bad_value = |_| Problem::InvalidValue {
        given: text.into(),
        expected: EXPECTED_SEEDS,
    };
    text.split(',')
        .map(|address| address.trim().parse().map_err(bad_value))
        .collect()
}

/// Parses the name of a log level.
///
/// # Errors
/// Returns [`Problem::InvalidValue`] if the text is not the name of a level.
///
/// ```
/// assert_eq!(crank_node::parse_log_level("warn").unwrap(), log::LevelFilter::Warn);
/// ```
pub fn parse_log_level(text: &str) -> Result<log::LevelFilter, Problem> {
    match text {
        "error" => Ok(log::LevelFilter::Error),
        "warn" => Ok(log::LevelFilter::Warn),
        "info" => Ok(log::LevelFilter::Info),
        "debug" => Ok(log::LevelFilter::Debug),
        "trace" => Ok(log::LevelFilter::Trace),
        _ => Err(Problem::InvalidValue {
            given: text.into(),
            expected: EXPECTED_LEVELS,
        }),
    }
}

fn parse_grace(text: &str) -> Result<Millis, Problem> {
    value::duration(text, 0, MAX_GRACE_MS)
}
