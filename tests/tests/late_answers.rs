//! Answers that come after their deadline reach nobody.

use std::time;

use cardamomhold_tests::bed;
use cardamomhold_tests::raw;

async fn caller(bed: &bed::Bed, deadline: &str) -> raw::Raw {
    let address = bed.instances[0].addresses.listen;
    let (raw, answer) = raw::Raw::connect(address, &[("cardamomhold.deadline_ms", deadline)]).await;
    assert!(answer.is_ready);
    raw
}

#[tokio::test(flavor = "multi_thread")]
async fn nobody_gets_them() {
    let bed = bed::Bed::shaped(|o| o.service_time = time::Duration::from_millis(300)).await;
    let mut patient = caller(&bed, "20000").await;
    let mut hasty = caller(&bed, "150").await;
    for n in 0..3 {
        let late = hasty.query("SELECT 1 UNION SELECT 2").await;
        assert_ne!(late.code, "");
        assert!(late.is_ready);
        let answer = patient.query("SELECT 3").await;
        assert_eq!(
            (answer.rows, answer.tags),
            (1, vec!["SELECT 1".to_owned()]),
            "{n}"
        );
    }
}
