//! A stand-in for a client: it keeps one connection, and may read as slowly as a narrow link.

use std::io::{self, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{Message, read_head, read_message, write_message};
use crate::{ATTEMPT_ID, DEADLINE};

/// A connection of a client to the node on its machine.
pub struct Client {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
    pub host: String,
}

/// How an answer has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    Whole {
        status: u16,
        bytes: usize,
    },
    Short {
        status: u16,
        bytes: usize,
        length: usize,
        reason: String,
    },
    None {
        reason: String,
    },
}

impl Client {
    pub fn connect(address: SocketAddr, host: &str) -> io::Result<Self> {
        Self::from_stream(
            TcpStream::connect_timeout(&address, Duration::from_secs(1))?,
            host,
        )
    }

    /// Connects with the segment size of an Ethernet link and the small window that it is given.
    pub fn connect_narrow(address: SocketAddr, host: &str, window: i32) -> io::Result<Self> {
        Self::from_stream(crate::narrow::connect(address, window)?, host)
    }

    fn from_stream(stream: TcpStream, host: &str) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self {
            writer: stream.try_clone()?,
            // A large buffer would read ahead of the pace.
            reader: BufReader::with_capacity(1_024, stream),
            host: host.to_owned(),
        })
    }

    /// Sends a request.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
        deadline: Duration,
        body: &[u8],
    ) -> io::Result<()> {
        let deadline = deadline.as_millis().to_string();
        let host = self.host.clone();
        let headers = [
            ("Host", host.as_str()),
            (ATTEMPT_ID, id),
            (DEADLINE, deadline.as_str()),
        ];
        write_message(
            &mut self.writer,
            &format!("{method} {path} HTTP/1.1"),
            &headers,
            body,
        )
    }

    /// Reads a whole answer.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        read_message(&mut self.reader)
    }

    /// Reads an answer at no more than `bytes_per_s`, as a client behind a narrow link does.
    pub fn read_slowly(&mut self, bytes_per_s: u64) -> Answer {
        let started = Instant::now();
        let head = match read_head(&mut self.reader) {
            Ok(Some(head)) => head,
            Ok(None) => {
                return Answer::None {
                    reason: "closed".to_owned(),
                };
            }
            Err(error) => {
                return Answer::None {
                    reason: error.to_string(),
                };
            }
        };
        let status = head.status();
        let length = head
            .header("content-length")
            .and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        let mut bytes = 0;
        let mut part = [0_u8; 4_096];
        while bytes < length {
            let due = started + Duration::from_micros(bytes as u64 * 1_000_000 / bytes_per_s);
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let reason = match self.reader.read(&mut part) {
                Ok(0) => "closed".to_owned(),
                Err(error) => error.to_string(),
                Ok(read) => {
                    bytes += read;
                    continue;
                }
            };
            return Answer::Short {
                status,
                bytes,
                length,
                reason,
            };
        }
        Answer::Whole { status, bytes }
    }
}
