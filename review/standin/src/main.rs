//! Runs one trial of the review: starts the stand-ins and the project's processes, and judges what
//! callers, members and the platform have seen.
//!
//! `review_trial TRIAL RECORD`; exits with 1 if the rule was broken, 0 if it held and 2 if the
//! trial couldn't run. `TROUBLE=0` leaves out the disruption.

mod caller;
mod json;
mod member;
mod node;
mod record;
mod store;
mod trials;

use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Result of a trial.
pub enum Verdict {
    Held,
    Broken,
}

/// The temporary folder of a trial, removed at its end.
pub struct Folder(pub PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn main() -> ExitCode {
    let words: Vec<String> = std::env::args().collect();
    let (Some(trial), Some(file)) = (words.get(1), words.get(2)) else {
        eprintln!("usage: review_trial TRIAL RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |t| t != "0");
    let record = match record::Record::create(Path::new(file)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{file}: {error}");
            return ExitCode::from(2);
        }
    };
    record.line(&format!(
        "trial {trial}, with the disruption: {has_trouble}"
    ));
    let verdict = match trial.as_str() {
        "config" => trials::config::run(&record, has_trouble),
        "fence" => trials::fence::run(&record, has_trouble),
        "replaced" => trials::replaced::run(&record, has_trouble),
        "recover" => trials::recover::run(&record, has_trouble),
        _ => Err(format!("no trial {trial}")),
    };
    match verdict {
        Ok(Verdict::Held) => {
            record.line("verdict: the rule held");
            println!("{trial}: the rule held");
            ExitCode::SUCCESS
        }
        Ok(Verdict::Broken) => {
            record.line("verdict: the rule was broken");
            println!("{trial}: the rule was broken");
            ExitCode::from(1)
        }
        Err(problem) => {
            record.line(&format!("the trial couldn't run: {problem}"));
            println!("{trial}: couldn't run: {problem}");
            ExitCode::from(2)
        }
    }
}
