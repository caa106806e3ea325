//! The folder of the specifications: two files, edited one after the other.
//!
//! `a.ini` has the services, `b.ini` the route. On the way the folder is refused once, and reading
//! one file early and the other late gives a folder that never existed.

use crank_engine::config;
use crank_engine::folder::{File, merge};
use crank_protocol::config::{Config, Digest};
use crank_protocol::status::Fault;

/// Which text of each file.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct Content {
    pub(crate) a: usize,
    pub(crate) b: usize,
}

const fn content(a: usize, b: usize) -> Content {
    Content { a, b }
}

/// The folder after each of the operator's edits.
pub(crate) const FOLDERS: [Content; 4] =
    [content(0, 0), content(0, 1), content(1, 1), content(2, 1)];

/// The folders that are good, in the order of their versions.
pub(crate) const GOOD: [Content; 3] = [content(0, 0), content(1, 1), content(2, 1)];

const SERVICES: [&str; 3] = [
    "[account]\nname = model\n[service one]\nslots = 1\n",
    "[account]\nname = model\n[service one]\nslots = 1\n[service two]\nslots = 1\n",
    "[account]\nname = model\n[service two]\nslots = 1\n",
];
const ROUTES: [&str; 2] = [
    "[route r]\npath = /r\nmethods = GET\nservice = one\n",
    "[route r]\npath = /r\nmethods = GET\nservice = two\n",
];

/// What the engine makes of each content.
#[derive(Debug, Clone)]
pub(crate) struct Table {
    entries: Vec<Entry>,
}

#[derive(Debug, Clone)]
struct Entry {
    config: Config,
    digest: Digest,
    refused: bool,
}

impl Table {
    pub(crate) fn new() -> Self {
        let mut entries = Vec::new();
        for a in 0..SERVICES.len() {
            for b in 0..ROUTES.len() {
                entries.extend(entry(content(a, b)));
            }
        }
        Self { entries }
    }

    pub(crate) fn config(&self, content: Content) -> &Config {
        &self.entry(content).config
    }

    pub(crate) fn digest(&self, content: Content) -> &Digest {
        &self.entry(content).digest
    }

    /// Whether the engine's merge refuses it.
    pub(crate) fn is_refused(&self, content: Content) -> bool {
        self.entry(content).refused
    }

    fn entry(&self, content: Content) -> &Entry {
        &self.entries[content.a * ROUTES.len() + content.b]
    }
}

/// A refused content has a configuration too: what would be applied if nothing checked it.
fn entry(content: Content) -> Option<Entry> {
    let services = merged(self::content(content.a, content.a.min(1))).ok()?;
    let routes = merged(self::content(1, content.b)).ok()?;
    let config = Config {
        routes: routes.routes,
        ..services
    };
    Some(Entry {
        digest: config::digest(&config),
        refused: merged(content).is_err(),
        config,
    })
}

fn merged(content: Content) -> Result<Config, Vec<Fault>> {
    let file = |name: &str, text: &str| File {
        name: name.into(),
        content: text.into(),
    };
    let files = [
        file("a.ini", SERVICES[content.a]),
        file("b.ini", ROUTES[content.b]),
    ];
    merge(&files).map(|merged| merged.config)
}
