//! Simulates operators' terminals, with the in-memory platform and a node that publishes on demand.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

use crank_command::run;
use crank_engine::Nonce;
use crank_engine::burn::{BurnCounter, BurnReport};
use crank_engine::folder::{File, merge};
use crank_engine::{Moment, config, publish};
use crank_operator::{Admin, listener};
use crank_platform_client::{Error, Memory, configs, folder, head, verdict};
use crank_protocol::config::{Config, Owner, Stamp};
use crank_protocol::member::{Endpoint, Member, Place, Stage, State};
use crank_protocol::status::{
    HistoryEntry, MeshStatus, NodeAccounts, NodeReport, NodeStatus, Verdict,
};
use crank_protocol::{Millis, Name};
use tempfile::TempDir;
use time::OffsetDateTime;
use tokio::net::TcpListener;

const SETTINGS: &str = "[account]\nname = sutkent\n[platform]\nobjects = http://127.0.0.1:1\n\
    table = http://127.0.0.1:1\nbucket = crank\ntable_name = crank\nregion = almaty\n";
const SHORT_DIGITS: usize = 12;

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// The state of the node beside one backend server.
#[derive(Clone)]
pub(crate) struct Desktop {
    pub(crate) platform: Memory,
    pub(crate) applied: Option<Stamp>,
    pub(crate) config: Option<Config>,
    pub(crate) stage: Stage,
    pub(crate) in_flight: u32,
    pub(crate) silent: bool,
    /// The client accounts at this node, and at another one.
    pub(crate) accounts: NodeAccounts,
    pub(crate) other: Option<(SocketAddr, NodeAccounts)>,
}

impl Desktop {
    pub(crate) fn new(platform: &Memory) -> Self {
        Self {
            platform: platform.clone(),
            applied: None,
            config: None,
            stage: Stage::Ready,
            in_flight: 2,
            silent: false,
            accounts: NodeAccounts {
                node: name("n1"),
                version: None,
                window: Millis(10_000),
                accounts: Vec::new(),
            },
            other: None,
        }
    }

    fn member(&self, id: &str, state: State) -> Member {
        let service = name("recipes");
        Member {
            id: name(id),
            place: Place {
                region: name("almaty"),
                data_centre: name("almaty-1"),
            },
            address: "127.0.0.1:7000".parse().unwrap(),
            incarnation: 1,
            link: 0,
            state,
            endpoint: Some(Endpoint {
                service,
                stage: self.stage,
                slots: 6,
                release: None,
            }),
        }
    }

    fn nodes(&self) -> Vec<NodeReport> {
        let node = NodeStatus {
            member: self.member("n1", State::Alive),
            applied: self.applied.clone(),
            ready: self.applied.is_some(),
            in_flight: self.in_flight,
            operators: None,
        };
        let mut nodes = vec![NodeReport::Node(node)];
        if let Some((operators, accounts)) = &self.other {
            nodes.push(NodeReport::Node(NodeStatus {
                member: self.member(accounts.node.as_str(), State::Alive),
                applied: self.applied.clone(),
                ready: true,
                in_flight: 0,
                operators: Some(*operators),
            }));
        }
        if self.silent {
            nodes.push(NodeReport::Silent(self.member("n2", State::Suspect)));
        }
        nodes
    }
}

impl Admin for Desktop {
    async fn status(&self) -> MeshStatus {
        let head = head::read(&self.platform, &name("sutkent")).await;
        let refused = verdict::read(&self.platform, &name("sutkent")).await;
        let refused = refused.ok().flatten().map(|noted| noted.verdict);
        let store_up = head.is_ok();
        let head = head.ok().flatten().map(|head| head.stamp);
        MeshStatus {
            account: name("sutkent"),
            asked: name("n1"),
            in_force: head == self.applied && !self.silent,
            highest: self.applied.as_ref().map(|stamp| stamp.version),
            head,
            store_up,
            refused: refused.filter(|verdict| matches!(verdict, Verdict::Refused { .. })),
            nodes: self.nodes(),
            took: Millis(1),
        }
    }

    async fn history(&self, limit: u32) -> Result<Vec<HistoryEntry>, Error> {
        head::history(&self.platform, &name("sutkent"), limit).await
    }

    fn account(&self) -> Option<Owner> {
        self.config.as_ref().map(|config| config.account.clone())
    }

    fn accounts(&self) -> NodeAccounts {
        self.accounts.clone()
    }

    fn burn(&self) -> BurnReport {
        BurnCounter::new(Moment(0)).report(name("n1"), None, Moment(0))
    }

    fn metrics(&self) -> String {
        String::new()
    }

    fn is_ready(&self) -> bool {
        self.applied.is_some()
    }
}

/// A session at several terminals, with a transcript.
pub(crate) struct Session {
    pub(crate) desktop: Desktop,
    home: TempDir,
    text: String,
    minutes: i64,
}

impl Session {
    pub(crate) fn new() -> Self {
        let home = TempDir::new().unwrap();
        std::fs::write(home.path().join("store.ini"), SETTINGS).unwrap();
        Self {
            desktop: Desktop::new(&Memory::new()),
            home,
            text: String::new(),
            minutes: 0,
        }
    }

    fn path(&self, name: &str) -> PathBuf {
        self.home.path().join(name)
    }

    pub(crate) fn note(&mut self, text: &str) {
        self.text += &format!("\n# {text}\n");
    }

    pub(crate) fn put(&mut self, file: &str, content: &str) {
        let path = self.path(file);
        std::fs::create_dir_all(path.parent().unwrap()).unwrap();
        std::fs::write(path, content).unwrap();
        self.text += &format!("$ cat > {file}\n{content}");
    }

    pub(crate) fn delete(&mut self, file: &str) {
        std::fs::remove_file(self.path(file)).unwrap();
        self.text += &format!("$ rm {file}\n");
    }

    /// Runs a command line in which `@` starts a path, and records its output.
    pub(crate) async fn crankctl(&mut self, line: &str) -> u8 {
        let shown = line.replace('@', "");
        let argument = |word: &str| match word.strip_prefix('@') {
            Some(path) => self.path(path).display().to_string(),
            None => word.to_owned(),
        };
        let arguments: Vec<String> = line.split(' ').map(argument).collect();
        let (mut out, mut err) = (Vec::new(), Vec::new());
        let platform = self.desktop.platform.clone();
        let exit = run(&arguments, |_| Ok(platform.clone()), &mut out, &mut err).await;
        self.text += &format!("$ crankctl {shown}\n");
        self.text += &String::from_utf8(out).unwrap();
        self.text += &String::from_utf8(err).unwrap();
        self.text += &format!("(exit {})\n", exit.code());
        exit.code()
    }

    /// Sends a query to the node.
    pub(crate) async fn ask(&mut self, question: &str) -> u8 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let serving = listener::serve(listener, self.desktop.clone(), std::future::pending());
        let serving = tokio::spawn(serving);
        let code = self.crankctl(&format!("{question} --node {address}")).await;
        serving.abort();
        self.text = self.text.replace(&address, "NODE");
        code
    }

    /// Makes the node read and publish the folder, or record why it is refused.
    pub(crate) async fn publish(&mut self) {
        self.minutes += 1;
        let at = OffsetDateTime::UNIX_EPOCH + time::Duration::minutes(self.minutes);
        let nonce = Nonce(u128::try_from(self.minutes).unwrap());
        let (platform, account) = (self.desktop.platform.clone(), name("sutkent"));
        let mut files = Vec::new();
        for listed in folder::list(&platform, &account).await.unwrap() {
            let object = folder::read(&platform, &account, &listed.name)
                .await
                .unwrap();
            files.push(File {
                name: listed.name,
                content: object.unwrap().content.to_vec(),
            });
        }
        self.text += "(the publisher reads the folder)\n";
        match merge(&files) {
            Ok(merged) => self.accept(merged.config, at, nonce).await,
            Err(faults) => {
                let before = verdict::read(&platform, &account).await.unwrap();
                let verdict = Verdict::Refused { faults, at };
                let noted = verdict::VerdictRecord { verdict, nonce };
                verdict::write(&platform, &account, before.as_ref(), &noted)
                    .await
                    .unwrap();
            }
        }
    }

    async fn accept(&mut self, config: Config, at: OffsetDateTime, nonce: Nonce) {
        let (platform, account) = (self.desktop.platform.clone(), name("sutkent"));
        let held = head::read(&platform, &account).await.unwrap();
        if let Some(step) = publish::head_update(held.as_ref(), &config::digest(&config), nonce) {
            let stamp = step.to.stamp.clone();
            configs::write(&platform, &account, &config).await.unwrap();
            let publisher = name("n1");
            let entry = HistoryEntry {
                stamp: stamp.clone(),
                at,
                publisher,
            };
            head::advance(&platform, &account, &step, &entry)
                .await
                .unwrap();
            self.desktop.applied = Some(stamp);
        }
        self.desktop.config = Some(config);
    }

    /// Returns the transcript, with relative paths, digests numbered in order of appearance, and only
    /// the sign of the time left.
    pub(crate) fn transcript(&self) -> String {
        let home = format!("{}/", self.home.path().display());
        let text = self.text.replace(&home, "");
        number_digests(&text)
            .lines()
            .map(without_time_left)
            .collect::<Vec<_>>()
            .join("\n")
    }
}

fn number_digests(text: &str) -> String {
    let mut numbers: BTreeMap<String, usize> = BTreeMap::new();
    let mut numbered = String::new();
    for word in text.split_inclusive([' ', '\n', ',', '"']) {
        let bare = word.trim_end_matches([' ', '\n', ',', '"']);
        let is_digest = matches!(bare.len(), SHORT_DIGITS | 64)
            && bare.bytes().all(|byte| byte.is_ascii_hexdigit());
        if !is_digest {
            numbered += word;
            continue;
        }
        let next = numbers.len() + 1;
        let number = *numbers
            .entry(bare[..SHORT_DIGITS].to_owned())
            .or_insert(next);
        numbered += &format!("DIGEST-{number}{}", &word[bare.len()..]);
    }
    numbered
}

fn without_time_left(line: &str) -> String {
    match line.split_once(" (") {
        Some((before, rest)) if rest.ends_with(" left)") => format!("{before} (TIME left)"),
        Some((before, rest)) if rest.ends_with(" ago)") => format!("{before} (TIME ago)"),
        _ => line.to_owned(),
    }
}
