//! A version lowers the allotments of many tenants far below what they send.

#[path = "world.rs"]
mod world;

use std::collections::{HashMap, HashSet};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use world::*;

const MACHINES: usize = 6;
const TENANTS: usize = 260;
/// `rate_per_s` and `burst` of each tenant, in the first version and in the second.
const BEFORE: (f64, f64) = (40.0, 20.0);
const AFTER: (f64, f64) = (2.0, 2.0);
/// What each tenant asks for at each machine.
const ASKED_PER_S: f64 = 2.0;
/// `quota_window_s`, `quota_overage` and `quota_slack` of the site.
const WINDOW_S: f64 = 5.0;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 20.0;
/// `configuration_apply_ms` of the site, in seconds: a lower limit binds one window after that.
const APPLY_S: f64 = 3.0;
const MEASURED_S: f64 = 10.0;
const CLIENTS: usize = 8;
const ROUTES: [(&str, &str, &str, &str); 1] = [("r-1", "safe", "/lepu270/", "huvo11a")];
const ZONES: [(&str, &str); 3] = [
    ("lagos-ikeja", "lagos"),
    ("abuja-wuse", "abuja"),
    ("kano-fagge", "kano"),
];

type Sent = Arc<Mutex<HashMap<String, (f64, usize)>>>;

fn version(number: u64, (rate, burst): (f64, f64)) -> String {
    let tenants: Vec<String> = (0..TENANTS)
        .map(|tenant| {
            format!("{{\"name\":\"tenant-{tenant}\",\"api_keys\":[\"k-{tenant}\"],\"rate_per_s\":{rate},\"burst\":{burst}}}")
        })
        .collect();
    config(number, 16_384, &ROUTES, &tenants.join(","))
}

/// A client of some of the tenants, which sends requests at even times, whatever the answers are.
fn press(
    address: SocketAddr,
    tenants: &[usize],
    record: &Record,
    sent: &Sent,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let gap = Duration::from_secs_f64(1.0 / ASKED_PER_S / tenants.len() as f64);
    let mut next = Instant::now();
    let mut connection = Kept::open(address)?;
    for tenant in tenants.iter().cycle() {
        if stop.load(Ordering::SeqCst) {
            break;
        }
        thread::sleep(next.saturating_duration_since(Instant::now()));
        next += gap;
        let key = format!("Authorization: Token k-{tenant}\r\n");
        let request = client_request("/lepu270/2f", 800, &key);
        sent.lock()
            .unwrap()
            .insert(request.attempt.clone(), (record.now(), *tenant));
        let answer = connection
            .send(&request.bytes)
            .and_then(|()| connection.receive());
        let status = answer.as_ref().map_or(0, Message::status);
        record.line(&format!(
            "sent {} of tenant-{tenant} to {address}: {status}",
            request.attempt
        ));
        let closes = answer.is_ok_and(|answer| answer.header("connection") == Some("close"));
        if status == 0 || closes {
            connection = Kept::open(address)?;
        }
    }
    Ok(())
}

fn main() {
    let case = Case::from_arguments();
    let store = Store::start(&case.ip(250)).unwrap();
    store.put("op", "config", version(7, BEFORE).as_bytes());
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
            server.answer(request, writer, b"spoons")
        };
        let id = format!("i-{number:08x}");
        let server = Server::start(
            &place.ip,
            &id,
            "huvo11a",
            zone,
            200,
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
    thread::sleep(Duration::from_secs(8));

    let stop = Arc::new(AtomicBool::new(false));
    let sent: Sent = Arc::default();
    for machine in &machines {
        for client in 0..CLIENTS {
            let tenants: Vec<usize> = (0..TENANTS)
                .filter(|tenant| tenant % CLIENTS == client)
                .collect();
            let (address, record) = (machine.address(8304), case.record.clone());
            let (sent, stop) = (sent.clone(), stop.clone());
            thread::spawn(move || {
                if let Err(error) = press(address, &tenants, &record, &sent, &stop) {
                    record.say(&format!("a client of {address} gave up: {error}"));
                }
            });
        }
    }
    thread::sleep(Duration::from_secs(6));
    let mut limit = BEFORE;
    if case.has_trouble {
        store.put("op", "config", version(8, AFTER).as_bytes());
        case.record
            .say("version 8 is acknowledged: lower allotments");
        limit = AFTER;
    }
    let binds_from = case.record.now() + APPLY_S + WINDOW_S;
    thread::sleep(Duration::from_secs_f64(APPLY_S + WINDOW_S + MEASURED_S));
    stop.store(true, Ordering::SeqCst);
    thread::sleep(Duration::from_secs(1));

    let sent = sent.lock().unwrap().clone();
    let mut by_tenant: HashMap<usize, Vec<(f64, f64)>> = HashMap::new();
    let mut seen = HashSet::new();
    for run in runs.lock().unwrap().iter() {
        let Some((sent_at, tenant)) = sent.get(&run.attempt) else {
            continue;
        };
        if *sent_at >= binds_from && seen.insert(run.attempt.clone()) {
            by_tenant
                .entry(*tenant)
                .or_default()
                .push((*sent_at, run.at));
        }
    }
    let allowed = (limit.0 * WINDOW_S + limit.1) * (1.0 + OVERAGE) + SLACK;
    let most_of = |counted: &[(f64, f64)]| {
        let in_window = |begin: f64| {
            counted
                .iter()
                .filter(|(sent, ran)| *sent >= begin && *ran <= begin + WINDOW_S)
                .count()
        };
        counted
            .iter()
            .map(|(begin, _)| in_window(*begin))
            .max()
            .unwrap_or(0)
    };
    let mut most: Vec<(usize, usize)> = by_tenant
        .iter()
        .map(|(tenant, counted)| (most_of(counted), *tenant))
        .collect();
    most.sort_unstable_by(|a, b| b.cmp(a));
    for (count, tenant) in &most {
        case.record.line(&format!(
            "tenant-{tenant}: at most {count} within {WINDOW_S} s"
        ));
    }
    let over = most
        .iter()
        .filter(|(count, _)| *count as f64 > allowed)
        .count();
    let (worst, _) = most.first().copied().unwrap_or_default();
    let code = match (most.len(), over) {
        (0, _) => NOT_RUN,
        (_, 0) => HELD,
        _ => BROKEN,
    };
    case.end(code, &format!(
        "tenants: {TENANTS}; over their allotment: {over}; most within {WINDOW_S} s: {worst}; allowed: {allowed:.1}"
    ));
}
