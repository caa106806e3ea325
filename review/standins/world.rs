//! The world of a case: the record, the settings, and the nodes as separate processes.

use std::fs::File;
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::READINESS_PATH;
use crate::http::{read_message, write_message};

/// What the platform grants between SIGTERM and SIGKILL in a small deployment.
pub const GRACE: Duration = Duration::from_secs(6);
/// How long a node must have run undisturbed to be in touch (`touch_ms` is 3,000), and more.
pub const IN_TOUCH_AFTER: Duration = Duration::from_millis(3_500);
const START_LIMIT: Duration = Duration::from_secs(20);

/// Writes one line for each event, with the time since the start.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    pub fn new(path: &str) -> Self {
        Self {
            file: Arc::new(Mutex::new(File::create(path).expect("the record"))),
            started: Instant::now(),
        }
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("record");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}

/// Returns a loopback IP address of its own for each node of each case, so that no outgoing
/// connection can take one of the node's ports before it starts.
fn own_ip() -> Ipv4Addr {
    static STARTED: AtomicU8 = AtomicU8::new(1);
    let number = STARTED.fetch_add(1, Ordering::SeqCst);
    let [_, _, high, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), low, number)
}

/// The addresses and names of a node.
#[derive(Clone)]
pub struct Settings {
    pub name: String,
    pub zone: String,
    pub service: String,
    pub server: SocketAddr,
    pub store: SocketAddr,
    pub callers: SocketAddr,
    pub control: SocketAddr,
    pub ready: SocketAddr,
    pub mesh: SocketAddr,
    pub metrics: SocketAddr,
    /// The width of the machine's link in Mbit/s.
    pub link_mbits: &'static str,
}

impl Settings {
    pub fn new(
        name: &str,
        zone: &str,
        service: &str,
        server: SocketAddr,
        store: SocketAddr,
    ) -> Self {
        let ip = own_ip();
        let address = |port: u16| SocketAddr::from((ip, port));
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            service: service.to_owned(),
            server,
            store,
            callers: address(8304),
            control: address(8306),
            ready: address(8302),
            mesh: address(7620),
            metrics: address(7621),
            link_mbits: "1000.0",
        }
    }

    /// Fills in the template of the deploy file.
    fn text(&self) -> String {
        let template = std::fs::read_to_string("deploy/node.ini").expect("deploy/node.ini");
        let values = [
            ("node_name", self.name.clone()),
            ("region", "bahia".to_owned()),
            ("zone", self.zone.clone()),
            ("limits.link_mbps", self.link_mbits.to_owned()),
            ("listen_addresses.outbound", self.callers.to_string()),
            ("listen_addresses.control_plane", self.control.to_string()),
            ("listen_addresses.ready", self.ready.to_string()),
            ("ip_address", self.mesh.ip().to_string()),
            ("internal_port_range.0", self.mesh.port().to_string()),
            ("internal_port_range.1", self.metrics.port().to_string()),
            ("platform.address", self.store.to_string()),
            ("service", self.service.clone()),
            ("application_address", self.server.to_string()),
            ("heartbeat_interval_ms", "870".to_owned()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.retry_budget_slack", "62".to_owned()),
            ("bounds.grace_period_s", GRACE.as_secs().to_string()),
        ];
        values.iter().fold(template, |text, (name, value)| {
            text.replace(&format!("{{{{{name}}}}}"), value)
        })
    }
}

/// A node as a process, which is killed when this value is dropped.
pub struct Node {
    pub settings: Settings,
    child: Child,
    file: PathBuf,
    record: Record,
}

impl Node {
    /// Starts the program of the deploy file.
    pub fn start(settings: Settings, folder: &str, record: &Record) -> Self {
        let file = PathBuf::from(folder).join(format!("{}.conf", settings.name));
        std::fs::write(&file, settings.text()).expect("the settings file");
        let child = spawn(&file, folder, &settings.name);
        record.line(&format!(
            "node {} started, process {}",
            settings.name,
            child.id()
        ));
        Self {
            settings,
            child,
            file,
            record: record.clone(),
        }
    }

    /// Starts the node again after its process has ended.
    pub fn start_again(&mut self) {
        let folder = self.file.parent().expect("a folder").display().to_string();
        self.child = spawn(&self.file, &folder, &self.settings.name);
        let id = self.child.id();
        self.record.line(&format!(
            "node {} started again, process {id}",
            self.settings.name
        ));
    }

    pub fn signal(&self, signal: &str) {
        self.record
            .line(&format!("SIG{signal} to node {}", self.settings.name));
        let id = self.child.id().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &id])
            .status();
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }

    /// Waits for the end of the process after SIGTERM, as the platform does, then kills it.
    pub fn wait_for_end(&mut self, since: Instant) {
        while since.elapsed() < GRACE {
            if self.has_ended() {
                let after = since.elapsed().as_secs_f64();
                let name = &self.settings.name;
                self.record
                    .line(&format!("node {name} ended {after:.3} s after the signal"));
                return;
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        self.record.line(&format!(
            "node {} killed at the end of its grace",
            self.settings.name
        ));
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the node answers that it is ready.
    pub fn wait_until_ready(&self) -> bool {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if is_ready(self.settings.ready) {
                self.record
                    .line(&format!("node {} is ready", self.settings.name));
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs the command of the deploy file with another path of the settings file.
fn spawn(settings: &PathBuf, folder: &str, name: &str) -> Child {
    let deploy = std::fs::read_to_string("deploy/system.toml").expect("deploy/system.toml");
    let run = deploy.lines().find_map(|line| line.strip_prefix("run = "));
    let run = run.expect("a command").trim().trim_matches('"').to_owned();
    let mut words = run.split(' ');
    let mut command = Command::new(words.next().expect("a program"));
    for word in words {
        if word.starts_with('/') {
            command.arg(settings);
        } else {
            command.arg(word);
        }
    }
    let path = format!("{folder}/{name}.log");
    let log = File::options()
        .create(true)
        .append(true)
        .open(path)
        .expect("a log");
    let errors = log.try_clone().expect("a log");
    command.stdout(log).stderr(errors).stdin(Stdio::null());
    command.spawn().expect("the program of the deploy file")
}

fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(address) else {
        return false;
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
    let line = format!("GET {READINESS_PATH} HTTP/1.1");
    if write_message(&mut stream, &line, &[("Host", "node")], b"").is_err() {
        return false;
    }
    let answer = read_message(&mut BufReader::new(stream));
    matches!(answer, Ok(Some(answer)) if answer.status() == 200)
}
