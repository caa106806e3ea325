//! Safe requests are sent ahead; a server breaks off a few of its large answers.
//!
//! Counted are requests to sound servers that were sent behind such an answer on their connection,
//! ran, and got no answer.

#[path = "world.rs"]
mod world;

use std::collections::HashSet;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use world::*;

/// More than three times breaks the rule.
const ALLOWED: usize = 3;
/// One answer in fifty is broken off: `garble` breaks off `x` (.02) of a server's answers.
const BROKEN_OFF_EVERY: u64 = 50;
const LARGE_BYTES: usize = 300_000;
const BATCHES: usize = 400;
const ROUTES: [(&str, &str, &str, &str); 2] = [
    ("r-large", "safe", "/lepu270/", "huvo11a"),
    ("r-small", "safe", "/kafi81/", "kafi81c"),
];
const MACHINES: [(&str, &str, &str); 3] = [
    ("ba-feira", "bahia", "huvo11a"),
    ("pe-recife", "pernambuco", "kafi81c"),
    ("ma-imperatriz", "maranhao", "kafi81c"),
];

/// The server of the large answers: sound, but for one answer in fifty if there is trouble.
fn answer_large(
    server: &Server,
    request: &Message,
    writer: &mut TcpStream,
    breaks_off: bool,
) -> std::io::Result<bool> {
    use std::io::Write;
    let body = vec![b'x'; LARGE_BYTES];
    if !breaks_off {
        return server.answer(request, writer, &body);
    }
    let attempt = request.header(name("attempt")).unwrap_or("").to_owned();
    let headers = [
        (name("attempt"), attempt.as_str()),
        (name("signature"), SIGNATURE),
    ];
    let whole = response(200, &headers, &body);
    writer.write_all(&whole[..whole.len() * 9 / 10])?;
    server
        .record
        .line(&format!("broken off by its server: {attempt}"));
    Ok(false)
}

fn main() {
    let case = Case::from_arguments();
    let store = Store::start(&case.ip(250)).unwrap();
    store.put("op", "config", config(7, 16_384, &ROUTES, "").as_bytes());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let large_answers = Arc::new(AtomicU64::new(0));
    let mut machines = Vec::new();
    for (number, (zone, region, service)) in MACHINES.into_iter().enumerate() {
        let place = Place {
            ip: case.ip(1 + number),
            name: format!("sidecar-{zone}-1"),
            zone: zone.into(),
            region: region.into(),
            service: service.into(),
        };
        let (large_answers, has_trouble) = (large_answers.clone(), case.has_trouble);
        let behaviour = move |server: &Server, request: &Message, writer: &mut TcpStream| {
            if server.service != "huvo11a" {
                return server.answer(request, writer, b"spoons");
            }
            let count = 1 + large_answers.fetch_add(1, Ordering::SeqCst);
            answer_large(
                server,
                request,
                writer,
                has_trouble && count % BROKEN_OFF_EVERY == 0,
            )
        };
        let id = format!("i-{number:08x}");
        let server = Server::start(
            &place.ip,
            &id,
            service,
            zone,
            9,
            &case.record,
            &runs,
            Arc::new(behaviour),
        )
        .unwrap();
        let mut machine = Machine::new(
            &case.root,
            &case.temporary,
            place,
            &LENHAVIVA,
            store.address,
        );
        machine.start();
        server.keep_checking_in(machine.address(8306), Duration::from_millis(870));
        machines.push(machine);
    }
    let callers = machines[1].address(8304);
    let is_served = |path: &str| {
        let request = client_request(path, 1_500, "");
        call(callers, &request.bytes, Duration::from_secs(2))
            .is_ok_and(|answer| answer.status() == 200)
    };
    let is_up = wait_until(Duration::from_secs(30), || {
        machines.iter().all(Machine::is_ready)
            && is_served("/lepu270/2f")
            && is_served("/kafi81/2f")
    });
    if !is_up {
        case.end(NOT_RUN, "the machines did not become ready");
    }
    thread::sleep(Duration::from_secs(6));

    let mut unanswered = Vec::new();
    let mut answered = 0;
    for _ in 0..BATCHES {
        let Ok(mut connection) = Kept::open(callers) else {
            continue;
        };
        let first = client_request("/kafi81/first", 1_500, "");
        if connection.send(&first.bytes).is_err() || connection.receive().is_err() {
            continue;
        }
        let paths = ["/lepu270/2f", "/kafi81/a", "/kafi81/b", "/kafi81/c"];
        let batch: Vec<_> = paths
            .iter()
            .map(|path| client_request(path, 1_500, ""))
            .collect();
        let bytes: Vec<u8> = batch
            .iter()
            .flat_map(|request| request.bytes.clone())
            .collect();
        if connection.send(&bytes).is_err() {
            continue;
        }
        for request in batch {
            let ClientRequest { attempt, path, .. } = &request;
            match connection.receive() {
                Ok(answer) => {
                    answered += 1;
                    case.record
                        .line(&format!("answer {attempt} {path}: {}", answer.status()));
                }
                Err(error) => {
                    case.record
                        .line(&format!("no answer {attempt} {path}: {error}"));
                    unanswered.push(request);
                }
            }
        }
    }
    thread::sleep(Duration::from_millis(500));
    let ran: HashSet<String> = runs
        .lock()
        .unwrap()
        .iter()
        .map(|run| run.attempt.clone())
        .collect();
    let is_lost = |request: &&ClientRequest| {
        request.path.starts_with("/kafi81/") && ran.contains(&request.attempt)
    };
    let lost = unanswered.iter().filter(is_lost).count();
    let code = if lost > ALLOWED { BROKEN } else { HELD };
    case.end(
        code,
        &format!("answered: {answered}; run by a sound server and not answered: {lost}; allowed: {ALLOWED}"),
    );
}
