//! A version raises a limit for clients; clients go on with the connections that they have.

#[path = "world.rs"]
mod world;

use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use world::*;

const CLIENTS: usize = 40;
/// `max_header_bytes` of the first version and of the second.
const BEFORE_BYTES: u64 = 16_384;
const AFTER_BYTES: u64 = 32_768;
/// The size of a head between the two limits.
const HEAD_BYTES: usize = 20_000;
/// `configuration_apply_ms` of the site, and three more seconds.
const APPLY_TIME: Duration = Duration::from_millis(2_000 + 3_000);
const ROUTES: [(&str, &str, &str, &str); 1] = [("r-1", "safe", "/lepu270/", "huvo11a")];

fn main() {
    let case = Case::from_arguments();
    let store = Store::start(&case.ip(250)).unwrap();
    let first = if case.has_trouble {
        BEFORE_BYTES
    } else {
        AFTER_BYTES
    };
    store.put("op", "config", config(7, first, &ROUTES, "").as_bytes());
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let place = Place {
        ip: case.ip(1),
        name: "sidecar-ba-feira-1".into(),
        zone: "ba-feira".into(),
        region: "bahia".into(),
        service: "huvo11a".into(),
    };
    let behaviour = |server: &Server, request: &Message, writer: &mut TcpStream| {
        server.answer(request, writer, b"spoons")
    };
    let server = Server::start(
        &place.ip,
        "i-7f3a91c2",
        "huvo11a",
        "ba-feira",
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
    let callers = machine.address(8304);
    let is_up = wait_until(Duration::from_secs(30), || {
        let request = client_request("/lepu270/2f", 1_500, "");
        machine.is_ready()
            && call(callers, &request.bytes, Duration::from_secs(2))
                .is_ok_and(|answer| answer.status() == 200)
    });
    if !is_up {
        case.end(NOT_RUN, "the machine did not become ready");
    }
    thread::sleep(Duration::from_secs(4));

    let (mut proper, mut denied, mut served) = (0, 0, 0);
    let mut send = |connection: &mut Kept, more: &str| {
        let request = client_request("/lepu270/2f", 1_500, more);
        proper += 1;
        let answer = connection
            .send(&request.bytes)
            .and_then(|()| connection.receive());
        let status = answer.as_ref().map_or(0, Message::status);
        let is_signed = answer.is_ok_and(|answer| answer.header(name("signature")).is_some());
        served += usize::from(status == 200);
        let is_own =
            !is_signed && (300..500).contains(&status) && ![408, 421, 429].contains(&status);
        denied += usize::from(is_own);
        case.record.line(&format!(
            "head of {} bytes, request {}: {status}",
            request.bytes.len(),
            request.attempt
        ));
    };
    let mut connections: Vec<Kept> = (0..CLIENTS)
        .filter_map(|_| Kept::open(callers).ok())
        .collect();
    for connection in &mut connections {
        send(connection, "");
    }
    store.put(
        "op",
        "config",
        config(8, AFTER_BYTES, &ROUTES, "").as_bytes(),
    );
    case.record.say("version 8 is acknowledged");
    thread::sleep(APPLY_TIME);
    let fill = format!("X-Fill: {}\r\n", "x".repeat(HEAD_BYTES));
    for connection in &mut connections {
        send(connection, &fill);
    }
    let allowed = 5 + proper / 500;
    let code = match (denied > allowed, served) {
        (_, 0) => NOT_RUN,
        (true, _) => BROKEN,
        (false, _) => HELD,
    };
    case.end(code, &format!(
        "proper requests: {proper}; served: {served}; ended with a 3xx or 4xx of the node's own: {denied}; allowed: {allowed}"
    ));
}
