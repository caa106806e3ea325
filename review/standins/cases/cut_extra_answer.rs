//! A faulty server sends a second copy of an answer, late and cut short, before its next answer.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use super::{Folder, HOST, config};
use crate::client::Client;
use crate::http::Message;
use crate::server::Server;
use crate::store::Store;
use crate::world::{Node, Record, Settings};
use crate::{ATTEMPT_ID, SIGNATURE, Verdict};

const DEADLINE: Duration = Duration::from_millis(2_000);
const CLIENTS: usize = 40;
const WORK: Duration = Duration::from_millis(8);
const SERVERS: usize = 5;
/// How many of the servers spoil answers: a share of 0.6.
const FAULTY_SERVERS: usize = 3;
/// The share of a faulty server's answers after which a second copy is sent, in thousandths.
const GARBLED_SHARE: u64 = 25;
/// The share of its orders that each server answers with a failure of its own, in thousandths: an
/// ordinary one, such as a hall that is already booked.
const FAILED_SHARE: u64 = 100;
const CALM: Duration = Duration::from_secs(4);
const FAULTY: Duration = Duration::from_secs(5);

/// A small generator of pseudo-random numbers.
struct Random(u64);

impl Random {
    fn new(seed: u64) -> Self {
        Self(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1)
    }

    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0.wrapping_mul(0x2545_f491_4f6c_dd1d) >> 11
    }

    fn below(&mut self, limit: u64) -> u64 {
        self.next() % limit
    }
}

/// What the stand-ins have seen.
#[derive(Default)]
struct Ledger {
    /// The status that a server gave for each id.
    given: Mutex<HashMap<String, u16>>,
    answers: Mutex<Vec<(String, u16, Option<String>)>>,
    answered: AtomicU32,
    garbled: AtomicU32,
}

/// Whether the server is faulty now, and its choices.
struct Fault {
    is_on: AtomicBool,
    random: Mutex<Random>,
}

thread_local! {
    /// The part of a second copy that waits on the connection that this thread serves.
    static LATE: RefCell<Vec<u8>> = const { RefCell::new(Vec::new()) };
}

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    store.put_config(&config(7, "huvo11a", DEADLINE.as_millis() as u64));
    let ledger = Arc::new(Ledger::default());
    let seed = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .map_or(1, |t| t.as_millis() as u64);
    record.line(&format!("seed {seed}"));
    let fault = Arc::new(Fault {
        is_on: AtomicBool::new(false),
        random: Mutex::new(Random::new(seed)),
    });
    let mut nodes = Vec::new();
    for number in 0..SERVERS {
        let (ledger, fault, is_faulty) = (ledger.clone(), fault.clone(), number < FAULTY_SERVERS);
        let server = Server::start(
            &format!("i-7f3a91c{number}"),
            "huvo11a",
            record,
            move |server, request, stream| {
                serve(server, request, stream, &ledger, &fault, is_faulty)
            },
        );
        let name = format!("sidecar-ba-feira-{number}");
        let settings = Settings::new(&name, "ba-feira", "huvo11a", server.address, store.address);
        server.beat(settings.control);
        nodes.push(Node::start(settings, &folder.path(), record));
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return Verdict::CouldNotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let last_id = Arc::new(AtomicU64::new(0x1000));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let callers = nodes[number % nodes.len()].settings.callers;
            let (ledger, is_over, last_id) = (ledger.clone(), is_over.clone(), last_id.clone());
            std::thread::spawn(move || order(callers, &ledger, &is_over, &last_id))
        })
        .collect();
    std::thread::sleep(CALM);
    fault.is_on.store(has_trouble, Ordering::SeqCst);
    record.line(&format!("the servers are faulty: {has_trouble}"));
    std::thread::sleep(FAULTY);
    fault.is_on.store(false, Ordering::SeqCst);
    record.line("the servers are sound again");
    std::thread::sleep(Duration::from_secs(1));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    judge(&ledger, record)
}

fn serve(
    server: &Server,
    request: &Message,
    stream: &mut TcpStream,
    ledger: &Ledger,
    fault: &Fault,
    is_faulty: bool,
) -> bool {
    std::thread::sleep(WORK);
    let id = request.header(ATTEMPT_ID).unwrap_or_default().to_owned();
    let (fails, garbles, cut) = {
        let mut random = fault.random.lock().expect("random");
        (
            random.below(1_000) < FAILED_SHARE,
            random.below(1_000) < GARBLED_SHARE,
            random.next() as usize,
        )
    };
    let garbles = garbles && is_faulty && fault.is_on.load(Ordering::SeqCst);
    let status = if fails { 500 } else { 200 };
    let answer = answer(server, &id, status);
    ledger
        .given
        .lock()
        .expect("given")
        .insert(id.clone(), status);
    // The extra answer arrives late, where the next answer is expected.
    let mut bytes = LATE.take();
    if !bytes.is_empty() {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        server.record.line(&format!(
            "server {}: before the answer to {id} comes {text:?}",
            server.id
        ));
    }
    bytes.extend_from_slice(&answer);
    if fault.is_on.load(Ordering::SeqCst) && is_faulty {
        ledger.answered.fetch_add(1, Ordering::SeqCst);
    }
    if garbles {
        ledger.garbled.fetch_add(1, Ordering::SeqCst);
        LATE.set(answer[..1 + cut % (answer.len() - 1)].to_vec());
    }
    stream.write_all(&bytes).is_ok()
}

/// A signed answer as many servers write it, with the date and its own name first.
fn answer(server: &Server, id: &str, status: u16) -> Vec<u8> {
    let reason = if status == 200 {
        "OK"
    } else {
        "Internal Server Error"
    };
    let body = if status == 200 { "booked" } else { "failed" };
    let head = format!(
        "HTTP/1.1 {status} {reason}\r\nDate: Sat, 05 Dec 2026 12:00:00 GMT\r\nServer: panel-hall/2.4\r\n{ATTEMPT_ID}: {id}\r\n\
         {SIGNATURE}: {}.{id}.{status}\r\nContent-Length: {}\r\n\r\n{body}",
        server.id,
        body.len()
    );
    head.into_bytes()
}

/// Sends orders, each with an id of its own and none repeated.
fn order(callers: SocketAddr, ledger: &Ledger, is_over: &AtomicBool, last_id: &AtomicU64) {
    let mut kept: Option<Client> = None;
    while !is_over.load(Ordering::SeqCst) {
        let Some(client) = kept.as_mut() else {
            kept = Client::connect(callers, HOST).ok();
            continue;
        };
        let id = format!("{:016x}", last_id.fetch_add(1, Ordering::SeqCst));
        let sent = client.send("POST", "/xapu221/2f", &id, DEADLINE, b"one panel");
        match sent.and_then(|()| client.read()) {
            Ok(Some(answer)) => {
                let signature = answer.header(SIGNATURE).map(str::to_owned);
                ledger
                    .answers
                    .lock()
                    .expect("answers")
                    .push((id, answer.status(), signature));
            }
            _ => kept = None,
        }
    }
}

/// MIXED: a success where the server had answered with a failure, or a server's signature with
/// another status than the server gave.
fn judge(ledger: &Ledger, record: &Record) -> Verdict {
    let given = ledger.given.lock().expect("given");
    let answers = ledger.answers.lock().expect("answers");
    let mut counts = HashMap::<u16, u32>::new();
    let mut mixed = 0;
    for (id, status, signature) in answers.iter() {
        *counts.entry(*status).or_default() += 1;
        let ran = given.get(id);
        record.line(&format!(
            "order {id}: the client got {status}, a server ran it and gave {ran:?}"
        ));
        let Some(signature) = signature else {
            continue;
        };
        if given.get(id) != Some(status) {
            mixed += 1;
            record.line(&format!(
                "MIXED: {id} got {status}, signature {signature}; the server gave {:?}",
                given.get(id)
            ));
        }
    }
    record.line(&format!(
        "orders {}, answers by status {counts:?}; the faulty servers gave {} answers, {} of them with a second copy",
        answers.len(),
        ledger.answered.load(Ordering::SeqCst),
        ledger.garbled.load(Ordering::SeqCst),
    ));
    record.line(&format!("{mixed} answers were mixed"));
    if mixed > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
