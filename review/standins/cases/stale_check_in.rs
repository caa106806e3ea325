//! A delayed check-in after a node's restart brings back a server that has deregistered.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use super::{Folder, HOST, config};
use crate::client::Client;
use crate::server::Server;
use crate::store::Store;
use crate::world::{Node, Record, Settings};
use crate::{ATTEMPT_ID, Verdict};

const DEADLINE: Duration = Duration::from_millis(2_000);
const WORK: Duration = Duration::from_millis(20);
const CLIENTS: usize = 8;
const CALM: Duration = Duration::from_secs(4);
/// The platform starts a process again after a short delay.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// When the check-in that is delayed was sent, after the node's start.
const CHECK_IN_AT: Duration = Duration::from_millis(500);
/// When the server leaves, after the node's start.
const LEAVE_AT: Duration = Duration::from_millis(900);
/// How late the check-in is.
const CHECK_IN_DELAY: Duration = Duration::from_millis(4_000);
/// `drain_timeout_ms` of the site.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(2_000);
/// `touch_ms` of the site.
const TOUCH: Duration = Duration::from_millis(3_000);
/// How long the server serves after the ack of its leaving.
const SERVES_ON: Duration = Duration::from_secs(6);

/// The moments at which requests reached the server that leaves.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

pub fn run(has_trouble: bool, record: &Record) -> Verdict {
    let folder = Folder::new();
    let store = Store::start();
    store.put_config(&config(7, "huvo11a", DEADLINE.as_millis() as u64));
    let arrivals = Arrivals::default();
    let mut nodes = Vec::new();
    let mut servers = Vec::new();
    for number in 0..2 {
        let arrivals = arrivals.clone();
        let id = format!("i-7f3a91c{number}");
        let server = Server::start(&id, "huvo11a", record, move |server, request, stream| {
            if number == 0 {
                let id = request.header(ATTEMPT_ID).unwrap_or_default().to_owned();
                arrivals
                    .lock()
                    .expect("arrivals")
                    .push((Instant::now(), id));
            }
            server.record_run(request);
            std::thread::sleep(WORK);
            server.answer(request, "200 OK", b"booked", stream)
        });
        let name = format!("sidecar-ba-feira-{number}");
        let settings = Settings::new(&name, "ba-feira", "huvo11a", server.address, store.address);
        server.beat(settings.control);
        nodes.push(Node::start(settings, &folder.path(), record));
        servers.push(server);
    }
    if !nodes.iter().all(Node::wait_until_ready) {
        return Verdict::CouldNotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicU32::new(0));
    let clients = start_clients(nodes[1].settings.callers, &is_over, &answered, record);
    std::thread::sleep(CALM);
    let (node, server) = (&mut nodes[0], &servers[0]);
    let control = node.settings.control;
    server.stop_beating();
    if has_trouble {
        let stopped_at = Instant::now();
        node.signal("TERM");
        node.wait_for_end(stopped_at);
        std::thread::sleep(RESTART_DELAY);
        node.start_again();
    }
    let started_at = Instant::now();
    sleep_until(started_at + CHECK_IN_AT);
    let check_in = server.next_check_in();
    record.line(&format!(
        "server 0 sends a check-in, which is delayed: {check_in}"
    ));
    sleep_until(started_at + LEAVE_AT);
    let status = server.deregister(control);
    let acked_at = Instant::now();
    record.line(&format!("server 0 deregisters: answered {status}"));
    if status != 200 {
        return Verdict::CouldNotRun;
    }
    sleep_until(started_at + CHECK_IN_AT + CHECK_IN_DELAY);
    let status = server.send_check_in(control, &check_in);
    record.line(&format!(
        "the delayed check-in of server 0 arrives: answered {status}"
    ));
    sleep_until(acked_at + SERVES_ON);
    server.end();
    record.line("server 0 has ended");
    std::thread::sleep(Duration::from_millis(500));
    is_over.store(true, Ordering::SeqCst);
    for client in clients {
        let _ = client.join();
    }
    record.line(&format!(
        "{} orders were answered 200",
        answered.load(Ordering::SeqCst)
    ));
    judge(&arrivals, acked_at, started_at, has_trouble, record)
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}

/// Starts clients of the other node, which is never disturbed.
fn start_clients(
    callers: SocketAddr,
    is_over: &Arc<AtomicBool>,
    answered: &Arc<AtomicU32>,
    record: &Record,
) -> Vec<std::thread::JoinHandle<()>> {
    let last_id = Arc::new(AtomicU64::new(0x1000));
    (0..CLIENTS)
        .map(|_| {
            let (is_over, answered) = (is_over.clone(), answered.clone());
            let (last_id, record) = (last_id.clone(), record.clone());
            std::thread::spawn(move || {
                let mut kept: Option<Client> = None;
                while !is_over.load(Ordering::SeqCst) {
                    std::thread::sleep(Duration::from_millis(10));
                    let Some(client) = kept.as_mut() else {
                        kept = Client::connect(callers, HOST).ok();
                        continue;
                    };
                    let id = format!("{:016x}", last_id.fetch_add(1, Ordering::SeqCst));
                    let sent = client.send("POST", "/xapu221/2f", &id, DEADLINE, b"one panel");
                    match sent.and_then(|()| client.read()) {
                        Ok(Some(answer)) if answer.status() == 200 => {
                            answered.fetch_add(1, Ordering::SeqCst);
                            record.line(&format!("order {id} answered 200"));
                        }
                        Ok(Some(answer)) => {
                            record.line(&format!("order {id} answered {}", answer.status()));
                        }
                        _ => kept = None,
                    }
                }
            })
        })
        .collect()
}

/// DRAIN: a request reaches the server later than `drain_timeout_ms` after the ack, sent on by
/// machines in touch.
fn judge(
    arrivals: &Arrivals,
    acked_at: Instant,
    started_at: Instant,
    has_restarted: bool,
    record: &Record,
) -> Verdict {
    let in_touch_from = if has_restarted {
        started_at + TOUCH
    } else {
        started_at
    };
    let arrivals = arrivals.lock().expect("arrivals");
    let late = arrivals
        .iter()
        .filter(|(at, _)| *at > acked_at + DRAIN_TIMEOUT && *at > in_touch_from);
    let late: Vec<_> = late.collect();
    if let (Some((first, _)), Some((last, _))) = (late.first(), late.last()) {
        record.line(&format!(
            "{} orders reached server 0 from {:.3} to {:.3} s after the ack of its leaving",
            late.len(),
            (*first - acked_at).as_secs_f64(),
            (*last - acked_at).as_secs_f64()
        ));
        Verdict::Broken
    } else {
        record.line("no order reached server 0 after it had left");
        Verdict::Held
    }
}
