//! A stand-in for a backend server: it beats, answers health checks and runs requests.

use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Message, read_message, write_message};
use crate::world::Record;
use crate::{ATTEMPT_ID, DEREGISTER_PATH, EXPECTED_INSTANCE, HEARTBEAT_PATH, INSTANCE_ID};
use crate::{SERVER_LOAD, SIGNATURE};

const BEAT_INTERVAL: Duration = Duration::from_millis(870);
const SLOTS: u32 = 9;

/// What a case does with a request instead of the plain answer; returns whether the connection is
/// kept.
pub type Behaviour = dyn Fn(&Server, &Message, &mut TcpStream) -> bool + Send + Sync;

/// A backend server; clones share its state.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    /// The id of each request that has run, in the order of the runs.
    pub runs: Arc<Mutex<Vec<String>>>,
    behaviour: Arc<Behaviour>,
    running: Arc<AtomicU32>,
    sequence: Arc<AtomicU64>,
    is_draining: Arc<AtomicBool>,
    is_beating: Arc<AtomicBool>,
    has_ended: Arc<AtomicBool>,
    born: u128,
}

impl Server {
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        behaviour: impl Fn(&Self, &Message, &mut TcpStream) -> bool + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the server");
        let born = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .expect("the time");
        let server = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("the server's address"),
            record: record.clone(),
            runs: Arc::default(),
            behaviour: Arc::new(behaviour),
            running: Arc::default(),
            sequence: Arc::default(),
            is_draining: Arc::default(),
            is_beating: Arc::new(AtomicBool::new(true)),
            has_ended: Arc::default(),
            born: born.as_millis(),
        };
        let serving = server.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = serving.clone();
                std::thread::spawn(move || server.serve(stream));
            }
        });
        server
    }

    /// Sends check-ins to the node on its machine for as long as it has not left.
    pub fn beat(&self, control: SocketAddr) {
        let server = self.clone();
        std::thread::spawn(move || {
            while !server.has_ended.load(Ordering::SeqCst) {
                if server.is_beating.load(Ordering::SeqCst) {
                    let check_in = server.next_check_in();
                    server.send_check_in(control, &check_in);
                }
                std::thread::sleep(BEAT_INTERVAL);
            }
        });
    }

    pub fn stop_beating(&self) {
        self.is_beating.store(false, Ordering::SeqCst);
    }

    /// The body of the next check-in.
    pub fn next_check_in(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        let is_leaving = self.is_draining.load(Ordering::SeqCst);
        let state = if is_leaving { "draining" } else { "ready" };
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"ba-feira\",\"version\":\"v1\",\
             \"slots\":{SLOTS},\"state\":\"{state}\",\"cold_remaining_ms\":0,\
             \"sequence\":{sequence},\"born\":{}}}",
            self.service, self.address, self.born
        )
    }

    /// Sends a check-in; returns the status of the answer, 0 if there is none within a second.
    pub fn send_check_in(&self, control: SocketAddr, check_in: &str) -> u16 {
        self.post(control, HEARTBEAT_PATH, check_in)
    }

    /// Says that the server leaves, without having said that it drains; returns the status.
    pub fn deregister(&self, control: SocketAddr) -> u16 {
        self.is_draining.store(true, Ordering::SeqCst);
        self.post(
            control,
            DEREGISTER_PATH,
            &format!("{{\"born\":{}}}", self.born),
        )
    }

    /// Ends the server: it takes no more connections and answers nothing more.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
    }

    fn post(&self, control: SocketAddr, path: &str, body: &str) -> u16 {
        let line = format!("POST {path}{} HTTP/1.1", self.id);
        let headers = [("Host", "node"), ("Content-Type", "application/json")];
        let Ok(mut stream) = TcpStream::connect_timeout(&control, Duration::from_secs(1)) else {
            return 0;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        if write_message(&mut stream, &line, &headers, body.as_bytes()).is_err() {
            return 0;
        }
        match read_message(&mut BufReader::new(stream)) {
            Ok(Some(answer)) => answer.status(),
            _ => 0,
        }
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = read_message(&mut reader) {
            if self.has_ended.load(Ordering::SeqCst) {
                return;
            }
            let is_kept = if request.target() == "/health" {
                self.answer_health(&mut stream)
            } else if !self.is_expected(&request) {
                self.refuse_misdirected(&request, &mut stream)
            } else {
                self.running.fetch_add(1, Ordering::SeqCst);
                let is_kept = (self.behaviour)(self, &request, &mut stream);
                self.running.fetch_sub(1, Ordering::SeqCst);
                is_kept
            };
            if !is_kept {
                return;
            }
        }
    }

    fn is_expected(&self, request: &Message) -> bool {
        request
            .header(EXPECTED_INSTANCE)
            .is_none_or(|id| id == self.id)
    }

    fn answer_health(&self, stream: &mut TcpStream) -> bool {
        let load = self.load();
        let headers = [
            (INSTANCE_ID, self.id.as_str()),
            (SERVER_LOAD, load.as_str()),
        ];
        let is_leaving = self.is_draining.load(Ordering::SeqCst);
        let line = if is_leaving {
            "HTTP/1.1 503 Service Unavailable"
        } else {
            "HTTP/1.1 200 OK"
        };
        write_message(stream, line, &headers, b"").is_ok()
    }

    fn refuse_misdirected(&self, request: &Message, stream: &mut TcpStream) -> bool {
        let id = request.header(ATTEMPT_ID).unwrap_or_default();
        let headers = [(INSTANCE_ID, self.id.as_str()), (ATTEMPT_ID, id)];
        write_message(stream, "HTTP/1.1 421 Misdirected Request", &headers, b"").is_ok()
    }

    /// Records that a request has run.
    pub fn record_run(&self, request: &Message) {
        let id = request.header(ATTEMPT_ID).unwrap_or_default().to_owned();
        self.record.line(&format!(
            "server {} runs {id} ({})",
            self.id,
            request.target()
        ));
        self.runs.lock().expect("runs").push(id);
    }

    /// Writes a whole, signed answer.
    pub fn answer(
        &self,
        request: &Message,
        status: &str,
        body: &[u8],
        stream: &mut TcpStream,
    ) -> bool {
        let id = request.header(ATTEMPT_ID).unwrap_or_default();
        let signature = format!("{}.{}.{}", self.id, id, body.len());
        let load = self.load();
        let headers = [
            (ATTEMPT_ID, id),
            (SIGNATURE, signature.as_str()),
            (SERVER_LOAD, load.as_str()),
            ("Content-Type", "application/octet-stream"),
        ];
        write_message(stream, &format!("HTTP/1.1 {status}"), &headers, body).is_ok()
    }

    pub fn load(&self) -> String {
        let running = self.running.load(Ordering::SeqCst);
        format!("{running},0,{SLOTS}")
    }
}
