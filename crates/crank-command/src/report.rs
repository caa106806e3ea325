//! The output of a command and its exit code.

use std::process::ExitCode;

/// The exit status of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Code 0: the command succeeded, or the answer is yes.
    Done,
    /// Code 1: the command failed, or the answer is no.
    No,
    /// Code 2: the command line is not valid.
    Usage,
}

impl Exit {
    /// Returns the exit code.
    ///
    /// ```
    /// assert_eq!(crank_command::Exit::Usage.code(), 2);
    /// ```
    #[must_use]
    pub fn code(self) -> u8 {
        match self {
            Self::Done => 0,
            Self::No => 1,
            Self::Usage => 2,
        }
    }
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        Self::from(exit.code())
    }
}

/// The standard output of a command and the exit status of the process.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The output, including the final newline.
    pub text: String,
    /// The exit status of the process.
    pub exit: Exit,
}

impl Report {
    /// Creates a report with exit code 0.
    ///
    /// ```
    /// let report = crank_command::Report::new("removed a.ini\n".to_owned());
    /// assert_eq!(report.exit.code(), 0);
    /// ```
    #[must_use]
    pub fn new(text: String) -> Self {
        Self {
            text,
            exit: Exit::Done,
        }
    }

    /// Sets exit code 0 if `yes`, otherwise 1.
    ///
    /// ```
    /// let report = crank_command::Report::new(String::new()).with_answer(false);
    /// assert_eq!(report.exit.code(), 1);
    /// ```
    #[must_use]
    pub fn with_answer(self, yes: bool) -> Self {
        let exit = if yes { Exit::Done } else { Exit::No };
        Self { exit, ..self }
    }
}
