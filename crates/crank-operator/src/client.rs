//! Questions to a node's listener for operators.

use std::sync::Arc;
use std::time::Duration;

use crank_engine::burn::BurnReport;
use crank_engine::notice::NoticeProgress;
use crank_protocol::status::{HistoryEntry, MeshStatus};
use serde::de::DeserializeOwned;

use crate::{Error, ErrorResponse};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
const LARGEST_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Asks one node.
#[derive(Debug, Clone)]
pub struct Client {
    address: Arc<str>,
    http: reqwest::Client,
}

impl Client {
    /// A client of the node whose operators' listener is at this address, `IP:port`, or its URL.
    ///
    /// # Errors
    /// [`Error::Unreachable`] where the HTTP library cannot be set up.
    ///
    /// ```
    /// assert!(crank_operator::Client::new("127.0.0.1:7003").is_ok());
    /// ```
    pub fn new(address: &str) -> Result<Self, Error> {
        let address = address.strip_prefix("http://").unwrap_or(address);
        let address = address.trim_end_matches('/');
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT)
            .no_proxy()
            .build();
        let http = http.map_err(|source| Error::Unreachable {
            address: address.into(),
            source,
        })?;
        Ok(Self {
            address: address.into(),
            http,
        })
    }

    /// The status of the whole mesh as this node sees it.
    ///
    /// # Errors
    /// [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
    ///
    /// ```no_run
    /// # async fn ask() -> Result<(), crank_operator::Error> {
    /// let mesh = crank_operator::Client::new("127.0.0.1:7003")?.status().await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn status(&self) -> Result<MeshStatus, Error> {
        self.get("status").await
    }

    /// The last accepted versions, newest first.
    ///
    /// # Errors
    /// [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
    ///
    /// ```no_run
    /// # async fn ask() -> Result<(), crank_operator::Error> {
    /// let entries = crank_operator::Client::new("127.0.0.1:7003")?.history(10).await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn history(&self, limit: u32) -> Result<Vec<HistoryEntry>, Error> {
        self.get(&format!("history?limit={limit}")).await
    }

    /// How far the account has come towards the end of its notice period.
    ///
    /// # Errors
    /// [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
    ///
    /// ```no_run
    /// # async fn ask() -> Result<(), crank_operator::Error> {
    /// let notice = crank_operator::Client::new("127.0.0.1:7003")?.notice().await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn notice(&self) -> Result<NoticeProgress, Error> {
        self.get("notice").await
    }

    /// The service levels that this node's callers met.
    ///
    /// # Errors
    /// [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
    ///
    /// ```no_run
    /// # async fn ask() -> Result<(), crank_operator::Error> {
    /// let report = crank_operator::Client::new("127.0.0.1:7003")?.burn().await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn burn(&self) -> Result<BurnReport, Error> {
        self.get("burn").await
    }

    async fn get<T: DeserializeOwned>(&self, question: &str) -> Result<T, Error> {
        let url = format!("http://{}/{question}", self.address);
        let answer = self.http.get(url).send().await;
        let answer = answer.map_err(|source| self.unreachable(source))?;
        let status = answer.status();
        let body = self.body(answer).await?;
        if !status.is_success() {
            return Err(self.refused(status.as_u16(), &body));
        }
        serde_json::from_slice(&body).map_err(|error| self.malformed(&error.to_string()))
    }

    async fn body(&self, mut answer: reqwest::Response) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let chunk = answer.chunk().await;
            match chunk.map_err(|source| self.unreachable(source))? {
                Some(chunk) => body.extend_from_slice(&chunk),
                None => return Ok(body),
            }
            if body.len() > LARGEST_ANSWER_BYTES {
                return Err(self.malformed("it is too long"));
            }
        }
    }

    fn unreachable(&self, source: reqwest::Error) -> Error {
        Error::Unreachable {
            address: Arc::clone(&self.address),
            source,
        }
    }

    fn refused(&self, status: u16, body: &[u8]) -> Error {
        let detail = match serde_json::from_slice::<ErrorResponse>(body) {
            Ok(trouble) => trouble.detail,
            Err(_) => format!("HTTP status {status}").into(),
        };
        Error::Refused {
            address: Arc::clone(&self.address),
            detail,
        }
    }

    fn malformed(&self, detail: &str) -> Error {
        Error::Malformed {
            address: Arc::clone(&self.address),
            detail: detail.into(),
        }
    }
}
