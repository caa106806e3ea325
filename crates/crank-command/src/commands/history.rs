//! `crankctl history`.

use crank_operator::Client;
use gumdrop::Options;

use crate::table::Table;
use crate::{Error, Report, words};

pub(super) const ABOUT: &str = "Asks a node for the accepted versions, newest first.";

const DEFAULT_LIMIT: u32 = 20;

#[derive(Debug, Options)]
pub(crate) struct History {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "any node's operators' address", meta = "IP:PORT")]
    node: String,
    #[options(help = "the most versions to show (20)", meta = "N", no_short)]
    limit: Option<u32>,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

impl History {
    pub(super) async fn run(self) -> Result<Report, Error> {
        let limit = self.limit.unwrap_or(DEFAULT_LIMIT);
        let entries = Client::new(&self.node)?.history(limit).await?;
        if self.json {
            return Ok(Report::new(serde_json::to_string_pretty(&entries)? + "\n"));
        }
        if entries.is_empty() {
            return Ok(Report::new("no version was accepted yet\n".to_owned()));
        }
        let mut table = Table::new(&["VERSION", "DIGEST", "ACCEPTED", "BY NODE"]);
        for entry in entries {
            table.add(vec![
                entry.stamp.version.to_string(),
                words::short_digest(&entry.stamp.digest).to_owned(),
                words::time(entry.at),
                entry.publisher.to_string(),
            ]);
        }
        Ok(Report::new(table.render()))
    }
}
