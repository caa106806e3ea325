//! The node beside a server ends, by a planned stop or by a kill, while answers wait for their turn
//! on its narrow link.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::{Folder, HOST};
use crate::Verdict;
use crate::client::{Answer, Client};
use crate::server::Server;
use crate::store::Store;
use crate::world::{IN_TOUCH_AFTER, Node, Record, Settings};

/// The longest deadline of the sheets, which is the route's timeout too.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// The narrowest link of the site.
const LINK_MBITS: &str = "7.0";
const ANSWER_BYTES: usize = 200_000;
const SMALL_ANSWER_BYTES: usize = 600;
const WORK: Duration = Duration::from_millis(20);
const CLIENTS: usize = 13;
/// No rate: the clients read as fast as they can.
const UNLIMITED: u64 = 1_000_000_000;
/// LOST: "more than three times".
const MAX_CUT: usize = 3;

/// How the node beside the server ends.
#[derive(Clone, Copy)]
pub enum Trouble {
    Stop,
    Kill,
}

impl Trouble {
    fn signal(self) -> &'static str {
        match self {
            Self::Stop => "TERM",
            Self::Kill => "KILL",
        }
    }

    /// How long after the requests it comes.
    fn delay(self) -> Duration {
        match self {
            Self::Stop => Duration::from_millis(200),
            Self::Kill => Duration::from_millis(1_500),
        }
    }
}

pub fn run(trouble: Trouble, has_trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    store.put_config(&config());
    let serve =
        |server: &Server, request: &crate::http::Message, stream: &mut std::net::TcpStream| {
            server.record_run(request);
            std::thread::sleep(WORK);
            let is_large = request.target().starts_with("/soci114/");
            let length = if is_large {
                ANSWER_BYTES
            } else {
                SMALL_ANSWER_BYTES
            };
            server.answer(request, "200 OK", &vec![b'p'; length], stream)
        };
    let mut nodes = Vec::new();
    let mut servers = Vec::new();
    for (number, service) in ["huvo11a", "kafi81c"].into_iter().enumerate() {
        let server = Server::start(&format!("i-7f3a91c{number}"), service, record, serve);
        let name = format!("sidecar-ba-feira-{number}");
        let mut settings = Settings::new(&name, "ba-feira", service, server.address, store.address);
        settings.link_mbits = LINK_MBITS;
        server.beat(settings.control);
        nodes.push(Node::start(settings, &folder.path(), record));
        servers.push(server);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return Verdict::CouldNotRun;
    }
    std::thread::sleep(IN_TOUCH_AFTER);
    let callers = nodes[1].settings.callers;
    let clients: Vec<_> = (0..CLIENTS)
        .filter_map(|number| warm_client(callers, number))
        .collect();
    if clients.len() != CLIENTS {
        return Verdict::CouldNotRun;
    }
    let reading: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(number, client)| {
            let record = record.clone();
            std::thread::spawn(move || read_large(client, number, &record))
        })
        .collect();
    std::thread::sleep(trouble.delay());
    if has_trouble {
        let stopped_at = Instant::now();
        nodes[0].signal(trouble.signal());
        nodes[0].wait_for_end(stopped_at);
    }
    let answers: Vec<_> = reading
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect();
    let runs = servers[0].runs.lock().expect("runs");
    judge(&answers, &runs, record)
}

/// A service with a route whose answers are small and one whose answers are large, and another
/// service.
fn config() -> String {
    let cluster = |name: &str| {
        format!(
            "{{\"name\":\"{name}\",\"health_check_path\":\"/health\",\"connection_limit\":130,\
             \"protocol\":\"h1\",\"tls\":false}}"
        )
    };
    let rule = |name: &str, prefix: &str| {
        format!(
            "{{\"name\":\"{name}\",\"kind\":\"safe\",\"target_latency_ms\":1000,\"priority\":1,\
             \"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"huvo11a\",\
             \"timeout_ms\":{},\"max_attempts\":2}}}}",
            DEADLINE.as_millis()
        )
    };
    format!(
        "{{\"version\":\"00000007\",\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"base_version\":\"00000000\",\"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{},{}]}}],\
         \"clusters\":[{},{}]}}",
        rule("r-prices", "/lepu270/"),
        rule("r-reports", "/soci114/"),
        cluster("huvo11a"),
        cluster("kafi81c")
    )
}

/// Connects to the node that is never disturbed, and sends one request, so that the connection is a
/// kept one.
fn warm_client(callers: SocketAddr, number: usize) -> Option<Client> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        let mut client = Client::connect(callers, HOST).ok()?;
        let id = format!("{:016x}", 0x1000 + number);
        client.send("GET", "/lepu270/2f", &id, DEADLINE, b"").ok()?;
        if client.read().ok()??.status() == 200 {
            return Some(client);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}

/// Returns the id, the answer and how long it took.
fn read_large(mut client: Client, number: usize, record: &Record) -> (String, Answer, Duration) {
    let id = format!("{:016x}", 0x2000 + number);
    record.line(&format!("client {number} sends {id}"));
    let sent_at = Instant::now();
    let answer = match client.send("GET", "/soci114/2f", &id, DEADLINE, b"") {
        Ok(()) => client.read_slowly(UNLIMITED),
        Err(error) => Answer::None {
            reason: error.to_string(),
        },
    };
    let took = sent_at.elapsed();
    record.line(&format!(
        "client {number} after {:.3} s: {answer:?}",
        took.as_secs_f64()
    ));
    (id, answer, took)
}

/// LOST: a machine in touch passes a request from a kept connection on to a sound server and closes
/// that connection without an answer, more than three times.
fn judge(answers: &[(String, Answer, Duration)], runs: &[String], record: &Record) -> Verdict {
    let cut = answers.iter().filter(|(id, answer, took)| {
        !matches!(answer, Answer::Whole { .. }) && *took < DEADLINE && runs.contains(id)
    });
    let cut = cut.count();
    record.line(&format!(
        "{cut} of {} requests had run and were cut",
        answers.len()
    ));
    if cut > MAX_CUT {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
