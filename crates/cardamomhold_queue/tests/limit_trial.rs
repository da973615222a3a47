//! The concurrency limit finds the endpoint's number of slots.

use std::time;

use cardamomhold_queue::limit;

/// Answers recorded before a limit is checked.
const SAMPLES: usize = 100_000;

/// Service time, in microseconds, of an endpoint that shares `slots` among `running` jobs.
fn service_us(slots: usize, running: usize, step: usize) -> u64 {
    // Quantiles of an exponential distribution, in a repeating order.
    let quantile = (step * 617 % 1_000) as f64 / 1_000.0;
    let unshared = -10_000.0 * (1.0 - quantile - 0.000_5).ln();
    let slowdown = (running as f64 / slots as f64).max(1.0);
    (unshared * slowdown) as u64 + 1
}

/// Records `samples` service times; returns the mean limit over the second half of them.
fn run_samples(limit: &mut limit::Limit, slots: usize, samples: usize) -> f64 {
    let mut sum = 0;
    for step in 0..samples {
        let sample_us = service_us(slots, limit.get(), step);
        limit.record(step % 3, time::Duration::from_micros(sample_us));
        if step >= samples / 2 {
            sum += limit.get();
        }
    }
    sum as f64 / (samples / 2) as f64
}

#[test]
fn finds_slots() {
    for slots in [2, 3, 6, 20] {
        for initial in [1, 3, 50] {
            let mut limit = limit::Limit::new(initial, 50);
            let mean = run_samples(&mut limit, slots, SAMPLES);
            let (min, max) = (slots as f64 * 0.95, slots as f64 * 1.25);
            assert!(
                (min..=max).contains(&mean),
                "slots {slots} initial {initial} mean {mean}"
            );
        }
    }
}

#[test]
fn follows_endpoint() {
    let mut limit = limit::Limit::new(8, 50);
    run_samples(&mut limit, 8, SAMPLES / 50);
    let degraded = run_samples(&mut limit, 2, SAMPLES / 8);
    assert!(degraded <= 3.2, "degraded {degraded}");
    let recovered = run_samples(&mut limit, 8, SAMPLES);
    assert!(recovered >= 6.4, "recovered {recovered}");
}

#[test]
fn never_exceeds_max() {
    let mut limit = limit::Limit::new(50, 4);
    let mut highest = 0;
    for step in 0..SAMPLES {
        let sample_us = service_us(100, limit.get(), step);
        limit.record(0, time::Duration::from_micros(sample_us));
        highest = highest.max(limit.get());
    }
    assert_eq!(highest, 4);
    limit.set_max(2);
    assert_eq!(limit.get(), 2);
}
