//! A voter that has just started confirms nobody until its voters are known to be current.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::voters;
use cardamomhold_limit::bounds;
use cardamomhold_limit::tenure;
use cardamomhold_limit::tenure::voter;

/// Guards against votes by voters that are older than those that the process before had adopted,
/// and against an abstention that begins only when voting is allowed.
#[test]
fn not_before_allowed() {
    let candidate = name::InstanceName::parse("node-1").expect("valid");
    let start = Timestamp(10_000_000);
    let mut voter = voter::Voter::new(start, bounds::Timing::default());
    voter.adopt(start, &voters::Voters::first([candidate.clone()].into()));
    let mut number = 0;
    let mut ask = |voter: &mut voter::Voter, ms: u64| {
        number += 1;
        let request = tenure::Request {
            incarnation: 1,
            number,
            held: None,
            former: None,
        };
        let now = start.after(time::Duration::from_millis(ms));
        voter.confirm(now, &candidate, &request).is_confirmed
    };
    assert!(!ask(&mut voter, 5_000));
    voter.allow();
    assert!(!ask(&mut voter, 749));
    assert!(ask(&mut voter, 5_001));
}
