//! `crankctl explain`.

use std::path::{Path, PathBuf};

use gumdrop::Options;

use crate::{Error, Report};

pub(super) const ABOUT: &str = "\
Gathers the log lines of one request from the logs of several nodes, in the order of their times, and
says in one sentence what decided. Exits 1 if no line names the request.";

#[derive(Debug, Options)]
pub(crate) struct Explain {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, required, help = "the request's id as its caller wrote it")]
    id: String,
    #[options(free, help = "the logs of the nodes")]
    files: Vec<PathBuf>,
}

/// Printed instead of a value that a log line lacks.
const UNKNOWN: &str = "?";

/// A log line that names the request.
struct Line {
    origin: String,
    text: String,
}

impl Line {
    /// Returns the value of a key, without quotes and escapes.
    fn value(&self, key: &str) -> Option<String> {
        let split = self.text.split_once(&format!(" {key}="));
        let split = split.or_else(|| {
            let rest = self.text.strip_prefix(key)?;
            rest.strip_prefix('=').map(|rest| ("", rest))
        });
        let (_, rest) = split?;
        match rest.strip_prefix('"') {
            Some(quoted) => Some(unescape(quoted)),
            None => rest.split(' ').next().map(str::to_owned),
        }
    }

    fn time(&self) -> String {
        self.value("time").unwrap_or_default()
    }

    /// Explains the request's outcome, if this line determines it.
    fn verdict(&self) -> Option<String> {
        let value = |key| self.value(key).unwrap_or_else(|| UNKNOWN.to_owned());
        let text = match &*value("event") {
            "request not routed" => format!(
                "It was not run: no target was chosen, because of {}.",
                value("refusal")
            ),
            "request answered after more than one attempt" => format!(
                "It was answered after {} ms, by the last of {}.",
                value("took_ms"),
                value("tried")
            ),
            "request given up" => self.given_up(),
            "backend server answered with a failure" if value("again") == "false" => format!(
                "The backend server beside {} answered it with {}, which was passed on.",
                value("target"),
                value("status")
            ),
            _ => return None,
        };
        Some(text)
    }

    fn given_up(&self) -> String {
        let value = |key| self.value(key).unwrap_or_else(|| UNKNOWN.to_owned());
        let certainty = match &*value("outcome") {
            "NotRun" => "It was not run and will not be",
            "Ran" => "It ran, and its answer was lost",
            _ => "It may have run",
        };
        format!(
            "{certainty}: it was given up after {} ms, tried at {}, the last time because of {}.",
            value("took_ms"),
            value("tried"),
            value("refusal")
        )
    }
}

/// Returns the unescaped text up to the closing quote.
fn unescape(quoted: &str) -> String {
    let mut text = String::new();
    let mut characters = quoted.chars();
    while let Some(character) = characters.next() {
        match character {
            '"' => break,
            '\\' => text.extend(characters.next()),
            other => text.push(other),
        }
    }
    text
}

impl Explain {
    pub(super) fn run(self) -> Result<Report, Error> {
        let mut lines = Vec::new();
        for file in &self.files {
            read_matching_lines(file, &self.id, &mut lines)?;
        }
        lines.sort_by_cached_key(Line::time);
        let Some(verdict) = lines.iter().rev().find_map(Line::verdict) else {
            return Ok(unknown_outcome(&lines));
        };
        Ok(Report::new(format_lines(&lines) + &verdict + "\n"))
    }
}

fn read_matching_lines(file: &Path, id: &str, lines: &mut Vec<Line>) -> Result<(), Error> {
    let content = std::fs::read(file).map_err(|source| Error::LogFile {
        path: file.to_owned(),
        source,
    })?;
    let origin = file.file_stem().unwrap_or_default().to_string_lossy();
    let content = String::from_utf8_lossy(&content);
    let named = content.lines().map(|text| Line {
        origin: origin.clone().into_owned(),
        text: text.to_owned(),
    });
    lines.extend(named.filter(|line| line.value("request").as_deref() == Some(id)));
    Ok(())
}

fn format_lines(lines: &[Line]) -> String {
    let line = |line: &Line| format!("{}  {}\n", line.origin, line.text);
    lines.iter().map(line).collect()
}

fn unknown_outcome(lines: &[Line]) -> Report {
    let verdict = if lines.is_empty() {
        "No line names it: it was answered at its first attempt, or came to none of these nodes.\n"
    } else {
        "No line tells its end: its entry's log is missing, or its line was dropped.\n"
    };
    Report::new(format_lines(lines) + verdict).with_answer(false)
}
