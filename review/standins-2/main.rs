//! Stand-ins for requesters, runners, the operator and the platform's store, and the cases that run them
//! around gateway processes. `standins-2 CASE FOLDER` writes `record.txt` into the folder.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod http;
mod json;
mod leaving;
mod pieces;
mod poison;
mod runner;
mod site;
mod store;

use std::process::ExitCode;

/// How a case ended.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<_> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: standins-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = site::Record::create(&format!("{folder}/record.txt"));
    record.line(&format!("case {case}, trouble {has_trouble}"));
    let verdict = match case.as_str() {
        "leaving" => leaving::run(&record, has_trouble),
        "poison" => poison::run(&record, has_trouble),
        "pieces" => pieces::run(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    match verdict {
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Verdict::Broken => {
            record.say("the rule was broken");
            ExitCode::from(1)
        }
        Verdict::CouldNotRun => {
            record.say("the case could not run");
            ExitCode::from(2)
        }
    }
}
