//! The breaker opens on failures, lets one probe through and closes on its answer.

use std::time;

use cardamomhold_core::prelude::*;
use cardamomhold_queue::prelude::*;

const RATIO: Trip = Trip::Ratio {
    window: time::Duration::from_secs(10),
    percent: 50,
    least: 10,
};

fn queue(trip: Trip) -> Queue {
    let rank = RankLimits {
        share_percent: 30,
        waiting: 100,
        target: time::Duration::from_secs(3_600),
    };
    Queue::new(Limits {
        running: 4,
        slots: 4,
        ranks: [rank; 3],
        trip,
    })
}

struct Bench {
    queue: Queue,
    now: Timestamp,
    next: u64,
}

impl Bench {
    fn new(trip: Trip) -> Self {
        Self {
            queue: queue(trip),
            now: Timestamp(0),
            next: 0,
        }
    }

    fn offer(&mut self) -> Result<JobId, Refusal> {
        let id = JobId(self.next);
        self.next += 1;
        let job = Job {
            id,
            rank: Rank::Normal,
            caller: CallerName::parse("a").expect("name"),
            weight: 1,
            deadline: self.now.after(time::Duration::from_secs(60)),
        };
        self.queue.offer(self.now, job).map(|()| id)
    }

    /// Runs one job to its end; false when it was refused.
    fn call(&mut self, ended: Ended) -> bool {
        let Ok(id) = self.offer() else {
            return false;
        };
        assert_eq!(self.queue.poll(self.now), vec![Decision::Start(id)]);
        self.pass(10);
        self.queue.finish(self.now, id, ended);
        true
    }

    /// Fails calls until the breaker is open.
    fn trip(&mut self) {
        let calls = (0..50).take_while(|_| self.call(Ended::Failed)).count();
        assert!(calls < 50, "{calls} calls failed and the breaker is closed");
    }

    fn pass(&mut self, ms: u64) {
        self.now = self.now.after(time::Duration::from_millis(ms));
    }

    /// Number of calls, every second of them failing, until one is refused.
    fn intermittent(&mut self) -> Option<usize> {
        for at in 0..1_000 {
            let ended = [Ended::Failed, ANSWERED][at % 2];
            if !self.call(ended) {
                return Some(at);
            }
        }
        None
    }
}

const ANSWERED: Ended = Ended::Answered(time::Duration::from_millis(10));

#[test]
fn ratio_sees_intermittent() {
    let tripped = Bench::new(RATIO).intermittent();
    assert!(tripped.is_some_and(|calls| calls <= 12), "{tripped:?}");
    let in_a_row = Bench::new(Trip::InARow { failures: 5 }).intermittent();
    assert_eq!(in_a_row, None);
}

#[test]
fn both_see_outage() {
    for trip in [RATIO, Trip::InARow { failures: 5 }] {
        let mut bench = Bench::new(trip);
        bench.trip();
        assert!(bench.next <= 11, "{trip:?} let {} through", bench.next);
        assert_eq!(bench.offer(), Err(Refusal::EndpointDown));
    }
}

#[test]
fn old_failures_fade() {
    let mut bench = Bench::new(RATIO);
    for _ in 0..8 {
        assert!(bench.call(Ended::Failed));
    }
    bench.pass(11_000);
    for _ in 0..9 {
        assert!(bench.call(Ended::Failed), "the window has passed");
    }
}

#[test]
fn one_probe_goes() {
    let mut bench = Bench::new(RATIO);
    bench.trip();
    bench.pass(1_100);
    let probe = bench.offer().expect("a probe");
    assert_eq!(bench.queue.poll(bench.now), vec![Decision::Start(probe)]);
    for _ in 0..20 {
        assert_eq!(bench.offer(), Err(Refusal::EndpointDown));
        bench.pass(200);
    }
    bench.queue.finish(bench.now, probe, Ended::Failed);
    assert_eq!(bench.offer(), Err(Refusal::EndpointDown));
    bench.pass(1_100);
    assert!(bench.call(ANSWERED), "the next probe");
    assert!(bench.call(ANSWERED), "closed again");
}

#[test]
fn waiting_are_told() {
    let mut bench = Bench::new(RATIO);
    let mut ids = Vec::new();
    for _ in 0..30 {
        ids.push(bench.offer().expect("room"));
    }
    bench.queue.poll(bench.now);
    let mut refused = 0;
    for id in ids {
        bench.queue.finish(bench.now, id, Ended::Failed);
        for decision in bench.queue.poll(bench.now) {
            let is_down = matches!(decision, Decision::Refuse(_, Refusal::EndpointDown));
            refused += usize::from(is_down);
        }
    }
    assert!(refused >= 16, "{refused} were told");
    assert_eq!(bench.queue.waiting(), 0);
}
