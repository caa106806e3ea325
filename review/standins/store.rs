//! A stand-in for the platform's metadata store: rows, transactions and the feed of changes.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_message};
use crate::json::{Json, to_base64};
use crate::{ROWS_FEED_PATH, ROWS_GET_PATH, ROWS_TX_PATH};

const JSON_TYPE: (&str, &str) = ("Content-Type", "application/json");

/// The table, part and key of a row.
type RowKey = (String, String, String);

#[derive(Default)]
struct Rows {
    /// The value of each row, and the transaction that wrote it.
    rows: BTreeMap<RowKey, (String, u64)>,
    version: u64,
}

/// The store; clones share its rows.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    rows: Arc<(Mutex<Rows>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the store");
        let store = Self {
            address: listener.local_addr().expect("the store's address"),
            rows: Arc::default(),
            started: Instant::now(),
        };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    /// Writes the operators' configuration.
    pub fn put_config(&self, text: &str) {
        let key = ("op".to_owned(), String::new(), "config".to_owned());
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("rows");
        rows.version += 1;
        let version = rows.version;
        rows.rows.insert(key, (to_base64(text.as_bytes()), version));
        changed.notify_all();
    }

    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(reading) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reading);
        while let Ok(Some(request)) = read_message(&mut reader) {
            let (status, body) = self.answer(&request);
            let sent = write_message(&mut stream, status, &[JSON_TYPE], body.as_bytes());
            if sent.is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (&'static str, String) {
        const OK: &str = "HTTP/1.1 200 OK";
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let query = parse_query(query);
        let param = |name: &str| query.get(name).cloned().unwrap_or_default();
        if path == ROWS_GET_PATH {
            let (table, part, from) = (param("table"), param("part"), param("from"));
            let target = query.get("target");
            let rows = self.rows.0.lock().expect("rows");
            let body = self.page(&rows, |key, _| {
                key.0 == table
                    && key.1 == part
                    && key.2 >= from
                    && target.is_none_or(|t| key.2 < *t)
            });
            (OK, body)
        } else if path == ROWS_FEED_PATH {
            let after = param("after").parse().unwrap_or(0);
            let wait = Duration::from_millis(param("wait_ms").parse().unwrap_or(0));
            (OK, self.feed(&param("table"), after, wait))
        } else if path == ROWS_TX_PATH {
            self.transact(&String::from_utf8_lossy(&request.body))
        } else {
            ("HTTP/1.1 404 Not Found", "{}".to_owned())
        }
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let is_news = |key: &RowKey, version: u64| key.0 == table && version > after;
        let end = Instant::now() + wait;
        let mut rows = self.rows.0.lock().expect("rows");
        loop {
            let has_news = rows
                .rows
                .iter()
                .any(|(key, (_, version))| is_news(key, *version));
            let left = end.saturating_duration_since(Instant::now());
            if has_news || left.is_zero() {
                return self.page(&rows, is_news);
            }
            rows = self.rows.1.wait_timeout(rows, left).expect("rows").0;
        }
    }

    fn page(&self, rows: &Rows, filter: impl Fn(&RowKey, u64) -> bool) -> String {
        let listed = rows
            .rows
            .iter()
            .filter(|(key, (_, version))| filter(key, *version));
        let listed: Vec<String> = listed
            .map(|((table, part, key), (value, version))| {
                format!(
                    "{{\"table\":\"{table}\",\"part\":\"{part}\",\"key\":\"{key}\",\
                     \"value\":\"{value}\",\"schema_version\":{version}}}"
                )
            })
            .collect();
        format!(
            "{{\"rows\":[{}],\"has_more\":false,\"schema_version\":{},\"now_ms\":{}}}",
            listed.join(","),
            rows.version,
            self.started.elapsed().as_millis()
        )
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(body) = Json::parse(body) else {
            return ("HTTP/1.1 400 Bad Request", "{}".to_owned());
        };
        let key = |row: &Json| (row.text("table"), row.text("part"), row.text("key"));
        let (rows, changed) = &*self.rows;
        let mut rows = rows.lock().expect("rows");
        for expected in body.list("expected_revision") {
            let held = rows
                .rows
                .get(&key(expected))
                .map_or(0, |(_, version)| *version);
            if held != expected.number("schema_version") {
                return (
                    "HTTP/1.1 412 Precondition Failed",
                    "{\"rows\":[]}".to_owned(),
                );
            }
        }
        rows.version += 1;
        let version = rows.version;
        for row in body.list("write") {
            rows.rows.insert(key(row), (row.text("value"), version));
        }
        for row in body.list("remove") {
            rows.rows.remove(&key(row));
        }
        changed.notify_all();
        let now = self.started.elapsed().as_millis();
        (
            "HTTP/1.1 200 OK",
            format!("{{\"schema_version\":{version},\"now_ms\":{now}}}"),
        )
    }
}

fn parse_query(text: &str) -> BTreeMap<String, String> {
    let pairs = text.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .map(|(name, value)| (decode(name), decode(value)))
        .collect()
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.as_bytes();
    while let Some((first, after)) = rest.split_first() {
        rest = after;
        let code = after.get(..2).and_then(|hex| std::str::from_utf8(hex).ok());
        let code = code.and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (first, code) {
            (b'%', Some(byte)) => {
                bytes.push(byte);
                rest = &after[2..];
            }
            (b'+', _) => bytes.push(b' '),
            (byte, _) => bytes.push(*byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
