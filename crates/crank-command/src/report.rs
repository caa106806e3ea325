//! What a command says, and how the process ends.

use std::process::ExitCode;

/// How the process ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Exit {
    /// Code 0: it was done, or the answer is yes.
    Done,
    /// Code 1: it was not done, or the answer is no.
    No,
    /// Code 2: the command line is wrong.
    Usage,
}

impl Exit {
    /// The code as a number.
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

/// What a command says on the standard output, and how the process ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// The text, with its last line end.
    pub text: String,
    /// How the process ends.
    pub exit: Exit,
}

impl Report {
    /// A report of success.
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

    /// The same report, with code 1 unless `yes`.
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
