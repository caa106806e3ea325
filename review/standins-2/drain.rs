//! Two check-ins of a server arrive late, after it has signed off and its node was killed.
//!
//! Counted are requests that reach the server later than `drain_timeout_ms` after the node has
//! acknowledged that the server leaves.

#[path = "world.rs"]
mod world;

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use world::*;

/// `drain_timeout_ms` of the site, in seconds.
const DRAIN_TIMEOUT_S: f64 = 2.0;
const CHECK_IN_INTERVAL: Duration = Duration::from_millis(870);
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// From the restart of the node until the late check-ins arrive.
const LATE_BY: Duration = Duration::from_millis(5_200);
const OBSERVED: Duration = Duration::from_secs(5);
const CLIENTS: usize = 2;
const ROUTES: [(&str, &str, &str, &str); 1] = [("r-1", "safe", "/lepu270/", "huvo11a")];
const ZONES: [(&str, &str); 3] = [
    ("ba-feira", "bahia"),
    ("pe-recife", "pernambuco"),
    ("ma-imperatriz", "maranhao"),
];

/// A client that sends one request after the other, until the process ends.
fn ask(address: SocketAddr, record: &Record) {
    loop {
        let request = client_request("/lepu270/2f", 800, "");
        let answer = call(address, &request.bytes, Duration::from_secs(1));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("sent {} to {address}: {status}", request.attempt));
        thread::sleep(Duration::from_millis(30));
    }
}

fn main() {
    let case = Case::from_arguments();
    let store = Store::start(&case.ip(250)).unwrap();
    store.put("op", "config", config(7, 16_384, &ROUTES, "").as_bytes());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut machines = Vec::new();
    let mut servers = Vec::new();
    for (number, (zone, region)) in ZONES.into_iter().enumerate() {
        let place = Place {
            ip: case.ip(1 + number),
            name: format!("sidecar-{zone}-1"),
            zone: zone.into(),
            region: region.into(),
            service: "huvo11a".into(),
        };
        let behaviour = |server: &Server, request: &Message, writer: &mut TcpStream| {
            server.answer(request, writer, b"spoons")
        };
        let id = format!("i-{number:08x}");
        let server = Server::start(
            &place.ip,
            &id,
            "huvo11a",
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
        machines.push(machine);
        servers.push(server);
    }
    for (server, machine) in servers.iter().zip(&machines).skip(1) {
        server.keep_checking_in(machine.address(8306), CHECK_IN_INTERVAL);
    }
    let (leaving, node) = (servers[0].clone(), machines[0].address(8306));
    let is_staying = Arc::new(AtomicBool::new(true));
    let (checking_in, stays) = (leaving.clone(), is_staying.clone());
    let check_ins = thread::spawn(move || {
        while stays.load(Ordering::SeqCst) {
            checking_in.check_in(node, "ready");
            thread::sleep(CHECK_IN_INTERVAL);
        }
    });
    if !wait_until(Duration::from_secs(30), || {
        machines.iter().all(Machine::is_ready)
    }) {
        case.end(NOT_RUN, "the machines did not become ready");
    }
    thread::sleep(Duration::from_secs(8));
    for machine in &machines {
        for _ in 0..CLIENTS {
            let (address, record) = (machine.address(8304), case.record.clone());
            thread::spawn(move || ask(address, &record));
        }
    }
    thread::sleep(Duration::from_secs(3));

    is_staying.store(false, Ordering::SeqCst);
    let _ = check_ins.join();
    let first = leaving.next_check_in("ready");
    case.record.say("a check-in is sent and held up");
    thread::sleep(CHECK_IN_INTERVAL);
    let second = leaving.next_check_in("ready");
    case.record.say("the next one is sent and held up");
    thread::sleep(Duration::from_millis(200));
    leaving.is_healthy.store(false, Ordering::SeqCst);
    if !leaving.sign_off(node) {
        case.end(NOT_RUN, "the server's sign-off was not acknowledged");
    }
    let acked_at = case.record.now();
    case.record
        .say(&format!("the node acknowledges that {} leaves", leaving.id));
    if case.has_trouble {
        machines[0].kill();
        case.record.say("the node is killed");
        thread::sleep(RESTART_DELAY);
        machines[0].start();
        case.record.say("the node is started again");
    }
    thread::sleep(LATE_BY);
    for body in [first, second] {
        let is_acked = leaving.send_check_in(node, &body);
        case.record.say(&format!(
            "a check-in arrives late; acknowledged: {is_acked}"
        ));
        thread::sleep(Duration::from_millis(200));
    }
    thread::sleep(OBSERVED);

    let runs = runs.lock().unwrap();
    let is_late = |run: &&Run| run.server == leaving.id && run.at > acked_at + DRAIN_TIMEOUT_S;
    let (before, late) = (
        runs.iter().filter(|run| run.server == leaving.id).count(),
        runs.iter().filter(is_late).count(),
    );
    let code = match (before, late) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    };
    case.end(code, &format!(
        "requests that reached the server that left: {before}; of these later than {DRAIN_TIMEOUT_S} s after the ack: {late}; all: {}",
        runs.len()
    ));
}
