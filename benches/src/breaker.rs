//! The breaker's rules compared on endpoints that fail now and then, or hang.

use std::fmt::Write as _;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_queue::breaker;

use crate::endpoint;
use crate::flood;
use crate::load;
use crate::size;

const SPAN: time::Duration = time::Duration::from_secs(60);
const FROM: Timestamp = Timestamp(10_000_000);
const UNTIL: Timestamp = Timestamp(40_000_000);

/// The rules, with their names.
const TRIPS: [(&str, breaker::Trip); 4] = [
    ("none", breaker::Trip::Never),
    ("5 in a row", breaker::Trip::Consecutive { failures: 5 }),
    ("50 % of 10 in 10 s", ratio(50, 10)),
    ("90 % of 5 in 10 s", ratio(90, 5)),
];

const fn ratio(percent: u32, least: u32) -> breaker::Trip {
    breaker::Trip::Ratio {
        window: time::Duration::from_secs(10),
        percent,
        min_calls: least,
    }
}

/// The endpoint's troubles, with their names.
fn troubles() -> Vec<(String, endpoint::Health)> {
    let mut troubles = Vec::new();
    for percent in [30, 50, 70, 100] {
        let health = endpoint::Health::Failing {
            percent,
            from: FROM,
            until: UNTIL,
        };
        troubles.push((format!("{percent} % fail"), health));
    }
    let hung = endpoint::Health::Hung {
        from: FROM,
        until: UNTIL,
    };
    troubles.push(("hung".to_owned(), hung));
    troubles
}

/// A table of what each rule does to the requests that are sent during each trouble.
pub fn table(size: &size::Size, seed: u64) -> String {
    let mut text = String::from(
        "| trouble | rule | answered in time, % | asked in vain | mean time to a refusal or failure, ms | prompt in the 5 s after, % |\n",
    );
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    let requests = load::generate(size, &[], SPAN, seed);
    for (trouble, health) in troubles() {
        for (rule, trip) in TRIPS {
            let policy = endpoint::Policy::queue(size, trip);
            let run = endpoint::Run::new(size, policy, health, requests.clone()).finish();
            let row = row(&run);
            // Writing to a string never fails.
            let _ = writeln!(text, "| {trouble} | {rule} | {row} |");
        }
    }
    text
}

fn row(requests: &[load::Request]) -> String {
    let sent = requests.iter().filter(|r| r.sent >= FROM && r.sent < UNTIL);
    let answered = flood::part(sent.clone(), flood::is_useful);
    let failed = sent
        .clone()
        .filter(|r| matches!(r.fate, load::Fate::Failed(_)));
    let (mut waited, mut unanswered) = (time::Duration::ZERO, 0);
    for request in sent {
        if let load::Fate::Failed(at) | load::Fate::Refused(at) = request.fate {
            waited += at.since(request.sent);
            unanswered += 1;
        }
    }
    let mean = waited.as_secs_f64() * 1e3 / f64::from(unanswered.max(1));
    let after = UNTIL.after(time::Duration::from_secs(5));
    let after = requests
        .iter()
        .filter(|r| r.sent >= UNTIL && r.sent < after);
    let prompt = flood::part(after, flood::is_prompt);
    format!(
        "{answered:.1} | {} | {mean:.0} | {prompt:.1}",
        failed.count()
    )
}
