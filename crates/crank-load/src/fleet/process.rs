//! One child process of an experiment.

use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::sync::Arc;
use std::time::Duration;

use nix::unistd::Pid;
use parking_lot::Mutex;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};

use crate::Error;

const START_LIMIT: Duration = Duration::from_secs(30);
const LOG_TAIL_BYTES: usize = 600;

/// What is done to a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Signal {
    /// Killed at once.
    Kill,
    /// Asked to leave.
    Terminate,
    /// Frozen.
    Freeze,
    /// Woken.
    Wake,
}

/// A running child process; it is killed when dropped.
#[derive(Debug)]
pub struct Process {
    name: Arc<str>,
    child: Child,
    log: PathBuf,
    listening: Arc<str>,
    last_line: Arc<Mutex<Arc<str>>>,
}

impl Process {
    /// Starts a program that stands beside the running one, and waits for its first line.
    ///
    /// Its log goes to a file in `logs`, named after it.
    ///
    /// # Errors
    /// [`Error::Start`], [`Error::File`], [`Error::Silent`] or [`Error::Unexpected`].
    pub async fn start(
        name: &str,
        program: &Path,
        arguments: &[String],
        logs: &Path,
    ) -> Result<Self, Error> {
        let log = logs.join(format!("{name}.log"));
        let file = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&log)
            .map_err(|source| Error::File {
                path: log.clone(),
                source,
            })?;
        let mut child = Command::new(program)
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(file)
            .kill_on_drop(true)
            .spawn()
            .map_err(|source| Error::Start {
                program: program.to_owned(),
                source,
            })?;
        let stdout = child.stdout.take().map(|out| BufReader::new(out).lines());
        let mut process = Self {
            name: name.into(),
            child,
            log,
            listening: Arc::from(""),
            last_line: Arc::default(),
        };
        process.listening = process.first_line(stdout).await?;
        Ok(process)
    }

    async fn first_line(
        &self,
        lines: Option<Lines<BufReader<ChildStdout>>>,
    ) -> Result<Arc<str>, Error> {
        let silent = || Error::Silent {
            program: self.name.clone(),
            log_tail: self.log_tail().into(),
        };
        let mut lines = lines.ok_or_else(silent)?;
        let first = tokio::time::timeout(START_LIMIT, lines.next_line()).await;
        let line = first
            .ok()
            .and_then(Result::ok)
            .flatten()
            .ok_or_else(silent)?;
        let last_line = self.last_line.clone();
        tokio::spawn(async move {
            while let Ok(Some(line)) = lines.next_line().await {
                *last_line.lock() = line.into();
            }
        });
        match line.strip_prefix("listening ") {
            Some(addresses) => Ok(addresses.into()),
            None => Err(Error::Unexpected {
                program: self.name.clone(),
                line: line.into(),
            }),
        }
    }

    /// What the program said after `listening` in its first line.
    #[must_use]
    pub fn listening(&self) -> &str {
        &self.listening
    }

    /// The last line that the program wrote after its first; empty where there was none.
    #[must_use]
    pub fn last_line(&self) -> Arc<str> {
        self.last_line.lock().clone()
    }

    /// The address under a key in the program's first line, such as `callers=127.0.0.1:80`.
    #[must_use]
    pub fn address(&self, key: &str) -> Option<&str> {
        self.listening
            .split_whitespace()
            .filter_map(|word| word.split_once('='))
            .find_map(|(found, address)| (found == key).then_some(address))
    }

    /// The process id; absent once the process has been waited for.
    #[must_use]
    pub fn id(&self) -> Option<u32> {
        self.child.id()
    }

    /// Sends a signal.
    ///
    /// # Errors
    /// [`Error::Signal`] where the process is not there any more.
    pub fn signal(&self, signal: Signal) -> Result<(), Error> {
        let gone = Error::Signal {
            program: self.name.clone(),
            source: nix::errno::Errno::ESRCH,
        };
        let pid = self
            .id()
            .and_then(|id| i32::try_from(id).ok())
            .ok_or(gone)?;
        nix::sys::signal::kill(Pid::from_raw(pid), number(signal)).map_err(|source| Error::Signal {
            program: self.name.clone(),
            source,
        })
    }

    /// Waits for the process to end, and gives its exit code; absent where a signal ended it.
    ///
    /// # Errors
    /// [`Error::Timeout`] where it has not ended in time.
    pub async fn wait_for_exit(&mut self, limit: Duration) -> Result<Option<i32>, Error> {
        let waited = Error::Timeout {
            what: format!("the end of {}", self.name).into(),
            waited_ms: u64::try_from(limit.as_millis()).unwrap_or(u64::MAX),
        };
        let ended = tokio::time::timeout(limit, self.child.wait()).await;
        match ended {
            Ok(Ok(status)) => Ok(status.code()),
            _ => Err(waited),
        }
    }

    /// The end of the program's log.
    #[must_use]
    pub fn log_tail(&self) -> String {
        let text = std::fs::read(&self.log).unwrap_or_default();
        let start = text.len().saturating_sub(LOG_TAIL_BYTES);
        String::from_utf8_lossy(&text[start..]).into_owned()
    }

    /// The whole of the program's log.
    #[must_use]
    pub fn log(&self) -> String {
        String::from_utf8_lossy(&std::fs::read(&self.log).unwrap_or_default()).into_owned()
    }
}

fn number(signal: Signal) -> nix::sys::signal::Signal {
    match signal {
        Signal::Kill => nix::sys::signal::SIGKILL,
        Signal::Terminate => nix::sys::signal::SIGTERM,
        Signal::Freeze => nix::sys::signal::SIGSTOP,
        Signal::Wake => nix::sys::signal::SIGCONT,
    }
}
