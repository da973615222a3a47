//! The lease of an instance that has restarted.

use cardamomhold_core::time::Timestamp;
use cardamomhold_lead::lease;

/// An instance that acknowledged the end of a leadership and then restarted doesn't rely on another
/// instance's confirmation from before its start, which doesn't include that end. Guards against
/// writes at a replaced primary (found by `lease_fuzz`, seed 15074 of 100,000).
#[test]
fn earlier_confirmation_is_ignored() {
    let at = Timestamp::from_millis;
    let mut lease = lease::Lease::new(at(4_740));
    lease.confirm(at(4_015));
    assert!(!lease.is_valid(at(4_780)));
    assert!(!lease.may_confirm_others());
    lease.confirm(at(4_750));
    assert!(lease.is_valid(at(4_780)));
    assert!(lease.may_confirm_others());
}
