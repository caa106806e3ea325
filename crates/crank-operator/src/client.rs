//! HTTP client of a node's operators' listener.

use std::sync::Arc;
use std::time::Duration;

use crank_engine::burn::BurnReport;
use crank_engine::notice::NoticeProgress;
use crank_protocol::status::{HistoryEntry, MeshStatus, NodeAccounts};
use serde::de::DeserializeOwned;

use crate::{Error, ErrorResponse};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(10);
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Queries the operators' listener of one node.
#[derive(Debug, Clone)]
pub struct Client {
    address: Arc<str>,
    http: reqwest::Client,
}

impl Client {
    /// Creates a client for the operators' listener at `address`, given as `IP:port` or as an
    /// `http://` URL.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`] if the HTTP client cannot be set up.
    ///
    /// ```
    /// assert!(crank_operator::Client::new("127.0.0.1:7003").is_ok());
    /// ```
    pub fn new(address: &str) -> Result<Self, Error> {
        let address = address.strip_prefix("http://").unwrap_or(address);
        let address = address.trim_end_matches('/');
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(RESPONSE_TIMEOUT)
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

    /// Fetches the status of the whole mesh as this node sees it.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
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

    /// Fetches up to `limit` accepted versions, newest first.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
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

    /// Fetches what remains to be done before the end of the account's notice period.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
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

    /// Fetches the client accounts as this node sees them.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
    ///
    /// ```no_run
    /// # async fn ask() -> Result<(), crank_operator::Error> {
    /// let accounts = crank_operator::Client::new("127.0.0.1:7003")?.accounts().await?;
    /// # Ok(())
    /// # }
    /// ```
    pub async fn accounts(&self) -> Result<NodeAccounts, Error> {
        self.get("accounts").await
    }

    /// Fetches the service-level counts of the requests that callers sent to this node.
    ///
    /// # Errors
    /// Returns [`Error::Unreachable`], [`Error::Refused`] or [`Error::Malformed`].
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

    async fn get<T: DeserializeOwned>(&self, path_and_query: &str) -> Result<T, Error> {
        let url = format!("http://{}/{path_and_query}", self.address);
        let response = self.http.get(url).send().await;
        let response = response.map_err(|source| self.unreachable(source))?;
        let status = response.status();
        let body = self.read_body(response).await?;
        if !status.is_success() {
            return Err(self.refused(status.as_u16(), &body));
        }
        serde_json::from_slice(&body).map_err(|error| self.malformed(&error.to_string()))
    }

    async fn read_body(&self, mut response: reqwest::Response) -> Result<Vec<u8>, Error> {
        let mut body = Vec::new();
        loop {
            let chunk = response.chunk().await;
            match chunk.map_err(|source| self.unreachable(source))? {
                Some(chunk) => body.extend_from_slice(&chunk),
                None => return Ok(body),
            }
            if body.len() > MAX_RESPONSE_BYTES {
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
            Ok(response) => response.detail,
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
