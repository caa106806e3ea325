//! A planned stop while clients behind a narrow link are still reading their answers.

use std::time::{Duration, Instant};

use super::{Folder, HOST, config};
use crate::Verdict;
use crate::client::{Answer, Client};
use crate::server::Server;
use crate::store::Store;
use crate::world::{GRACE, IN_TOUCH_AFTER, Node, Record, Settings};

/// The route's timeout and the clients' deadline.
const DEADLINE: Duration = Duration::from_millis(8_000);
/// One small deployment is played for each size of an answer, because kernels differ in how much
/// of an answer they hold for a client that reads slowly.
const ANSWER_BYTES: [usize; 5] = [1_600_000, 1_900_000, 2_200_000, 2_500_000, 2_750_000];
/// A client behind a link of 4 Mbit/s; the narrowest link of the pages has 7 Mbit/s.
const BYTES_PER_SECOND: u64 = 500_000;
const WINDOW_BYTES: i32 = 16_384;
const STOP_AFTER: Duration = Duration::from_millis(100);

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let deployments: Vec<_> = ANSWER_BYTES
        .into_iter()
        .enumerate()
        .map(|(number, bytes)| {
            let (record, folder) = (record.clone(), folder.path());
            std::thread::spawn(move || play(number, bytes, has_trouble, &folder, &record))
        })
        .collect();
    let verdicts: Vec<_> = deployments
        .into_iter()
        .map(|thread| thread.join().ok().flatten())
        .collect();
    if verdicts.contains(&None) {
        return Verdict::CouldNotRun;
    }
    let cut = verdicts
        .iter()
        .filter(|is_lost| **is_lost == Some(true))
        .count();
    record.line(&format!("{cut} of {} answers were cut", verdicts.len()));
    if cut > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Plays one node with its server and one client; returns whether the answer was cut.
fn play(
    number: usize,
    bytes: usize,
    has_trouble: bool,
    folder: &str,
    record: &Record,
) -> Option<bool> {
    let store = Store::start();
    store.put_config(&config(7, "huvo11a", DEADLINE.as_millis() as u64));
    let id = format!("i-7f3a91c{number}");
    let server = Server::start(&id, "huvo11a", record, move |server, request, stream| {
        server.record_run(request);
        let length = if request.target().ends_with("/long") {
            bytes
        } else {
            600
        };
        let is_kept = server.answer(request, "200 OK", &vec![b'p'; length], stream);
        server
            .record
            .line(&format!("server {} has written {length} bytes", server.id));
        is_kept
    });
    let name = format!("sidecar-ba-feira-{number}");
    let settings = Settings::new(&name, "ba-feira", "huvo11a", server.address, store.address);
    server.beat(settings.control);
    let mut node = Node::start(settings, folder, record);
    if !node.wait_until_ready() {
        return None;
    }
    std::thread::sleep(IN_TOUCH_AFTER);
    let client = warm_client(node.settings.callers, number)?;
    let reader = record.clone();
    let sent_at = Instant::now();
    let reading = std::thread::spawn(move || read_long(client, number, &reader));
    std::thread::sleep(STOP_AFTER);
    let stopped_at = Instant::now();
    if has_trouble {
        node.signal("TERM");
        node.wait_for_end(stopped_at);
    }
    let (answer, took) = reading.join().ok()?;
    Some(is_lost(&answer, took, stopped_at, sent_at))
}

/// Connects, and sends one request so that the connection is a kept one.
fn warm_client(callers: std::net::SocketAddr, number: usize) -> Option<Client> {
    let end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < end {
        let mut client = Client::connect_narrow(callers, HOST, WINDOW_BYTES).ok()?;
        let id = format!("{:016x}", 0x1000 + number);
        client.send("GET", "/lepu270/2f", &id, DEADLINE, b"").ok()?;
        if client.read().ok()??.status() == 200 {
            return Some(client);
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    None
}

fn read_long(mut client: Client, number: usize, record: &Record) -> (Answer, Duration) {
    let id = format!("{:016x}", 0x2000 + number);
    let started = Instant::now();
    record.line(&format!("client {number} sends {id}"));
    let answer = match client.send("GET", "/lepu270/long", &id, DEADLINE, b"") {
        Ok(()) => client.read_slowly(BYTES_PER_SECOND),
        Err(error) => Answer::None {
            reason: error.to_string(),
        },
    };
    let took = started.elapsed();
    record.line(&format!(
        "client {number} after {:.3} s: {answer:?}",
        took.as_secs_f64()
    ));
    (answer, took)
}

/// LOST: the whole request was passed on, and the connection ended without a complete answer before
/// the deadline, until 1 s after the grace.
fn is_lost(answer: &Answer, took: Duration, stopped_at: Instant, sent_at: Instant) -> bool {
    let is_whole = matches!(answer, Answer::Whole { .. });
    let ended_at = sent_at + took;
    !is_whole && took < DEADLINE && ended_at < stopped_at + GRACE + Duration::from_secs(1)
}
