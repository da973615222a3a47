//! Compares the trip rules of the circuit breaker on endpoints that fail intermittently or hang.

use std::fmt::Write as _;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_queue::breaker;

use crate::endpoint;
use crate::flood;
use crate::load;
use crate::size;

/// Time during which requests arrive.
const RUN_TIME: time::Duration = time::Duration::from_secs(60);
/// Start of the fault.
const FAULT_START: Timestamp = Timestamp(10_000_000);
/// End of the fault.
const FAULT_END: Timestamp = Timestamp(40_000_000);

/// Trip rules with their names.
const TRIPS: [(&str, breaker::Trip); 4] = [
    ("none", breaker::Trip::Never),
    ("5 in a row", breaker::Trip::Consecutive { failures: 5 }),
    ("50 % of 10 in 10 s", ratio(50, 10)),
    ("90 % of 5 in 10 s", ratio(90, 5)),
];

const fn ratio(percent: u32, min_calls: u32) -> breaker::Trip {
    breaker::Trip::Ratio {
        window: time::Duration::from_secs(10),
        percent,
        min_calls,
    }
}

/// Returns the faults of the endpoint with their names.
fn faults() -> Vec<(String, endpoint::Health)> {
    let mut faults = Vec::new();
    for percent in [30, 50, 70, 100] {
        let health = endpoint::Health::Failing {
            percent,
            from: FAULT_START,
            until: FAULT_END,
        };
        faults.push((format!("{percent} % fail"), health));
    }
    let hung = endpoint::Health::Hung {
        from: FAULT_START,
        until: FAULT_END,
    };
    faults.push(("hung".to_owned(), hung));
    faults
}

/// Returns a table of the outcomes, by rule, of the requests sent during each fault.
pub fn table(size: &size::Size, seed: u64) -> String {
    let mut text = String::from(
        "| trouble | rule | answered in time, % | asked in vain | mean time to a refusal or failure, ms | prompt in the 5 s after, % |\n",
    );
    text.push_str("| --- | --- | --- | --- | --- | --- |\n");
    let requests = load::generate(size, &[], RUN_TIME, seed);
    for (fault, health) in faults() {
        for (rule, trip) in TRIPS {
            let policy = endpoint::Policy::queue(size, trip);
            let run = endpoint::Run::new(size, policy, health, requests.clone()).finish();
            let row = row(&run);
            // Writing to a `String` can't fail.
            let _ = writeln!(text, "| {fault} | {rule} | {row} |");
        }
    }
    text
}

fn row(requests: &[load::Request]) -> String {
    let sent = requests
        .iter()
        .filter(|r| r.sent >= FAULT_START && r.sent < FAULT_END);
    let answered = flood::percent_matching(sent.clone(), flood::meets_deadline);
    let failed = sent
        .clone()
        .filter(|r| matches!(r.outcome, load::Outcome::Failed(_)));
    let (mut waited, mut unanswered) = (time::Duration::ZERO, 0);
    for request in sent {
        if let load::Outcome::Failed(at) | load::Outcome::Refused(at) = request.outcome {
            waited += at.since(request.sent);
            unanswered += 1;
        }
    }
    let mean = waited.as_secs_f64() * 1e3 / f64::from(unanswered.max(1));
    let after = FAULT_END.after(time::Duration::from_secs(5));
    let after = requests
        .iter()
        .filter(|r| r.sent >= FAULT_END && r.sent < after);
    let prompt = flood::percent_matching(after, flood::meets_target);
    format!(
        "{answered:.1} | {} | {mean:.0} | {prompt:.1}",
        failed.count()
    )
}
