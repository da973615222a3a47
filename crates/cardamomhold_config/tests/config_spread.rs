//! Dissemination of the configuration despite faults: no instance reverts to an older version,
//! and every accepted change reaches every instance.

use std::collections;
use std::env;

use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_config::verdict;
use proptest::prelude::*;
use proptest::test_runner;

const INSTANCES: usize = 5;
/// Names of the objects; the last one is of a kind that this release doesn't know.
const NAMES: [&str; 4] = [
    "config/read_kind/report",
    "config/read_kind/audit",
    "config/caller/kalkbok",
    "config/later_kind/thing",
];

#[derive(Debug, Clone)]
enum Step {
    Write {
        instance: usize,
        name: usize,
        /// Whether the answer to the writer is lost.
        lost: bool,
    },
    Remove {
        instance: usize,
        name: usize,
    },
    /// The store sends an instance the changes that it lacks.
    List {
        instance: usize,
    },
    /// An instance sends a page of its changes to another one.
    Pull {
        from: usize,
        to: usize,
        limit: usize,
    },
    Deliver {
        index: usize,
        /// Whether the message stays in transit and is delivered again.
        twice: bool,
    },
    Drop {
        index: usize,
    },
    Restart {
        instance: usize,
    },
    Freeze {
        instance: usize,
    },
    Thaw {
        instance: usize,
    },
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let instance = 0..INSTANCES;
    let name = 0..NAMES.len();
    prop_oneof![
        5 => (instance.clone(), name.clone(), any::<bool>())
            .prop_map(|(instance, name, lost)| Step::Write { instance, name, lost }),
        1 => (instance.clone(), name).prop_map(|(instance, name)| Step::Remove { instance, name }),
        2 => instance.clone().prop_map(|instance| Step::List { instance }),
        6 => (instance.clone(), instance.clone(), 1..4_usize)
            .prop_map(|(from, to, limit)| Step::Pull { from, to, limit }),
        6 => (0..8_usize, any::<bool>()).prop_map(|(index, twice)| Step::Deliver { index, twice }),
        1 => (0..8_usize).prop_map(|index| Step::Drop { index }),
        1 => instance.clone().prop_map(|instance| Step::Restart { instance }),
        1 => instance.clone().prop_map(|instance| Step::Freeze { instance }),
        2 => instance.prop_map(|instance| Step::Thaw { instance }),
        1 => any::<bool>().prop_map(Step::Outage),
    ]
}

struct Message {
    to: usize,
    changes: Vec<config::Change>,
    through: config::Version,
}

/// An update whose answer was lost.
struct Lost {
    name: usize,
    expected: config::Version,
    change: String,
    /// Whether the store applied the update.
    is_applied: bool,
}

#[derive(Default)]
struct World {
    store: collections::BTreeMap<&'static str, config::Change>,
    version: config::Version,
    is_down: bool,
    instances: Vec<config::Config>,
    frozen: collections::BTreeSet<usize>,
    in_transit: Vec<Message>,
    lost: Vec<Lost>,
    writes: u64,
}

fn newest<'a>(config: &'a config::Config, name: &str) -> Option<&'a config::Change> {
    config.since(0).into_iter().find(|c| c.name == name)
}

fn version(config: &config::Config, name: &str) -> config::Version {
    newest(config, name).map_or(0, |c| c.version)
}

impl World {
    fn new() -> Self {
        Self {
            instances: vec![config::Config::default(); INSTANCES],
            ..Self::default()
        }
    }

    fn newer(&self, since: config::Version) -> Vec<config::Change> {
        let newer = self.store.values().filter(|c| c.version > since);
        newer.cloned().collect()
    }

    fn write(&mut self, instance: usize, index: usize, lost: bool) {
        let name = NAMES[index];
        self.writes += 1;
        let change = format!("change-{}", self.writes);
        let previous = newest(&self.instances[instance], name);
        let expected = previous.map_or(0, |c| c.version);
        let previous_envelope: Option<object::Envelope> =
            previous.and_then(|c| serde_json::from_slice(&c.value).ok());
        let envelope = object::Envelope {
            author: format!("operator-{instance}"),
            change: change.clone(),
            history: previous_envelope
                .map(|e| e.history_after(expected))
                .unwrap_or_default(),
            spec: object::Spec::ReadKind(object::ReadRule {
                staleness_ms: self.writes,
            }),
        };
        let value = serde_json::to_vec(&envelope).expect("json");
        let written = self.put(name, Some(value), expected);
        if lost {
            self.lost.push(Lost {
                name: index,
                expected,
                change,
                is_applied: written.is_some(),
            });
            return;
        }
        if let Some(change) = written {
            self.instances[instance].merge(&change);
        }
    }

    fn put(
        &mut self,
        name: &'static str,
        value: Option<Vec<u8>>,
        expected: config::Version,
    ) -> Option<config::Change> {
        let current = self.store.get(name).map_or(0, |c| c.version);
        if self.is_down || current != expected {
            return None;
        }
        self.version += 1;
        let change = config::Change {
            name: name.to_owned(),
            removed: value.is_none(),
            value: value.unwrap_or_default().into(),
            version: self.version,
        };
        self.store.insert(name, change.clone());
        Some(change)
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Write {
                instance,
                name,
                lost,
            } => {
                if !self.frozen.contains(&instance) {
                    self.write(instance, name, lost);
                }
            }
            Step::Remove { instance, name } => {
                let expected = version(&self.instances[instance], NAMES[name]);
                if expected > 0 {
                    self.put(NAMES[name], None, expected);
                }
            }
            Step::List { instance } => {
                if !self.is_down && !self.frozen.contains(&instance) {
                    let through = self.instances[instance].through();
                    self.send_page(instance, self.newer(through), self.version);
                }
            }
            Step::Pull { from, to, limit } => {
                if from != to && !self.frozen.contains(&from) && !self.frozen.contains(&to) {
                    self.pull(from, to, limit);
                }
            }
            Step::Deliver { index, twice } => self.deliver(index, twice),
            Step::Drop { index } => {
                if index < self.in_transit.len() {
                    self.in_transit.remove(index);
                }
            }
            Step::Restart { instance } => {
                self.instances[instance] = config::Config::default();
                self.frozen.remove(&instance);
                // A restart closes the connections and loses the messages on them.
                self.in_transit.retain(|m| m.to != instance);
            }
            Step::Freeze { instance } => {
                self.frozen.insert(instance);
            }
            Step::Thaw { instance } => {
                self.frozen.remove(&instance);
            }
            Step::Outage(is_down) => self.is_down = is_down,
        }
    }

    fn pull(&mut self, from: usize, to: usize, limit: usize) {
        let since = self.instances[to].through();
        let page = self.instances[from].page(since, limit);
        let through = page.through;
        let changes = page.changes.into_iter().cloned().collect();
        self.send_page(to, changes, through);
    }

    fn send_page(&mut self, to: usize, changes: Vec<config::Change>, through: config::Version) {
        self.in_transit.push(Message {
            to,
            changes,
            through,
        });
    }

    fn deliver(&mut self, index: usize, twice: bool) {
        if index >= self.in_transit.len() || self.frozen.contains(&self.in_transit[index].to) {
            return;
        }
        let message = &self.in_transit[index];
        self.instances[message.to].merge_page(&message.changes, message.through);
        if !twice {
            self.in_transit.remove(index);
        }
    }

    fn versions(&self) -> Vec<Vec<config::Version>> {
        let versions_of = |c: &config::Config| {
            let names = NAMES.iter().map(|n| version(c, n));
            names.chain([c.through()]).collect()
        };
        self.instances.iter().map(versions_of).collect()
    }

    /// Checks that every instance has all changes up to its `through` version, and none that the
    /// store did not accept.
    fn check_complete(&self) -> Result<(), TestCaseError> {
        for (i, instance) in self.instances.iter().enumerate() {
            for (name, change) in &self.store {
                let version = version(instance, name);
                prop_assert!(version <= change.version, "instance {i} ahead on {name}");
                if change.version <= instance.through() {
                    prop_assert_eq!(version, change.version, "instance {} misses {}", i, name);
                }
            }
        }
        Ok(())
    }

    /// Checks the verdicts on updates whose answer was lost.
    fn check_verdicts(&self) -> Result<(), TestCaseError> {
        for lost in &self.lost {
            let Some(current) = self.store.get(NAMES[lost.name]) else {
                continue;
            };
            let attempt = verdict::Attempt {
                expected: lost.expected,
                change: Some(&lost.change),
            };
            let verdict = verdict::determine(&attempt, current);
            let is_correct = match verdict {
                verdict::Verdict::Accepted | verdict::Verdict::Superseded => lost.is_applied,
                verdict::Verdict::Conflict | verdict::Verdict::Retry => !lost.is_applied,
                verdict::Verdict::Undecided => true,
            };
            prop_assert!(is_correct, "{}: wrong verdict {:?}", lost.change, verdict);
        }
        Ok(())
    }

    /// Ends all faults and brings every instance to the newest version.
    fn recover(&mut self) {
        self.is_down = false;
        self.frozen.clear();
        self.in_transit.clear();
        let through = self.instances[0].through();
        let newer = self.newer(through);
        self.instances[0].merge_page(&newer, self.version);
        // Each instance pulls from the one before, in pages of one change.
        for to in 1..INSTANCES {
            while self.instances[to].through() < self.version {
                let before = self.instances[to].through();
                self.pull(to - 1, to, 1);
                self.deliver(0, false);
                if self.instances[to].through() == before {
                    break;
                }
            }
        }
    }
}

fn run(steps: &[Step]) -> Result<(), TestCaseError> {
    let mut world = World::new();
    for step in steps {
        let before = world.versions();
        world.apply(step);
        for (i, (old, new)) in before.iter().zip(world.versions()).enumerate() {
            let is_restart = matches!(step, Step::Restart { instance } if *instance == i);
            let is_monotonic = old.iter().zip(&new).all(|(old, new)| old <= new);
            prop_assert!(
                is_monotonic || is_restart,
                "instance {i} reverts {old:?} to {new:?}"
            );
        }
        world.check_complete()?;
        world.check_verdicts()?;
    }
    world.recover();
    world.check_complete()?;
    for (i, instance) in world.instances.iter().enumerate() {
        prop_assert_eq!(instance.through(), world.version, "instance {} lags", i);
    }
    Ok(())
}

fn cases() -> u32 {
    let cases = env::var("CARDAMOMHOLD_CASES").ok();
    cases.and_then(|n| n.parse().ok()).unwrap_or(1_000)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: cases(),
        rng_seed: test_runner::RngSeed::Fixed(11),
        failure_persistence: None,
        .. ProptestConfig::default()
    })]

    #[test]
    fn never_reverts(steps in prop::collection::vec(step(), 1..60)) {
        run(&steps)?;
    }
}

#[test]
fn page_through_stops_at_gap() {
    let mut config = config::Config::default();
    let change = |name: &str, version| config::Change {
        name: format!("config/read_kind/{name}"),
        value: br#"{"author":"a","change":"c","spec":{"read_kind":{"staleness_ms":1}}}"#
            .as_slice()
            .into(),
        version,
        removed: false,
    };
    config.merge_page(&[change("a", 5)], 5);
    // Versions 8 and 9 have arrived, version 7 has not.
    config.merge(&change("b", 8));
    config.merge(&change("c", 9));
    let page = config.page(5, 1);
    assert_eq!(page.through, 5);
    assert!(page.has_more);
}

#[test]
fn forwards_unknown_objects() {
    let mut config = config::Config::default();
    let change = config::Change {
        name: NAMES[3].to_owned(),
        value: b"not for this release".as_slice().into(),
        version: 4,
        removed: false,
    };
    assert_eq!(config.merge(&change), config::Merged::Unparsable);
    config.set_complete(4);
    assert_eq!(config.page(0, 10).changes, [&change]);
    assert_eq!(config.merge(&change), config::Merged::AlreadyPresent);
}

/// Returns the verdict on the first change whose answer was lost.
fn first_lost_verdict(world: &World) -> verdict::Verdict {
    let attempt = verdict::Attempt {
        expected: 0,
        change: Some(&world.lost[0].change),
    };
    verdict::determine(&attempt, &world.store[NAMES[0]])
}

#[test]
fn detects_overwritten_change() {
    let mut world = World::new();
    world.write(0, 0, true);
    world.apply(&Step::List { instance: 1 });
    world.deliver(0, false);
    world.write(1, 0, false);
    assert_eq!(first_lost_verdict(&world), verdict::Verdict::Superseded);
}

#[test]
fn recreation_is_undecided() {
    let mut world = World::new();
    world.write(0, 0, true);
    let removed = world.put(NAMES[0], None, 1).expect("removed");
    world.instances[1].merge(&removed);
    world.write(1, 0, false);
    // The change took effect, so "conflict" would be wrong.
    assert_eq!(first_lost_verdict(&world), verdict::Verdict::Undecided);
}

#[test]
fn determines_removals() {
    let attempt = verdict::Attempt {
        expected: 1,
        change: None,
    };
    let mut world = World::new();
    world.write(0, 0, false);
    let determine = |world: &World| verdict::determine(&attempt, &world.store[NAMES[0]]);
    assert_eq!(determine(&world), verdict::Verdict::Retry);
    let mut raced = World::new();
    raced.write(0, 0, false);
    raced.write(0, 0, false);
    assert_eq!(determine(&raced), verdict::Verdict::Conflict);
    let removed = world.put(NAMES[0], None, 1).expect("removed");
    assert_eq!(determine(&world), verdict::Verdict::Accepted);
    // After the object is written again, nothing shows which removal took effect.
    world.instances[0].merge(&removed);
    world.write(0, 0, false);
    assert_eq!(determine(&world), verdict::Verdict::Undecided);
}
