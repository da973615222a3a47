//! While no instance can hold the tenure, operations are refused at once.

use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_limit::allocator;
use cardamomhold_limit::allowance;
use cardamomhold_limit::bounds;
use cardamomhold_workspace::directory;

const INCARNATION: u64 = 1;

fn answer(number: u64, vacant_ms: u16, grants: Option<Vec<allocator::Grant>>) -> allocator::Answer {
    allocator::Answer {
        incarnation: INCARNATION,
        number,
        holder: None,
        vacant_ms,
        grants,
    }
}

/// Guards against operations that wait for their whole target although no holder can exist, and
/// that are asked to return before one can.
#[test]
fn refused_at_once() {
    let bounds = bounds::Bounds {
        window: time::Duration::from_millis(5_000),
        overshoot: 0.1,
        slack: 0.0,
    };
    let own = name::InstanceName::parse("node-1").expect("valid");
    let voter = name::InstanceName::parse("node-2").expect("valid");
    let workspace = name::WorkspaceName::parse("workspace-1").expect("valid");
    let limit = directory::Limit {
        rate: 20.0,
        burst: 10.0,
    };
    let mut allowance = allowance::Allowance::new(Timestamp(0), &own, INCARNATION, bounds);
    allowance.set_limits(&[(workspace.clone(), limit)].into());
    let start = Timestamp(10_000_000);
    let wait = time::Duration::from_millis(100);
    let taken = allowance.take(start, 1, &workspace, start.after(wait));
    assert_eq!(taken, allowance::Taken::Waiting);
    // One answer without a holder isn't believed, the second is.
    let vacancy = time::Duration::from_millis(400);
    for turn in 0..2 {
        let now = start.after(time::Duration::from_millis(50) * turn);
        assert!(allowance.take_decisions().is_empty());
        let request = allowance.request(now).expect("an operation waits");
        allowance.record(now, &voter, &answer(request.number, 400, None));
    }
    let now = start.after(time::Duration::from_millis(50));
    let decisions = allowance.take_decisions();
    assert_eq!(decisions.len(), 1);
    let after = decisions[0].result.expect_err("no token");
    assert!(after >= vacancy, "{after:?}");
    for id in 2..8 {
        let taken = allowance.take(now, id, &workspace, now.after(wait));
        assert!(
            matches!(taken, allowance::Taken::Refused(after) if after >= vacancy),
            "{taken:?}"
        );
    }
    // A holder ends the refusals early.
    let now = now.after(time::Duration::from_millis(100));
    let request = allowance.request(now).expect("operations are expected");
    let grant = allocator::Grant {
        workspace: workspace.clone(),
        tokens: 1,
        empty_ms: 0,
    };
    allowance.record(now, &voter, &answer(request.number, 0, Some(vec![grant])));
    let taken = allowance.take(now, 8, &workspace, now.after(wait));
    assert!(matches!(taken, allowance::Taken::Permitted(_)), "{taken:?}");
    let taken = allowance.take(now, 9, &workspace, now.after(wait));
    assert_eq!(taken, allowance::Taken::Waiting);
}
