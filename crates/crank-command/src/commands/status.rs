//! `crankctl status`.

use crank_operator::Client;
use crank_protocol::member::{Member, State};
use crank_protocol::status::{MeshStatus, NodeReport, Verdict};
use gumdrop::Options;

use crate::table::Table;
use crate::words::{self, NO_VALUE};
use crate::{Error, Report};

pub(super) const ABOUT: &str = "\
Asks a node for the accepted version, the last refused folder and why, and every node's version,
place, readiness and backend server. Exits 0 if the node answered.";

const HEADING: [&str; 9] = [
    "NODE",
    "REGION",
    "DATA CENTRE",
    "STATE",
    "VERSION",
    "READY",
    "SERVICE",
    "SERVER",
    "IN FLIGHT",
];

#[derive(Debug, Options)]
pub(crate) struct Status {
    #[options(help = "print this help")]
    help: bool,
    #[options(required, help = "any node's operators' address", meta = "IP:PORT")]
    node: String,
    #[options(help = "print JSON", no_short)]
    json: bool,
}

impl Status {
    pub(super) async fn run(self) -> Result<Report, Error> {
        let mesh = Client::new(&self.node)?.status().await?;
        let text = if self.json {
            serde_json::to_string_pretty(&mesh)? + "\n"
        } else {
            format_status(&mesh)
        };
        Ok(Report::new(text))
    }
}

fn format_status(mesh: &MeshStatus) -> String {
    let head = match (&mesh.head, mesh.store_up) {
        (Some(head), _) => words::stamp(head),
        (None, true) => "none yet: push a folder".to_owned(),
        (None, false) => "not known: the store is down".to_owned(),
    };
    let highest = match mesh.highest {
        Some(version) => version.to_string(),
        None => NO_VALUE.to_owned(),
    };
    let mut text = format!(
        "account   {}\naccepted  {head}\nin force  {}\nhighest   {highest}\nstore     {}\n",
        mesh.account,
        in_force(mesh),
        if mesh.store_up { "up" } else { "down" },
    );
    text += &refused(mesh);
    text += &format!("asked     {} ({})\n\n", mesh.asked, mesh.took);
    let mut table = Table::new(&HEADING);
    for answer in &mesh.nodes {
        table.add(row(answer));
    }
    text + &table.render()
}

fn in_force(mesh: &MeshStatus) -> String {
    let Some(head) = &mesh.head else {
        return "not known: nor is the accepted version".to_owned();
    };
    let has_not_left = |answer: &&NodeReport| match answer {
        NodeReport::Node(_) => true,
        NodeReport::Silent(member) => member.state != State::Left,
    };
    let nodes: Vec<&NodeReport> = mesh.nodes.iter().filter(has_not_left).collect();
    let holds = |answer: &&&NodeReport| match answer {
        NodeReport::Node(node) => node.applied.as_ref() == Some(head),
        NodeReport::Silent(_) => false,
    };
    let holding = nodes.iter().filter(holds).count();
    let is_silent = |answer: &&&NodeReport| matches!(answer, NodeReport::Silent(_));
    let silent = nodes.iter().filter(is_silent).count();
    let (answer, all) = (words::yes_or_no(mesh.in_force), nodes.len());
    format!("{answer}: on {holding} of {all} nodes, {silent} silent")
}

fn refused(mesh: &MeshStatus) -> String {
    let Some(Verdict::Refused { faults, at }) = &mesh.refused else {
        let none = if mesh.store_up {
            "none since"
        } else {
            "not known: the store is down"
        };
        return format!("refused   {none}\n");
    };
    let mut text = format!("refused   at {}:\n", words::time(*at));
    for fault in faults {
        text += &format!("  {fault}\n");
    }
    text
}

fn row(answer: &NodeReport) -> Vec<String> {
    match answer {
        NodeReport::Silent(member) => {
            let mut row = place(member);
            row.extend(["silent".to_owned(), "silent".to_owned()]);
            row.extend(server(member));
            row.push(NO_VALUE.to_owned());
            row
        }
        NodeReport::Node(node) => {
            let version = node.applied.as_ref().map(|stamp| stamp.version.to_string());
            let mut row = place(&node.member);
            row.push(version.unwrap_or_else(|| NO_VALUE.to_owned()));
            row.push(words::yes_or_no(node.ready).to_owned());
            row.extend(server(&node.member));
            row.push(node.in_flight.to_string());
            row
        }
    }
}

fn place(member: &Member) -> Vec<String> {
    vec![
        member.id.to_string(),
        member.place.region.to_string(),
        member.place.data_centre.to_string(),
        words::state(member.state).to_owned(),
    ]
}

fn server(member: &Member) -> [String; 2] {
    match &member.endpoint {
        Some(endpoint) => [
            endpoint.service.to_string(),
            words::stage(endpoint.stage).to_owned(),
        ],
        None => [NO_VALUE.to_owned(), NO_VALUE.to_owned()],
    }
}
