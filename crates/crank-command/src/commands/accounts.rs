//! `crankctl accounts`.

use std::collections::{BTreeMap, BTreeSet};

use crank_operator::Client;
use crank_protocol::config::RateLimit;
use crank_protocol::status::{AccountStatus, MeshStatus, NodeAccounts, NodeReport, RecentRequests};
use crank_protocol::{Millis, Name};
use gumdrop::Options;
use serde::Serialize;
use tokio::task::JoinSet;

use crate::table::Table;
use crate::words::NO_VALUE;
use crate::{Error, Report};

pub(super) const ABOUT: &str = "\
Asks a node, and every node that it tells of, for the client accounts: the rate limit in force, the
requests admitted and refused a second over all of them, the node that divides the limit, and how
many keys are valid or were taken back while the nodes ran. Keys are never shown. Exits 0 only if
every node answered.";

const HEADING: [&str; 8] = [
    "ACCOUNT",
    "LIMIT/S",
    "BURST",
    "ADMITTED/S",
    "REFUSED/S",
    "HOME",
    "KEYS",
    "TAKEN BACK",
];
const MILLIS_PER_SECOND: f64 = 1_000.0;

#[derive(Debug, Options)]
pub(crate) struct Accounts {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "any node's operators' address", meta = "IP:PORT")]
    node: String,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

impl Accounts {
    pub(super) async fn run(self) -> Result<Report, Error> {
        let client = Client::new(&self.node)?;
        let (asked, mesh) = (client.accounts().await?, client.status().await?);
        let fleet = Fleet::ask(asked, &mesh).await;
        let text = if self.json {
            serde_json::to_string_pretty(&fleet)? + "\n"
        } else {
            format_accounts(&fleet)
        };
        Ok(Report::new(text).with_answer(fleet.silent.is_empty()))
    }
}

/// The answers of all nodes.
#[derive(Debug, Serialize)]
struct Fleet {
    nodes: Vec<NodeAccounts>,
    /// The nodes that did not answer, or that have no operators' address.
    silent: BTreeSet<Name>,
}

impl Fleet {
    async fn ask(asked: NodeAccounts, mesh: &MeshStatus) -> Self {
        let mut fleet = Self {
            silent: BTreeSet::new(),
            nodes: Vec::new(),
        };
        let mut queries = JoinSet::new();
        for report in &mesh.nodes {
            let (member, operators) = match report {
                NodeReport::Node(node) => (&node.member, node.operators),
                NodeReport::Silent(member) => (member, None),
            };
            if member.id == asked.node {
                continue;
            }
            fleet.silent.insert(member.id.clone());
            if let Some(address) = operators {
                queries.spawn(async move {
                    let client = Client::new(&address.to_string())?;
                    client.accounts().await
                });
            }
        }
        fleet.nodes.push(asked);
        while let Some(answer) = queries.join_next().await {
            if let Ok(Ok(accounts)) = answer {
                fleet.silent.remove(&accounts.node);
                fleet.nodes.push(accounts);
            }
        }
        fleet.nodes.sort_by(|a, b| a.node.cmp(&b.node));
        fleet
    }
}

/// One account over all nodes that answered.
#[derive(Debug, Default)]
struct Total {
    keys: u32,
    keys_taken_back: u32,
    limit: Option<RateLimit>,
    homes: BTreeSet<Name>,
    recent: Option<RecentRequests>,
}

impl Total {
    /// Adds what one node says; what is in force is what a node with the newest version says.
    fn add(&mut self, status: &AccountStatus, is_newest: bool) {
        if is_newest {
            self.keys = status.keys;
            self.limit = status.limit;
        }
        self.keys_taken_back = self.keys_taken_back.max(status.keys_taken_back);
        self.homes.extend(status.home.clone());
        if let Some(recent) = status.recent {
            let sum = self.recent.get_or_insert_default();
            sum.admitted += recent.admitted;
            sum.over_rate += recent.over_rate;
        }
    }

    fn row(&self, account: &Name, window: Millis) -> Vec<String> {
        let or_none = |value: Option<String>| value.unwrap_or_else(|| NO_VALUE.to_owned());
        let seconds = window.0 as f64 / MILLIS_PER_SECOND;
        let rate = |requests: u64| format!("{:.1}", requests as f64 / seconds);
        let homes: Vec<&str> = self.homes.iter().map(Name::as_str).collect();
        vec![
            account.to_string(),
            or_none(self.limit.map(|limit| limit.per_second.to_string())),
            or_none(self.limit.map(|limit| limit.burst.to_string())),
            or_none(self.recent.map(|recent| rate(recent.admitted))),
            or_none(self.recent.map(|recent| rate(recent.over_rate))),
            or_none((!homes.is_empty()).then(|| homes.join(","))),
            self.keys.to_string(),
            self.keys_taken_back.to_string(),
        ]
    }
}

fn format_accounts(fleet: &Fleet) -> String {
    let newest = fleet.nodes.iter().filter_map(|node| node.version).max();
    let Some(newest) = newest else {
        return "no configuration is in force on the nodes that answered\n".to_owned();
    };
    let is_newest = |node: &&NodeAccounts| node.version == Some(newest);
    let behind = fleet.nodes.iter().filter(|node| !is_newest(node));
    let behind = behind.map(|node| match node.version {
        Some(version) => format!("{} (version {version})", node.node),
        None => format!("{} (none)", node.node),
    });
    let mut text = format!(
        "version   {newest}, on {} of {} nodes\n",
        fleet.nodes.iter().filter(is_newest).count(),
        fleet.nodes.len() + fleet.silent.len(),
    );
    text += &line("behind", behind.collect());
    text += &line("silent", fleet.silent.iter().map(Name::to_string).collect());
    let mut totals: BTreeMap<&Name, Total> = BTreeMap::new();
    for node in &fleet.nodes {
        for status in &node.accounts {
            let total = totals.entry(&status.account).or_default();
            total.add(status, is_newest(&node));
        }
    }
    let window = fleet.nodes.iter().map(|node| node.window).max();
    let mut table = Table::new(&HEADING);
    for (account, total) in totals {
        table.add(total.row(account, window.unwrap_or_default()));
    }
    text + "\n" + &table.render()
}

fn line(label: &str, names: Vec<String>) -> String {
    if names.is_empty() {
        return String::new();
    }
    format!("{label:9} {}\n", names.join(", "))
}
