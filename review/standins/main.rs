//! The stand-ins of the review: `standin CASE FOLDER` plays a case and writes FOLDER/record.txt.
//!
//! Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
//! TROUBLE=0 in the environment the disruption is left out.

mod cases;
mod client;
mod http;
mod json;
mod narrow;
mod server;
mod store;
mod world;

include!("names.inc");

/// The result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        std::process::exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = world::Record::new(&format!("{folder}/record.txt"));
    let verdict = cases::run(case, has_trouble, &record);
    let (text, code) = match verdict {
        Verdict::Held => ("the rule held", 0),
        Verdict::Broken => ("the rule was broken", 1),
        Verdict::CouldNotRun => ("the case could not run", 2),
    };
    record.line(&format!("verdict: {text}"));
    println!("{case}: {text}");
    std::process::exit(code);
}
