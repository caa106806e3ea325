//! A tenant asks for far more than its allotment, and all processes are killed at the same moment.

#[path = "world.rs"]
mod world;

use std::collections::{HashMap, HashSet};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::*;

const MACHINES: usize = 18;
const RATE_PER_S: f64 = 40.0;
const BURST: f64 = 10.0;
/// `quota_window_s`, `quota_overage` and `quota_slack` of the site.
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// What the tenant asks for at each machine.
const ASKED_PER_S: f64 = 45.0;
const CLIENTS: usize = 4;
const RESTART_DELAY: Duration = Duration::from_millis(500);
const ROUTES: [(&str, &str, &str, &str); 1] = [("r-1", "safe", "/lepu270/", "huvo11a")];
const ZONES: [(&str, &str); 6] = [
    ("lagos-ikeja", "lagos"),
    ("abuja-wuse", "abuja"),
    ("kano-nassarawa", "kano"),
    ("lagos-lekki", "lagos"),
    ("abuja-garki", "abuja"),
    ("kano-fagge", "kano"),
];

/// One client of the tenant, which sends requests at even times, whatever the answers are.
fn press(
    address: std::net::SocketAddr,
    record: Record,
    sent: Arc<Mutex<HashMap<String, f64>>>,
    stop: Arc<AtomicBool>,
) {
    let gap = Duration::from_secs_f64(CLIENTS as f64 / ASKED_PER_S);
    let mut next = Instant::now() + gap.mul_f64(draw() as f64 / u64::MAX as f64);
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += gap;
        let request = client_request("/lepu270/2f", 800, "Authorization: Token k-4711\r\n");
        sent.lock()
            .unwrap()
            .insert(request.attempt.clone(), record.now());
        let answer = call(address, &request.bytes, Duration::from_millis(800));
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!("sent {} to {address}: {status}", request.attempt));
    }
}

fn main() {
    let case = Case::from_arguments();
    let store = Store::start(&case.ip(250)).unwrap();
    let tenant = format!(
        "{{\"name\":\"mill-7\",\"api_keys\":[\"k-4711\"],\"rate_per_s\":{RATE_PER_S},\"burst\":{BURST}}}"
    );
    store.put(
        "op",
        "config",
        config(7, 16_384, &ROUTES, &tenant).as_bytes(),
    );
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let mut machines = Vec::new();
    for number in 0..MACHINES {
        let (zone, region) = ZONES[number % ZONES.len()];
        let place = Place {
            ip: case.ip(1 + number),
            name: format!("sidecar-{zone}-{}", 1 + number / ZONES.len()),
            zone: zone.into(),
            region: region.into(),
            service: "huvo11a".into(),
        };
        let behaviour = |server: &Server, request: &Message, writer: &mut TcpStream| {
            thread::sleep(Duration::from_millis(20));
            server.answer(request, writer, b"spoons")
        };
        let id = format!("i-{number:08x}");
        let server = Server::start(
            &place.ip,
            &id,
            "huvo11a",
            zone,
            6,
            &case.record,
            &runs,
            Arc::new(behaviour),
        )
        .unwrap();
        let mut machine = Machine::new(&case.root, &case.temporary, place, &AIBTPN, store.address);
        machine.start();
        server.keep_checking_in(machine.address(8306), Duration::from_millis(1_500));
        machines.push(machine);
    }
    if !wait_until(Duration::from_secs(30), || {
        machines.iter().all(Machine::is_ready)
    }) {
        case.end(NOT_RUN, "the machines did not become ready");
    }
    thread::sleep(Duration::from_secs(10));

    let stop = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<HashMap<String, f64>>> = Arc::default();
    for machine in &machines {
        for _ in 0..CLIENTS {
            let (address, record) = (machine.address(8304), case.record.clone());
            let (sent, stop) = (sent.clone(), stop.clone());
            thread::spawn(move || press(address, record, sent, stop));
        }
    }
    thread::sleep(Duration::from_secs(12));
    if case.has_trouble {
        case.record.say("all processes are killed");
        for machine in &machines {
            machine.signal("KILL");
        }
        for machine in &mut machines {
            machine.kill();
        }
        thread::sleep(RESTART_DELAY);
        for machine in &mut machines {
            machine.start();
        }
        case.record.say("all processes are started again");
    }
    thread::sleep(Duration::from_secs(12));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));

    let sent = sent.lock().unwrap().clone();
    let mut counted = Vec::new();
    let mut seen = HashSet::new();
    for run in runs.lock().unwrap().iter() {
        if let (Some(sent_at), true) = (sent.get(&run.attempt), seen.insert(run.attempt.clone())) {
            counted.push((*sent_at, run.at));
        }
    }
    counted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let in_window = |begin: f64| {
        counted
            .iter()
            .filter(|(sent, ran)| *sent >= begin && *ran <= begin + WINDOW_S)
            .count()
    };
    let windows = counted.iter().map(|(begin, _)| (in_window(*begin), *begin));
    let (most, begin) = windows.max_by(|a, b| a.0.cmp(&b.0)).unwrap_or_default();
    let allowed = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK;
    let code = match counted.len() {
        0 => NOT_RUN,
        _ if most as f64 > allowed => BROKEN,
        _ => HELD,
    };
    case.end(code, &format!(
        "requests of the tenant: {}; run: {}; most within {WINDOW_S} s: {most}, from {begin:.3}; allowed: {allowed:.1}",
        sent.len(),
        counted.len()
    ));
}
