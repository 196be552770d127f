//! Runs one case of the review. Exit status: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

#![recursion_limit = "256"]

mod channels;
mod cluster;
mod handover;
mod http;
mod record;
mod store;
mod watchers;
mod workers;

use std::{path::PathBuf, process::ExitCode, thread, time::Duration};

use record::Record;

/// A case that takes longer than this has not run.
const LIMIT: Duration = Duration::from_secs(115);

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = words.as_slice() else {
        eprintln!("usage: review-standin CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let Ok(record) = Record::create(&PathBuf::from(path)) else { return ExitCode::from(2) };
    let (done, result) = std::sync::mpsc::channel();
    let (case, copy) = (case.clone(), record.clone());
    let runner = thread::spawn(move || {
        let outcome = match case.as_str() {
            "channels" => channels::run(&copy, has_trouble),
            "handover" => handover::run(&copy, has_trouble),
            "watchers" => watchers::run(&copy, has_trouble),
            _ => Err(std::io::Error::other("no such case")),
        };
        let _sent = done.send(outcome);
    });
    let outcome = match result.recv_timeout(LIMIT) {
        Ok(outcome) => outcome,
        Err(_) => {
            cluster::end_all();
            Err(std::io::Error::other("the case took too long"))
        }
    };
    drop(runner);
    let (text, code) = match outcome {
        Ok(true) => ("the rule held".to_owned(), 0),
        Ok(false) => ("the rule was broken".to_owned(), 1),
        Err(error) => (format!("the case could not run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
