//! Property test: an instance never takes another instance's sample for younger than it is,
//! under clock offsets, delays, message loss, duplicates and restarts.

// `clippy.toml` allows `unwrap` in tests only, not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_pool::exchange;
use cardamomhold_pool::sample;
use proptest::prelude::*;

/// Number of instances; the first one answers the requests of the others.
const INSTANCES: usize = 3;

/// One event of the simulation.
#[derive(Debug, Clone)]
enum Step {
    /// This many milliseconds pass.
    Advance(u64),
    /// An instance samples the primary's position.
    Sample(usize),
    /// An instance sends a request to the first one.
    Request(usize),
    /// One of the messages in flight arrives; it stays in flight if `duplicate`.
    Arrive { index: usize, duplicate: bool },
    /// One of the messages in flight is lost.
    Lose(usize),
    /// An instance restarts.
    Restart(usize),
}

#[derive(Debug, Clone)]
enum Message {
    Request {
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
    /// Offset of its clock from true time, in microseconds.
    offset: u64,
    /// Number and send time of its last request.
    last_request: (u64, Timestamp),
}

struct World {
    now: u64,
    instances: Vec<Instance>,
    in_flight: Vec<Message>,
    /// Messages that brought a new sample.
    accepted: usize,
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
                last_request: (*offset, Timestamp(0)),
            });
        }
        Self {
            now: 1_000_000,
            instances,
            in_flight: Vec::new(),
            accepted: 0,
        }
    }

    fn clock(&self, index: usize) -> Timestamp {
        Timestamp(self.now + self.instances[index].offset)
    }

    fn step(&mut self, step: &Step) {
        self.now += 1;
        match *step {
            Step::Advance(ms) => self.now += ms * 1_000,
            Step::Sample(index) => {
                let sent = self.clock(index);
                // The log position is the true time, which `check` compares with.
                let number = position::LogPosition(self.now);
                let position = position::Position::new(position::Term(1), number);
                let sample = sample::Sample { sent, position };
                self.instances[index].exchange.insert(&group(), sample);
            }
            Step::Request(index) => {
                let now = self.clock(index);
                let instance = &mut self.instances[index];
                instance.last_request = (instance.last_request.0 + 1, now);
                self.in_flight.push(Message::Request {
                    from: index,
                    number: instance.last_request.0,
                    report: instance.exchange.report(),
                });
            }
            Step::Arrive { index, duplicate } => {
                if self.in_flight.is_empty() {
                    return;
                }
                let index = index % self.in_flight.len();
                let message = if duplicate {
                    self.in_flight[index].clone()
                } else {
                    self.in_flight.swap_remove(index)
                };
                self.arrive(&message);
            }
            Step::Lose(index) => {
                if !self.in_flight.is_empty() {
                    let index = index % self.in_flight.len();
                    self.in_flight.swap_remove(index);
                }
            }
            Step::Restart(index) => {
                let now = self.clock(index);
                let instance = &mut self.instances[index];
                instance.exchange = exchange::Exchange::new(now.0);
                instance.last_request = (now.0, Timestamp(0));
            }
        }
    }

    fn arrive(&mut self, message: &Message) {
        match message {
            Message::Request {
                from,
                number,
                report,
            } => {
                let now = self.clock(0);
                let first = &mut self.instances[0].exchange;
                self.accepted += usize::from(first.apply_report(report));
                let answer = first.answer(now);
                self.in_flight.push(Message::Answer {
                    to: *from,
                    number: *number,
                    answer,
                });
            }
            Message::Answer { to, number, answer } => {
                let now = self.clock(*to);
                let instance = &mut self.instances[*to];
                if instance.last_request.0 != *number {
                    return;
                }
                let requested = instance.last_request.1;
                let exchange = &mut instance.exchange;
                let is_new = exchange.apply_answer(now, requested, answer);
                self.accepted += usize::from(is_new);
            }
        }
    }

    /// Checks that no instance has a sample with a time after its true time.
    fn check(&self) -> Result<(), TestCaseError> {
        for (index, instance) in self.instances.iter().enumerate() {
            let Some(sample) = instance.exchange.newest("bookings") else {
                continue;
            };
            let true_time = sample.position.log.0 + instance.offset;
            prop_assert!(
                sample.sent.0 <= true_time,
                "instance {index} takes a sample for {} us younger than it is",
                sample.sent.0 - true_time
            );
        }
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (0_u64..400).prop_map(Step::Advance),
        3 => (0..INSTANCES).prop_map(Step::Sample),
        3 => (1..INSTANCES).prop_map(Step::Request),
        6 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(index, duplicate)| Step::Arrive { index, duplicate }),
        1 => any::<usize>().prop_map(Step::Lose),
        1 => (0..INSTANCES).prop_map(Step::Restart),
    ];
    prop::collection::vec(step, 1..80)
}

fn cases() -> u32 {
    let value = std::env::var("CARDAMOMHOLD_CASES").ok();
    value.and_then(|c| c.parse().ok()).unwrap_or(2_000)
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

/// A sample of one instance reaches another through the first one.
#[test]
fn forwards_samples() {
    let mut world = World::new(&[0, 7_000_000, 11]);
    let first_arrives = Step::Arrive {
        index: 0,
        duplicate: false,
    };
    let steps = [
        Step::Request(1),
        first_arrives.clone(),
        first_arrives.clone(),
        Step::Advance(250),
        Step::Sample(1),
        Step::Advance(250),
        Step::Request(1),
        first_arrives.clone(),
        Step::Request(2),
        Step::Arrive {
            index: 1,
            duplicate: false,
        },
        Step::Arrive {
            index: 1,
            duplicate: false,
        },
    ];
    for step in &steps {
        world.step(step);
    }
    assert!(world.accepted >= 2, "accepted {}", world.accepted);
    let forwarded = world.instances[2].exchange.newest("bookings");
    let original = world.instances[1].exchange.newest("bookings");
    assert_eq!(forwarded.unwrap().position, original.unwrap().position);
}
