//! Work that can't be answered in time is refused when it comes, not when it is late.

use std::time;

use cardamomhold_core::prelude::*;
use cardamomhold_queue::prelude::*;

const SERVICE: time::Duration = time::Duration::from_millis(10);

fn queue() -> Queue {
    let rank = RankLimits {
        share_percent: 30,
        waiting: 1_000,
        target: time::Duration::from_secs(3_600),
    };
    Queue::new(Limits {
        running: 1,
        slots: 1,
        ranks: [rank; 3],
        trip: Trip::Never,
    })
}

fn job(id: u64, deadline: Timestamp) -> Job {
    Job {
        id: JobId(id),
        rank: Rank::Urgent,
        caller: CallerName::parse("a").expect("name"),
        weight: 1,
        deadline,
    }
}

/// Offers one job each 2 ms, five times what the endpoint can do, for `steps` jobs.
fn overload(queue: &mut Queue, steps: u64, allowance: time::Duration) -> (usize, usize) {
    let mut runs: Option<(JobId, Timestamp, Timestamp)> = None;
    let mut deadlines = Vec::new();
    let (mut in_time, mut late) = (0, 0);
    for id in 0..steps {
        let now = Timestamp::from_millis(2 * id);
        if let Some((job, end, deadline)) = runs.take_if(|(_, end, _)| *end <= now) {
            queue.finish(now, job, Ended::Answered(SERVICE));
            if end <= deadline {
                in_time += 1;
            } else {
                late += 1;
            }
        }
        let deadline = now.after(allowance);
        deadlines.push(deadline);
        // A refusal at once is what this is about.
        let _ = queue.offer(now, job(id, deadline));
        for decision in queue.poll(now) {
            match decision {
                Decision::Start(id) => {
                    runs = Some((id, now.after(SERVICE), deadlines[id.0 as usize]));
                }
                Decision::Refuse(..) => late += 1,
            }
        }
    }
    (in_time, late)
}

#[test]
fn refused_at_once() {
    let mut queue = queue();
    let (in_time, late) = overload(&mut queue, 5_000, time::Duration::from_millis(200));
    // 10 s of virtual time are 1,000 services.
    assert!(in_time >= 950, "{in_time} in time");
    assert!(late <= 20, "{late} accepted and not answered in time");
}

#[test]
fn recovers_from_slowness() {
    let mut queue = queue();
    // Far slower than any deadline, so that every estimate says "no".
    let mut now = Timestamp(0);
    for id in 0..50 {
        let slow = time::Duration::from_secs(10);
        queue
            .offer(now, job(id, now.after(slow * 2)))
            .expect("room");
        assert_eq!(queue.poll(now), vec![Decision::Start(JobId(id))]);
        now = now.after(slow);
        queue.finish(now, JobId(id), Ended::Answered(slow));
    }
    for id in 50..60 {
        let deadline = now.after(time::Duration::from_millis(100));
        queue.offer(now, job(id, deadline)).expect("trial");
        assert_eq!(queue.poll(now), vec![Decision::Start(JobId(id))]);
        now = now.after(SERVICE);
        queue.finish(now, JobId(id), Ended::Answered(SERVICE));
    }
}
