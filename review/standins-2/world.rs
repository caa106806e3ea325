//! Stand-ins for the users' platform, made for the review: the store, servers, clients and the
//! machines on which the project's own program runs as a separate process. Standard library only.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The exit codes that the issue asks for.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;
/// A response signature; the program does not check its content.
pub const SIGNATURE: &str = "3e1b.07.5a2.600.0.c9f2a4d1";

/// Returns a name of the platform; the list stands in `names.txt`.
pub fn name(key: &str) -> &'static str {
    let lines = include_str!("names.txt").lines();
    let mut pairs = lines.filter_map(|line| line.split_once(' '));
    let found = pairs.find(|(known, _)| *known == key);
    found.map_or_else(|| panic!("names.txt has no {key}"), |(_, name)| name)
}

// ---------------------------------------------------------------- record

/// The record of what was sent, answered and run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(folder: &Path) -> Self {
        let file = File::create(folder.join("record.txt")).expect("record.txt");
        Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3}  {text}", self.now());
    }

    pub fn say(&self, text: &str) {
        println!("{text}");
        self.line(text);
    }
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Message {
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut named = self.headers.iter();
        let found = named.find(|(given, _)| given.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn status(&self) -> u16 {
        let status = self.start.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn path(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads the head of a message; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let mut message = Message::default();
    let mut line = String::new();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let text = line.trim_end_matches(['\r', '\n']);
        if text.is_empty() {
            if message.start.is_empty() {
                continue;
            }
            return Ok(Some(message));
        }
        if message.start.is_empty() {
            message.start = text.to_owned();
        } else if let Some((name, value)) = text.split_once(':') {
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
    }
}

/// Reads a body with a length or in chunks. `until_end`: a message without either ends with its
/// connection.
pub fn read_body(
    reader: &mut impl BufRead,
    message: &mut Message,
    until_end: bool,
) -> std::io::Result<()> {
    let is_chunked = message
        .header("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(std::io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| std::io::Error::from(std::io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    }
    let length = message
        .header("content-length")
        .and_then(|text| text.parse().ok());
    match length {
        Some(length) => {
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)
        }
        None if until_end => reader.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

pub fn read_request(reader: &mut impl BufRead) -> std::io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message, false)?;
    Ok(Some(message))
}

pub fn read_response(reader: &mut impl BufRead) -> std::io::Result<Message> {
    loop {
        let Some(mut message) = read_head(reader)? else {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        };
        let status = message.status();
        if (100..200).contains(&status) {
            continue;
        }
        if status != 204 && status != 304 {
            read_body(reader, &mut message, true)?;
        }
        return Ok(message);
    }
}

pub fn response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    let mut bytes = bytes.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends one request on a connection of its own.
pub fn call(address: SocketAddr, request: &[u8], limit: Duration) -> std::io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.write_all(request)?;
    read_response(&mut BufReader::new(stream))
}

pub fn post(address: SocketAddr, path: &str, body: &str) -> std::io::Result<Message> {
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    call(address, request.as_bytes(), Duration::from_secs(1))
}

pub fn get(address: SocketAddr, path: &str) -> std::io::Result<Message> {
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\n\r\n");
    call(address, request.as_bytes(), Duration::from_secs(1))
}

// ---------------------------------------------------------------- JSON and Base64

#[derive(Debug, Clone)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let bytes: Vec<char> = text.chars().collect();
        let mut at = 0;
        Self::value(&bytes, &mut at)
    }

    fn skip(bytes: &[char], at: &mut usize) {
        while bytes.get(*at).is_some_and(|c| c.is_whitespace()) {
            *at += 1;
        }
    }

    fn value(bytes: &[char], at: &mut usize) -> Option<Self> {
        Self::skip(bytes, at);
        match bytes.get(*at)? {
            '{' => {
                *at += 1;
                let mut table = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        '}' => {
                            *at += 1;
                            return Some(Self::Table(table));
                        }
                        ',' => *at += 1,
                        _ => {
                            let Self::Text(key) = Self::value(bytes, at)? else {
                                return None;
                            };
                            Self::skip(bytes, at);
                            *at += 1;
                            table.push((key, Self::value(bytes, at)?));
                        }
                    }
                }
            }
            '[' => {
                *at += 1;
                let mut list = Vec::new();
                loop {
                    Self::skip(bytes, at);
                    match bytes.get(*at)? {
                        ']' => {
                            *at += 1;
                            return Some(Self::List(list));
                        }
                        ',' => *at += 1,
                        _ => list.push(Self::value(bytes, at)?),
                    }
                }
            }
            '"' => {
                *at += 1;
                let mut text = String::new();
                loop {
                    match bytes.get(*at)? {
                        '"' => {
                            *at += 1;
                            return Some(Self::Text(text));
                        }
                        '\\' => {
                            let escaped = *bytes.get(*at + 1)?;
                            *at += 2;
                            match escaped {
                                'n' => text.push('\n'),
                                't' => text.push('\t'),
                                'r' => text.push('\r'),
                                'u' => {
                                    let digits: String = bytes.get(*at..*at + 4)?.iter().collect();
                                    let code = u32::from_str_radix(&digits, 16).ok()?;
                                    text.push(char::from_u32(code)?);
                                    *at += 4;
                                }
                                other => text.push(other),
                            }
                        }
                        other => {
                            text.push(*other);
                            *at += 1;
                        }
                    }
                }
            }
            _ => {
                let start = *at;
                while bytes
                    .get(*at)
                    .is_some_and(|c| !matches!(c, ',' | '}' | ']') && !c.is_whitespace())
                {
                    *at += 1;
                }
                let word: String = bytes[start..*at].iter().collect();
                match word.as_str() {
                    "null" => Some(Self::Null),
                    "true" => Some(Self::Bool(true)),
                    "false" => Some(Self::Bool(false)),
                    number => number.parse().ok().map(Self::Number),
                }
            }
        }
    }

    pub fn field(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Table(table) => table.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.field(name) {
            Some(Self::Text(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Some(Self::Number(number)) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self, name: &str) -> &[Json] {
        match self.field(name) {
            Some(Self::List(list)) => list,
            _ => &[],
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for at in 0..3 {
            number = number << 8 | u32::from(group.get(at).copied().unwrap_or(0));
        }
        for at in 0..4 {
            if at <= group.len() {
                text.push(char::from(DIGITS[(number >> (18 - 6 * at)) as usize & 63]));
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- the platform's store

type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    version: u64,
    rows: BTreeMap<RowKey, (String, u64, bool)>,
}

/// The platform's store, as PROTOCOL.md describes it, for the calls that the program makes.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
    /// Whether every call gets 503.
    pub is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn start(ip: &str) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:8309"))?;
        let store = Self {
            address: listener.local_addr()?,
            rows: Arc::default(),
            started: Instant::now(),
            is_down: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes a row as the operator does; returns when it is acknowledged.
    pub fn put(&self, table: &str, key: &str, value: &[u8]) {
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        rows.version += 1;
        let version = rows.version;
        let key = (table.to_owned(), String::new(), key.to_owned());
        rows.rows.insert(key, (base64(value), version, false));
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let (status, body) = self.answer(&request);
            let json = [("Content-Type", "application/json")];
            writer.write_all(&response(status, &json, body.as_bytes()))?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        if self.is_down.load(Ordering::SeqCst) {
            return (503, "{}".to_owned());
        }
        let (path, query) = request
            .path()
            .split_once('?')
            .unwrap_or((request.path(), ""));
        let query: HashMap<String, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name.to_owned(), decode(value)))
            .collect();
        let given = |name: &str| query.get(name).cloned().unwrap_or_default();
        match path {
            path if path == name("read") => {
                let (table, part) = (given("table"), given("part"));
                let (from, target) = (query.get("from"), query.get("target"));
                let rows = self.rows.0.lock().unwrap();
                (
                    200,
                    self.page(&rows, |key, _, is_deleted| {
                        !is_deleted
                            && key.0 == table
                            && key.1 == part
                            && from.is_none_or(|from| key.2 >= *from)
                            && target.is_none_or(|target| key.2 < *target)
                    }),
                )
            }
            path if path == name("follow") => {
                let table = given("table");
                let after: u64 = given("after").parse().unwrap_or(0);
                let wait = Duration::from_millis(given("wait_ms").parse().unwrap_or(0));
                let until = Instant::now() + wait;
                let mut rows = self.rows.0.lock().unwrap();
                loop {
                    let has_news = rows
                        .rows
                        .iter()
                        .any(|(key, (_, version, _))| key.0 == table && *version > after);
                    let left = until.saturating_duration_since(Instant::now());
                    if has_news || left.is_zero() {
                        break;
                    }
                    rows = self.rows.1.wait_timeout(rows, left).unwrap().0;
                }
                if self.is_down.load(Ordering::SeqCst) {
                    return (503, "{}".to_owned());
                }
                (
                    200,
                    self.page(&rows, |key, version, _| key.0 == table && version > after),
                )
            }
            path if path == name("change") => self.transact(&request.body),
            _ => (404, "{}".to_owned()),
        }
    }

    fn page(&self, rows: &Rows, is_wanted: impl Fn(&RowKey, u64, bool) -> bool) -> String {
        let mut found: Vec<_> = rows
            .rows
            .iter()
            .filter(|(key, (_, version, is_deleted))| is_wanted(key, *version, *is_deleted))
            .collect();
        found.truncate(500);
        let texts: Vec<String> = found
            .iter()
            .map(|((table, part, key), (value, version, is_deleted))| {
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\
                     \"value\":\"{value}\",\"schema_version\":{version},\"deleted\":{is_deleted}}}"
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"schema_version\":{},\"now_ms\":{}}}",
            texts.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(call) = Json::parse(&String::from_utf8_lossy(body)) else {
            return (400, "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().unwrap();
        for expected in call.list("expected_revision") {
            let found = rows
                .rows
                .get(&key(expected))
                .filter(|(_, _, deleted)| !deleted);
            let version = found.map_or(0, |(_, version, _)| *version);
            if version != expected.number("schema_version") {
                return (412, "{\"rows\":[]}".to_owned());
            }
        }
        let is_reserved = |row: &Json| matches!(row.text("table").as_str(), "op" | "servers");
        if call.list("write").iter().any(is_reserved) {
            return (403, "{}".to_owned());
        }
        rows.version += 1;
        let version = rows.version;
        for row in call.list("write") {
            rows.rows
                .insert(key(row), (row.text("value"), version, false));
        }
        for row in call.list("remove") {
            rows.rows.insert(key(row), (String::new(), version, true));
        }
        changed.notify_all();
        let now = self.started.elapsed().as_millis();
        (
            200,
            format!("{{\"schema_version\":{version},\"now_ms\":{now}}}"),
        )
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            b'+' => bytes.push(b' '),
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

// ---------------------------------------------------------------- servers

/// A request as a server got it, and when it began to run it.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: f64,
    pub attempt: String,
    pub path: String,
    pub tenant: String,
    pub server: String,
}

/// What a server does with a request: it writes the answer itself. Returns whether the connection
/// stays open.
pub type Behaviour =
    dyn Fn(&Server, &Message, &mut TcpStream) -> std::io::Result<bool> + Send + Sync;

/// One application server.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    pub id: String,
    pub service: String,
    pub zone: String,
    pub slots: u32,
    pub record: Record,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub is_healthy: Arc<AtomicBool>,
    pub is_open: Arc<AtomicBool>,
    behaviour: Arc<Behaviour>,
    running: Arc<AtomicU64>,
    sequence: Arc<AtomicU64>,
    born: u64,
}

impl Server {
    pub fn start(
        ip: &str,
        id: &str,
        service: &str,
        zone: &str,
        slots: u32,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
        behaviour: Arc<Behaviour>,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(format!("{ip}:8301"))?;
        let server = Self {
            address: listener.local_addr()?,
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            slots,
            record: record.clone(),
            runs: runs.clone(),
            is_healthy: Arc::new(AtomicBool::new(true)),
            is_open: Arc::new(AtomicBool::new(true)),
            behaviour,
            running: Arc::default(),
            sequence: Arc::default(),
            born: unix_ms(),
        };
        let serving = server.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.is_open.load(Ordering::SeqCst) {
                    return;
                }
                let server = serving.clone();
                thread::spawn(move || {
                    let _ = server.serve(stream);
                });
            }
        });
        Ok(server)
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = read_request(&mut reader)? {
            let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
            if request.path() == "/health" {
                let status = if self.is_healthy.load(Ordering::SeqCst) {
                    200
                } else {
                    503
                };
                let headers = [
                    (name("instance"), self.id.as_str()),
                    (name("load"), load.as_str()),
                ];
                writer.write_all(&response(status, &headers, b""))?;
                continue;
            }
            let expected = request.header(name("expected"));
            if expected.is_some_and(|expected| expected != self.id) {
                let headers = [(name("instance"), self.id.as_str())];
                writer.write_all(&response(421, &headers, b""))?;
                continue;
            }
            self.record_run(&request);
            self.running.fetch_add(1, Ordering::SeqCst);
            let stays = (self.behaviour)(self, &request, &mut writer);
            self.running.fetch_sub(1, Ordering::SeqCst);
            if !stays? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn record_run(&self, request: &Message) {
        let header = |key: &str| request.header(name(key)).unwrap_or("").to_owned();
        let run = Run {
            at: self.record.now(),
            attempt: header("attempt"),
            path: request.path().to_owned(),
            tenant: header("tenant"),
            server: self.id.clone(),
        };
        self.record.line(&format!(
            "run {} {} at {}",
            run.attempt, run.path, run.server
        ));
        self.runs.lock().unwrap().push(run);
    }

    /// The usual answer of a sound server.
    pub fn answer(
        &self,
        request: &Message,
        writer: &mut TcpStream,
        body: &[u8],
    ) -> std::io::Result<bool> {
        let attempt = request.header(name("attempt")).unwrap_or("").to_owned();
        let load = format!("{},0,{}", self.running.load(Ordering::SeqCst), self.slots);
        let headers = [
            (name("attempt"), attempt.as_str()),
            (name("signature"), SIGNATURE),
            (name("load"), load.as_str()),
        ];
        writer.write_all(&response(200, &headers, body))?;
        Ok(true)
    }

    /// Sends one check-in to the machine's own node; returns whether it was acknowledged.
    pub fn check_in(&self, node: SocketAddr, state: &str) -> bool {
        let body = self.next_check_in(state);
        self.send_check_in(node, &body)
    }

    pub fn send_check_in(&self, node: SocketAddr, body: &str) -> bool {
        let path = format!("{}{}", name("check_in"), self.id);
        post(node, &path, body).is_ok_and(|answer| answer.status() / 100 == 2)
    }

    /// Tells the node that the server leaves for good; returns whether that was acknowledged.
    pub fn sign_off(&self, node: SocketAddr) -> bool {
        let path = format!("{}{}", name("sign_off"), self.id);
        let body = format!("{{\"born\":{}}}", self.born);
        post(node, &path, &body).is_ok_and(|answer| answer.status() / 100 == 2)
    }

    /// Returns the body of the next check-in.
    pub fn next_check_in(&self, state: &str) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\
             \"slots\":{},\"state\":\"{state}\",\"cold_remaining_ms\":0,\"sequence\":{sequence},\
             \"born\":{}}}",
            self.service, self.address, self.zone, self.slots, self.born
        )
    }

    /// Sends check-ins for as long as the server is open.
    pub fn keep_checking_in(&self, node: SocketAddr, interval: Duration) {
        let server = self.clone();
        thread::spawn(move || {
            while server.is_open.load(Ordering::SeqCst) {
                server.check_in(node, "ready");
                thread::sleep(interval);
            }
        });
    }
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

// ---------------------------------------------------------------- machines

/// The place and the service of a machine.
#[derive(Debug, Clone)]
pub struct Place {
    pub ip: String,
    pub name: String,
    pub zone: String,
    pub region: String,
    pub service: String,
}

/// What the template of the deploy file is filled in with, besides a machine's place.
#[derive(Debug, Clone)]
pub struct Bounds {
    pub memory_mb: u32,
    pub descriptors: u32,
    pub heartbeat_ms: u32,
    pub grace_s: u32,
    pub retry_ratio: &'static str,
    pub retry_slack: u32,
    pub link_mbps: &'static str,
    pub exposure_share: &'static str,
    pub exposure_slack: &'static str,
}

/// The figures of the lenhaviva-mesh site.
pub const LENHAVIVA: Bounds = Bounds {
    memory_mb: 260,
    descriptors: 4_100,
    heartbeat_ms: 870,
    grace_s: 6,
    retry_ratio: "0.2",
    retry_slack: 62,
    link_mbps: "1000.0",
    exposure_share: "",
    exposure_slack: "",
};

/// The figures of the small machines of the aibtpn-mesh-grown site.
pub const AIBTPN: Bounds = Bounds {
    memory_mb: 160,
    descriptors: 4_100,
    heartbeat_ms: 1_500,
    grace_s: 6,
    retry_ratio: "0.2",
    retry_slack: 170,
    link_mbps: "10",
    exposure_share: "0.1",
    exposure_slack: "50",
};

/// The processes that were started and not yet waited for.
static STARTED: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

/// Ends all processes that were started.
fn end_processes() {
    let started = match STARTED.lock() {
        Ok(started) => started.clone(),
        Err(poisoned) => poisoned.into_inner().clone(),
    };
    for pid in started.into_iter().filter(|pid| *pid > 0) {
        let _ = Command::new("kill")
            .args(["-KILL", &pid.to_string()])
            .status();
    }
}

/// A machine: its node, as a process of its own.
pub struct Machine {
    pub place: Place,
    pub child: Option<Child>,
    settings: PathBuf,
    log: PathBuf,
    /// The file from which `run.sh` ends what is left if it is ended itself.
    pids: PathBuf,
    program: PathBuf,
    values: String,
}

impl Machine {
    /// Writes the settings file, as the platform fills in `deploy/node.ini`.
    pub fn new(
        root: &Path,
        folder: &Path,
        place: Place,
        bounds: &Bounds,
        store: SocketAddr,
    ) -> Self {
        let template =
            std::fs::read_to_string(root.join("deploy/node.ini")).expect("deploy/node.ini");
        let ip = place.ip.clone();
        let values = [
            ("node_name", place.name.clone()),
            ("region", place.region.clone()),
            ("zone", place.zone.clone()),
            ("limits.link_mbps", bounds.link_mbps.to_owned()),
            ("listen_addresses.outbound", format!("{ip}:8304")),
            ("listen_addresses.control_plane", format!("{ip}:8306")),
            ("listen_addresses.ready", format!("{ip}:8302")),
            ("ip_address", ip.clone()),
            ("internal_port_range.0", "7620".to_owned()),
            ("internal_port_range.1", "7635".to_owned()),
            ("platform.address", store.to_string()),
            ("service", place.service.clone()),
            ("application_address", format!("{ip}:8301")),
            ("heartbeat_interval_ms", bounds.heartbeat_ms.to_string()),
            ("bounds.retry_budget_ratio", bounds.retry_ratio.to_owned()),
            ("bounds.retry_budget_slack", bounds.retry_slack.to_string()),
            ("bounds.grace_period_s", bounds.grace_s.to_string()),
        ];
        let mut text = template;
        for (field, value) in values {
            text = text.replace(&format!("{{{{{field}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "the template has a field that is not filled in: {text}"
        );
        let settings = folder.join(format!("{}.ini", place.name));
        std::fs::write(&settings, text).expect("settings");
        let log = folder.join(format!("{}.log", place.name));
        Self {
            place,
            child: None,
            settings,
            log,
            pids: folder.join("pids"),
            program: root.join("target/release/crank-hosted"),
            values: format!(
                "limits.memory={} limits.descriptors={} rollout.share={} rollout.slack={}",
                bounds.memory_mb, bounds.descriptors, bounds.exposure_share, bounds.exposure_slack
            ),
        }
    }

    pub fn address(&self, port: u16) -> SocketAddr {
        format!("{}:{port}", self.place.ip)
            .parse()
            .expect("address")
    }

    /// Starts the node with the command of the deploy file.
    pub fn start(&mut self) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log);
        let log = log.expect("log");
        let errors = log.try_clone().expect("log");
        let child = Command::new(&self.program)
            .arg("--settings")
            .arg(&self.settings)
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("CRANK_SETTINGS", &self.values)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.child = child.ok();
        STARTED.lock().unwrap().insert(self.pid());
        if let Ok(mut pids) = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.pids)
        {
            let _ = writeln!(pids, "{}", self.pid());
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().remove(&child.id());
        }
    }

    pub fn signal(&self, signal: &str) {
        let pid = self.pid().to_string();
        let _ = Command::new("kill")
            .args([&format!("-{signal}"), &pid])
            .status();
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        match &mut self.child {
            Some(child) => child.try_wait().is_ok_and(|ended| ended.is_some()),
            None => true,
        }
    }

    pub fn is_ready(&self) -> bool {
        get(self.address(8302), name("ready")).is_ok_and(|answer| answer.status() == 200)
    }

    pub fn log_text(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; returns whether it did in time.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() > until {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// What a case is run with: the root of the repository, a temporary folder, and whether the
/// disruption happens.
pub struct Case {
    pub root: PathBuf,
    pub temporary: PathBuf,
    pub has_trouble: bool,
    pub record: Record,
    /// The first three numbers of the loopback addresses of this run.
    net: String,
}

impl Case {
    /// Reads the arguments ROOT, FOLDER and TEMPORARY FOLDER, and the variable TROUBLE.
    ///
    /// A panic ends the processes that were started, and the run counts as one that could not run.
    pub fn from_arguments() -> Self {
        let mut arguments = std::env::args().skip(1).map(PathBuf::from);
        let mut next = |what: &str| {
            arguments
                .next()
                .unwrap_or_else(|| panic!("{what} is missing"))
        };
        let root = next("the root of the repository");
        let folder = next("the folder of the case");
        let temporary = next("the temporary folder");
        let report = std::panic::take_hook();
        std::panic::set_hook(Box::new(move |panic| {
            report(panic);
            end_processes();
            std::process::exit(NOT_RUN);
        }));
        let pid = std::process::id();
        Self {
            root,
            temporary,
            has_trouble: std::env::var("TROUBLE").map_or(true, |value| value != "0"),
            record: Record::create(&folder),
            net: format!("127.{}.{}", 130 + pid / 250 % 100, 1 + pid % 250),
        }
    }

    /// Returns the loopback address of a machine.
    pub fn ip(&self, number: usize) -> String {
        format!("{}.{number}", self.net)
    }

    /// Ends all processes that were started, and the run.
    pub fn end(&self, code: i32, text: &str) -> ! {
        self.record.say(text);
        end_processes();
        std::process::exit(code)
    }
}

/// A configuration as the operator writes it. `routes` has a name, a kind, a prefix and a service;
/// `tenants` is the value of that field, or empty.
pub fn config(
    version: u64,
    max_header_bytes: u64,
    routes: &[(&str, &str, &str, &str)],
    tenants: &str,
) -> String {
    let rules: Vec<String> = routes
        .iter()
        .map(|(name, kind, prefix, service)| {
            format!(
                "{{\"name\":\"{name}\",\"kind\":\"{kind}\",\"target_latency_ms\":400,\"priority\":2,\
                 \"match\":{{\"prefix\":\"{prefix}\"}},\"action\":{{\"service\":\"{service}\",\
                 \"timeout_ms\":1500,\"max_attempts\":2}}}}"
            )
        })
        .collect();
    let services: BTreeSet<&str> = routes.iter().map(|(.., service)| *service).collect();
    let clusters: Vec<String> = services
        .iter()
        .map(|service| {
            format!(
                "{{\"name\":\"{service}\",\"health_check_path\":\"/health\",\
                 \"connection_limit\":450,\"protocol\":\"h1\",\"tls\":false}}"
            )
        })
        .collect();
    let tenants = match tenants {
        "" => String::new(),
        tenants => format!(",\"tenants\":[{tenants}]"),
    };
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":{max_header_bytes},\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"base_version\":\"{:08x}\",\"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[{}]}}],\
         \"clusters\":[{}]{tenants}}}",
        version - 1,
        rules.join(","),
        clusters.join(",")
    )
}

/// The host of all routes.
pub const HOST: &str = "jepu9.example";

/// A request of a client; `more` holds further header lines, each with its end.
#[derive(Debug, Clone)]
pub struct ClientRequest {
    pub attempt: String,
    pub path: String,
    pub bytes: Vec<u8>,
}

pub fn client_request(path: &str, deadline_ms: u64, more: &str) -> ClientRequest {
    let attempt = format!("{:016x}", draw());
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{}: {attempt}\r\n{}: {deadline_ms}\r\n{more}\r\n",
        name("attempt"),
        name("deadline")
    );
    ClientRequest {
        attempt,
        path: path.to_owned(),
        bytes: text.into_bytes(),
    }
}

/// A connection of a client that is used for several requests.
pub struct Kept {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Kept {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        writer.set_nodelay(true)?;
        writer.set_read_timeout(Some(Duration::from_secs(3)))?;
        let reader = BufReader::new(writer.try_clone()?);
        Ok(Self { writer, reader })
    }

    pub fn send(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        self.writer.write_all(bytes)
    }

    pub fn receive(&mut self) -> std::io::Result<Message> {
        read_response(&mut self.reader)
    }
}

/// Draws numbers, for ids that must differ.
pub fn draw() -> u64 {
    static STATE: AtomicU64 = AtomicU64::new(0);
    let count = STATE.fetch_add(1, Ordering::SeqCst);
    let mut x = count.wrapping_add(unix_ms().wrapping_mul(0x9E37_79B9_7F4A_7C15)) ^ (count << 32);
    x ^= x >> 30;
    x = x.wrapping_mul(0xBF58_476D_1CE4_E5B9);
    x ^= x >> 27;
    x = x.wrapping_mul(0x94D0_49BB_1331_11EB);
    x ^ (x >> 31)
}
