//! The cases, and what they share.

mod cut_extra_answer;
mod stale_check_in;
mod stop_cuts_answers;
mod stop_cuts_paced_answers;

use std::path::PathBuf;

use crate::Verdict;
use crate::world::Record;
use stop_cuts_paced_answers::Trouble;

pub fn run(case: &str, has_trouble: bool, record: &Record) -> Verdict {
    match case {
        "stop-cuts-answers" => stop_cuts_answers::run(has_trouble, record),
        "cut-extra-answer" => cut_extra_answer::run(has_trouble, record),
        "stale-check-in" => stale_check_in::run(has_trouble, record),
        "stop-cuts-paced-answers" => {
            stop_cuts_paced_answers::run(Trouble::Stop, has_trouble, record)
        }
        "kill-cuts-paced-answers" => {
            stop_cuts_paced_answers::run(Trouble::Kill, has_trouble, record)
        }
        _ => Verdict::CouldNotRun,
    }
}

/// A folder for settings and logs, which is deleted at the end of the case.
pub struct Folder(PathBuf);

impl Folder {
    pub fn new() -> Self {
        let name = format!("crank-review-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a temporary folder");
        Self(path)
    }

    pub fn path(&self) -> String {
        self.0.display().to_string()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        }
    }
}

pub const HOST: &str = "jepu9.example";

/// A configuration with one service: reads below `/lepu270/`, which are safe, and orders below
/// `/xapu221/`, which may run at most once.
pub fn config(version: u32, service: &str, timeout_ms: u64) -> String {
    format!(
        "{{\"version\":\"{version:08x}\",\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":67108864,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"base_version\":\"00000000\",\"listeners\":[{{\"host\":\"{HOST}\",\"rules\":[\
         {{\"name\":\"r-reads\",\"kind\":\"safe\",\"target_latency_ms\":800,\"priority\":2,\
         \"match\":{{\"prefix\":\"/lepu270/\"}},\"action\":{{\"service\":\"{service}\",\
         \"timeout_ms\":{timeout_ms},\"max_attempts\":2}}}},\
         {{\"name\":\"r-orders\",\"kind\":\"unsafe\",\"target_latency_ms\":800,\"priority\":1,\
         \"match\":{{\"prefix\":\"/xapu221/\"}},\"action\":{{\"service\":\"{service}\",\
         \"timeout_ms\":{timeout_ms},\"max_attempts\":2}}}}]}}],\
         \"clusters\":[{{\"name\":\"{service}\",\"health_check_path\":\"/health\",\
         \"connection_limit\":130,\"protocol\":\"h1\",\"tls\":false}}]}}"
    )
}
