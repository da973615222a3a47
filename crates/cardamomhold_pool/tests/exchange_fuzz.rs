//! A sample that another instance made never counts as younger than it is, whatever the
//! clocks, the delays, the losses and the restarts.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::exchange;
use cardamomhold_pool::fresh;
use proptest::prelude::*;

/// Instances; the first is the reader.
const INSTANCES: usize = 3;

/// What happens next.
#[derive(Debug, Clone)]
enum Step {
    /// Time passes, in milliseconds.
    Pass(u64),
    /// An instance sees the primary's position.
    Sample(usize),
    /// An instance asks the reader.
    Ask(usize),
    /// One of the messages under way arrives, again if `again`.
    Arrive { which: usize, again: bool },
    /// One of the messages under way is lost.
    Lose(usize),
    /// An instance starts anew.
    Restart(usize),
}

#[derive(Debug, Clone)]
enum Message {
    Question {
        from: usize,
        number: u64,
        report: exchange::Report,
    },
    Answer {
        to: usize,
        number: u64,
        answer: exchange::Answer,
    },
}

struct Instance {
    exchange: exchange::Exchange,
    /// Difference of its clock from true time.
    offset: u64,
    asked: (u64, Timestamp),
}

struct World {
    now: u64,
    instances: Vec<Instance>,
    under_way: Vec<Message>,
    taken: usize,
}

fn group() -> name::GroupName {
    name::GroupName::parse("bookings").unwrap()
}

impl World {
    fn new(offsets: &[u64]) -> Self {
        let mut instances = Vec::new();
        for offset in offsets {
            instances.push(Instance {
                exchange: exchange::Exchange::new(*offset),
                offset: *offset,
                asked: (*offset, Timestamp(0)),
            });
        }
        Self {
            now: 1_000_000,
            instances,
            under_way: Vec::new(),
            taken: 0,
        }
    }

    fn clock(&self, at: usize) -> Timestamp {
        Timestamp(self.now + self.instances[at].offset)
    }

    fn step(&mut self, step: &Step) {
        self.now += 1;
        match *step {
            Step::Pass(ms) => self.now += ms * 1_000,
            Step::Sample(at) => {
                let sent = self.clock(at);
                // The number is the true time, by which the oracle judges.
                let number = position::LogPosition(self.now);
                let position = position::Position::new(position::Term(1), number);
                let sample = fresh::Sample { sent, position };
                self.instances[at].exchange.learn(&group(), sample);
            }
            Step::Ask(at) => {
                let now = self.clock(at);
                let instance = &mut self.instances[at];
                instance.asked = (instance.asked.0 + 1, now);
                self.under_way.push(Message::Question {
                    from: at,
                    number: instance.asked.0,
                    report: instance.exchange.report(),
                });
            }
            Step::Arrive { which, again } => {
                if self.under_way.is_empty() {
                    return;
                }
                let which = which % self.under_way.len();
                let message = if again {
                    self.under_way[which].clone()
                } else {
                    self.under_way.swap_remove(which)
                };
                self.arrive(&message);
            }
            Step::Lose(which) => {
                if !self.under_way.is_empty() {
                    let which = which % self.under_way.len();
                    self.under_way.swap_remove(which);
                }
            }
            Step::Restart(at) => {
                let now = self.clock(at);
                let instance = &mut self.instances[at];
                instance.exchange = exchange::Exchange::new(now.0);
                instance.asked = (now.0, Timestamp(0));
            }
        }
    }

    fn arrive(&mut self, message: &Message) {
        match message {
            Message::Question {
                from,
                number,
                report,
            } => {
                let now = self.clock(0);
                let reader = &mut self.instances[0].exchange;
                self.taken += usize::from(reader.take_report(report));
                let answer = reader.answer(now);
                self.under_way.push(Message::Answer {
                    to: *from,
                    number: *number,
                    answer,
                });
            }
            Message::Answer { to, number, answer } => {
                let now = self.clock(*to);
                let instance = &mut self.instances[*to];
                if instance.asked.0 != *number {
                    return;
                }
                let asked = instance.asked.1;
                let exchange = &mut instance.exchange;
                let is_new = exchange.take_answer(now, asked, answer);
                self.taken += usize::from(is_new);
            }
        }
    }

    /// What an instance takes for the time of a sample is never after its true time.
    fn check(&self) -> Result<(), TestCaseError> {
        for (at, instance) in self.instances.iter().enumerate() {
            let Some(sample) = instance.exchange.newest("bookings") else {
                continue;
            };
            let true_time = sample.position.log.0 + instance.offset;
            prop_assert!(
                sample.sent.0 <= true_time,
                "instance {at} takes a sample for {} us younger than it is",
                sample.sent.0 - true_time
            );
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u64..400).prop_map(Step::Pass),
        3 => (0..INSTANCES).prop_map(Step::Sample),
        3 => (1..INSTANCES).prop_map(Step::Ask),
        6 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(which, again)| Step::Arrive { which, again }),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => (0..INSTANCES).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

fn cases() -> u32 {
    let set = std::env::var("CARDAMOMHOLD_CASES").ok();
    set.and_then(|c| c.parse().ok()).unwrap_or(2_000)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: proptest::test_runner::RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn never_younger(
        offsets in prop::collection::vec(0_u64..1 << 40, INSTANCES),
        steps in steps(),
    ) {
        let mut world = World::new(&offsets);
        for step in &steps {
            world.step(step);
            world.check()?;
        }
    }
}

/// What one instance sees reaches the other by way of the reader.
#[test]
fn sample_travels() {
    let mut world = World::new(&[0, 7_000_000, 11]);
    let first = Step::Arrive {
        which: 0,
        again: false,
    };
    let steps = [
        Step::Ask(1),
        first.clone(),
        first.clone(),
        Step::Pass(250),
        Step::Sample(1),
        Step::Pass(250),
        Step::Ask(1),
        first.clone(),
        Step::Ask(2),
        Step::Arrive {
            which: 1,
            again: false,
        },
        Step::Arrive {
            which: 1,
            again: false,
        },
    ];
    for step in &steps {
        world.step(step);
    }
    assert!(world.taken >= 2, "taken {}", world.taken);
    let there = world.instances[2].exchange.newest("bookings");
    let here = world.instances[1].exchange.newest("bookings");
    assert_eq!(there.unwrap().position, here.unwrap().position);
}
