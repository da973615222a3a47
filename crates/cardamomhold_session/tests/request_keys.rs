//! Losses at every step of a request: at most one effect a key, and no false "not run".

use std::time;

use cardamomhold_core::outcome;
use cardamomhold_core::time::Timestamp;
use cardamomhold_session::retry;
use proptest::prelude::*;
use proptest::test_runner;

const DEADLINE_MS: u64 = 1000;
const SEED: u64 = 0x5eed_0001;

/// What happens to one attempt.
#[derive(Debug, Clone, Copy)]
enum Fate {
    Refused,
    QueueFull,
    LostBeforeRun,
    BrokenBeforeCommit,
    LostAfterCommit,
    LostWithRows,
    Unconfirmed,
    /// Goes on after its lane was given up, and commits while a later attempt runs.
    Late,
    Answered,
}

#[derive(Debug, Clone, Copy)]
enum Event {
    Attempt(Fate, u64),
    LateCommit,
    Promotion,
}

/// A row, with its key when it has one.
#[derive(Debug, Clone, Copy)]
struct Row {
    confirmed: bool,
}

/// The group's data, as simple as the promise allows.
#[derive(Debug, Default)]
struct World {
    rows: Vec<Row>,
    late: usize,
}

impl World {
    /// Commits one attempt; a key that is there keeps its transaction from committing.
    fn commit(&mut self, keyed: bool, confirmed: bool) -> bool {
        if keyed && !self.rows.is_empty() {
            return false;
        }
        self.rows.push(Row { confirmed });
        true
    }

    fn confirm(&mut self) {
        for row in &mut self.rows {
            row.confirmed = true;
        }
    }

    /// Cuts off what was not confirmed; the old primary's attempts can't commit any more.
    fn promote(&mut self) {
        self.rows.retain(|row| row.confirmed);
        self.late = 0;
    }

    fn commit_late(&mut self, keyed: bool) {
        if self.late > 0 {
            self.late -= 1;
            self.commit(keyed, false);
        }
    }

    fn attempt(&mut self, keyed: bool, fate: Fate) -> (outcome::Outcome, bool) {
        let not_run = |refusal| (outcome::Outcome::NotRun(refusal), false);
        let unknown = |doubt| (outcome::Outcome::Unknown(doubt), false);
        match fate {
            Fate::Refused => return not_run(outcome::Refusal::NoPrimary),
            Fate::QueueFull => return not_run(outcome::Refusal::QueueFull),
            Fate::LostBeforeRun => return unknown(outcome::Doubt::OwnerLost),
            Fate::BrokenBeforeCommit if keyed => {
                return not_run(outcome::Refusal::ConnectFailed);
            }
            Fate::BrokenBeforeCommit => return unknown(outcome::Doubt::ConnectionLost),
            Fate::Late => {
                self.late += 1;
                return unknown(outcome::Doubt::DeadlinePassed);
            }
            Fate::LostAfterCommit | Fate::LostWithRows | Fate::Unconfirmed | Fate::Answered => {}
        }
        self.commit(keyed, false);
        match fate {
            Fate::LostAfterCommit => unknown(outcome::Doubt::ConnectionLost),
            Fate::LostWithRows => (
                outcome::Outcome::Unknown(outcome::Doubt::ConnectionLost),
                true,
            ),
            Fate::Unconfirmed => unknown(outcome::Doubt::Unconfirmed),
            _ => {
                self.confirm();
                (outcome::Outcome::Ran, false)
            }
        }
    }
}

/// What the caller is told of one call; `None` when the events are over before.
fn call(
    world: &mut World,
    guard: retry::Guard,
    doubt: Option<outcome::Doubt>,
    events: &mut impl Iterator<Item = Event>,
) -> Option<outcome::Outcome> {
    let keyed = guard == retry::Guard::Key;
    let mut now = Timestamp::default();
    let last = now.after(time::Duration::from_millis(DEADLINE_MS));
    let mut retry = retry::Retry::resume(guard, last, doubt);
    let mut has_rows = false;
    for event in events {
        match event {
            Event::LateCommit => world.commit_late(keyed),
            Event::Promotion => world.promote(),
            Event::Attempt(fate, millis) => {
                now = now.after(time::Duration::from_millis(millis));
                let (outcome, forwarded) = world.attempt(keyed, fate);
                assert!(!has_rows, "a second answer after the rows of a first one");
                has_rows |= forwarded;
                if outcome == outcome::Outcome::Ran {
                    return Some(outcome);
                }
                let attempt = retry::Attempt {
                    outcome,
                    replica: None,
                    forwarded,
                    owner: None,
                };
                match retry.fail(now, attempt) {
                    retry::Step::Now | retry::Step::Later => {}
                    retry::Step::GiveUp(outcome) => return Some(outcome),
                }
            }
        }
    }
    None
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::Refused),
        Just(Fate::QueueFull),
        Just(Fate::LostBeforeRun),
        Just(Fate::BrokenBeforeCommit),
        Just(Fate::LostAfterCommit),
        Just(Fate::LostWithRows),
        Just(Fate::Unconfirmed),
        Just(Fate::Late),
        Just(Fate::Answered),
    ]
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (fate(), 0..400u64).prop_map(|(fate, millis)| Event::Attempt(fate, millis)),
        2 => Just(Event::LateCommit),
        1 => Just(Event::Promotion),
    ]
}

fn config() -> test_runner::Config {
    let cases = std::env::var("CARDAMOMHOLD_CASES").ok();
    test_runner::Config {
        cases: cases.and_then(|c| c.parse().ok()).unwrap_or(5_000),
        rng_seed: test_runner::RngSeed::Fixed(SEED),
        failure_persistence: None,
        ..test_runner::Config::default()
    }
}

proptest! {
    #![proptest_config(config())]

    /// A caller repeats every outcome but "ran" with its key: it ends with one row.
    #[test]
    fn key_runs_once(events in proptest::collection::vec(event(), 1..40)) {
        let mut world = World::default();
        let mut events = events.into_iter();
        let mut doubt = None;
        while let Some(outcome) = call(&mut world, retry::Guard::Key, doubt, &mut events) {
            prop_assert!(world.rows.len() <= 1, "{} rows of one key", world.rows.len());
            match outcome {
                outcome::Outcome::Ran => {
                    world.promote();
                    prop_assert_eq!(world.rows.len(), 1, "an acknowledged row is lost");
                    break;
                }
                outcome::Outcome::NotRun(refusal) => {
                    let effects = world.rows.len() + world.late;
                    prop_assert_eq!(effects, 0, "told {}", refusal);
                }
                outcome::Outcome::Unknown(why) => doubt = Some(why),
            }
        }
        while world.late > 0 {
            world.commit_late(true);
        }
        prop_assert!(world.rows.len() <= 1);
    }

    /// Without a key nothing that may have run is sent again.
    #[test]
    fn unkeyed_at_most_once(events in proptest::collection::vec(event(), 1..20)) {
        let mut world = World::default();
        let outcome = call(&mut world, retry::Guard::None, None, &mut events.into_iter());
        let effects = world.rows.len() + world.late;
        prop_assert!(effects <= 1, "{} effects", effects);
        if let Some(outcome::Outcome::NotRun(refusal)) = outcome {
            prop_assert_eq!(effects, 0, "told {}", refusal);
        }
    }
}
