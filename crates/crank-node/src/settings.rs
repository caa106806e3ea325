//! A node's settings, read whole and checked before anything starts.

use std::net::SocketAddr;
use std::path::Path;

use crank_engine::ini::{Document, Fault, Problem, SectionReader, SettingsReader, value};
use crank_protocol::member::Place;
use crank_protocol::{Millis, Name};

use crate::Error;

const MAX_GRACE_MS: u64 = 600_000;
const DEFAULT_GRACE: Millis = Millis(10_000);
const LEVELS: &str = "error, warn, info, debug or trace";
const SEEDS: &str = "IP numbers with ports, with commas between them";
const KNOWN: [&str; 7] = [
    "account", "node", "listen", "mesh", "platform", "log", "drain",
];
const SECTIONS: &str = "[account], [node], [listen], [mesh], [platform], [log] or [drain]";
const ADDRESS: &str = "an IP number and a port";
const NAME: &str = "a name";

/// The addresses that a node listens on; port 0 takes a free one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Listen {
    /// Callers' requests, over HTTP.
    pub callers: SocketAddr,
    /// Other nodes, over UDP and TCP.
    pub mesh: SocketAddr,
    /// The backend server's announcements, over HTTP.
    pub servers: SocketAddr,
    /// Operators' questions and metrics, over HTTP.
    pub operators: SocketAddr,
}

/// Everything that a node is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The node's name, one of its kind in the account.
    pub name: Name,
    /// Where it stands.
    pub place: Place,
    /// Where it listens.
    pub listen: Listen,
    /// Nodes to join by when the store is down.
    pub seeds: Vec<SocketAddr>,
    /// Where the platform's store is.
    pub platform: crank_platform_client::Settings,
    /// What is logged.
    pub level: log::LevelFilter,
    /// How long the node may finish its work after it was told to leave.
    pub grace: Millis,
}

impl Settings {
    /// Reads a settings file.
    ///
    /// # Errors
    /// [`Error::SettingsFile`] where it cannot be read and [`Error::Settings`] with every fault.
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
        Self::read(&file, &content).map_err(|faults| Error::Settings { faults })
    }

    /// Reads settings from the content of a file; the name is only for faults.
    ///
    /// # Errors
    /// Every fault found.
    ///
    /// ```
    /// use crank_node::Settings;
    /// let faults = Settings::read("node.ini", b"[node]\nnmae = a\n").unwrap_err();
    /// assert!(faults.iter().any(|fault| fault.to_string().starts_with("node.ini:2: node nmae")));
    /// ```
    pub fn read(file: &str, content: &[u8]) -> Result<Self, Vec<Fault>> {
        let document = Document::parse(file.into(), content)?;
        let mut sections = SettingsReader::new(file, &document, &KNOWN, SECTIONS);
        let platform = crank_platform_client::Settings::read(file, &document);
        let node = sections.required("node", read_node);
        let listen = sections.required("listen", read_listen);
        let seeds = sections.optional("mesh", |reader| reader.optional("seeds", seeds));
        let level = sections.optional("log", |reader| reader.optional("level", parse_log_level));
        let grace = sections.optional("drain", |reader| reader.optional("grace", grace));
        let mut faults = sections.finish();
        let platform = platform.map_err(|found| faults.extend(found)).ok();
        match (node, listen, platform) {
            (Some((name, place)), Some(listen), Some(platform)) if faults.is_empty() => Ok(Self {
                name,
                place,
                listen,
                platform,
                seeds: seeds.unwrap_or_default(),
                level: level.unwrap_or(log::LevelFilter::Info),
                grace: grace.unwrap_or(DEFAULT_GRACE),
            }),
            _ => Err(faults),
        }
    }
}

fn read_node(reader: &mut SectionReader<'_>) -> Option<(Name, Place)> {
    let name = reader.required("name", NAME, value::name);
    let region = reader.required("region", NAME, value::name);
    let data_centre = reader.required("data_centre", NAME, value::name);
    Some((
        name?,
        Place {
            region: region?,
            data_centre: data_centre?,
        },
    ))
}

fn read_listen(reader: &mut SectionReader<'_>) -> Option<Listen> {
    let callers = reader.required("callers", ADDRESS, value::address);
    let mesh = reader.required("mesh", ADDRESS, value::address);
    let servers = reader.required("servers", ADDRESS, value::address);
    let operators = reader.required("operators", ADDRESS, value::address);
    Some(Listen {
        callers: callers?,
        mesh: mesh?,
        servers: servers?,
        operators: operators?,
    })
}

fn seeds(text: &str) -> Result<Vec<SocketAddr>, Problem> {
    let bad = |_| Problem::InvalidValue {
        given: text.into(),
        expected: SEEDS,
    };
    text.split(',')
        .map(|one| one.trim().parse().map_err(bad))
        .collect()
}

/// Reads how much is logged.
///
/// # Errors
/// [`Problem::InvalidValue`].
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
            expected: LEVELS,
        }),
    }
}

fn grace(text: &str) -> Result<Millis, Problem> {
    value::duration(text, 0, MAX_GRACE_MS)
}
