//! Dissemination of the configuration despite faults: no instance reverts to an older version,
//! and every accepted change reaches every instance.

use std::collections;
use std::env;

use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_config::verdict;
use proptest::prelude::*;
use proptest::test_runner;

const NODES: usize = 5;
const NAMES: [&str; 4] = [
    "config/read_kind/report",
    "config/read_kind/audit",
    "config/caller/kalkbok",
    "config/later_kind/thing",
];

#[derive(Debug, Clone)]
enum Step {
    Write {
        node: usize,
        name: usize,
        lost: bool,
    },
    Remove {
        node: usize,
        name: usize,
    },
    List {
        node: usize,
    },
    Pull {
        from: usize,
        to: usize,
        limit: usize,
    },
    Deliver {
        index: usize,
        twice: bool,
    },
    Drop {
        index: usize,
    },
    Restart {
        node: usize,
    },
    Freeze {
        node: usize,
    },
    Thaw {
        node: usize,
    },
    Outage(bool),
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..NODES;
    let name = 0..NAMES.len();
    prop_oneof![
        5 => (node.clone(), name.clone(), any::<bool>())
            .prop_map(|(node, name, lost)| Step::Write { node, name, lost }),
        1 => (node.clone(), name).prop_map(|(node, name)| Step::Remove { node, name }),
        2 => node.clone().prop_map(|node| Step::List { node }),
        6 => (node.clone(), node.clone(), 1..4_usize)
            .prop_map(|(from, to, limit)| Step::Pull { from, to, limit }),
        6 => (0..8_usize, any::<bool>()).prop_map(|(index, twice)| Step::Deliver { index, twice }),
        1 => (0..8_usize).prop_map(|index| Step::Drop { index }),
        1 => node.clone().prop_map(|node| Step::Restart { node }),
        1 => node.clone().prop_map(|node| Step::Freeze { node }),
        2 => node.prop_map(|node| Step::Thaw { node }),
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
    nodes: Vec<config::Config>,
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
            nodes: vec![config::Config::default(); NODES],
            ..Self::default()
        }
    }

    fn newer(&self, since: config::Version) -> Vec<config::Change> {
        let newer = self.store.values().filter(|c| c.version > since);
        newer.cloned().collect()
    }

    fn write(&mut self, node: usize, index: usize, lost: bool) {
        let name = NAMES[index];
        self.writes += 1;
        let change = format!("change-{}", self.writes);
        let previous = newest(&self.nodes[node], name);
        let expected = previous.map_or(0, |c| c.version);
        let before: Option<object::Envelope> =
            previous.and_then(|c| serde_json::from_slice(&c.value).ok());
        let envelope = object::Envelope {
            author: format!("operator-{node}"),
            change: change.clone(),
            history: before
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
            self.nodes[node].merge(&change);
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
            Step::Write { node, name, lost } => {
                if !self.frozen.contains(&node) {
                    self.write(node, name, lost);
                }
            }
            Step::Remove { node, name } => {
                let expected = version(&self.nodes[node], NAMES[name]);
                if expected > 0 {
                    self.put(NAMES[name], None, expected);
                }
            }
            Step::List { node } => {
                if !self.is_down && !self.frozen.contains(&node) {
                    let through = self.nodes[node].through();
                    self.send_page(node, self.newer(through), self.version);
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
            Step::Restart { node } => {
                self.nodes[node] = config::Config::default();
                self.frozen.remove(&node);
                // A restart closes the connections and loses the messages on them.
                self.in_transit.retain(|m| m.to != node);
            }
            Step::Freeze { node } => {
                self.frozen.insert(node);
            }
            Step::Thaw { node } => {
                self.frozen.remove(&node);
            }
            Step::Outage(is_down) => self.is_down = is_down,
        }
    }

    fn pull(&mut self, from: usize, to: usize, limit: usize) {
        let since = self.nodes[to].through();
        let page = self.nodes[from].page(since, limit);
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
        self.nodes[message.to].merge_page(&message.changes, message.through);
        if !twice {
            self.in_transit.remove(index);
        }
    }

    fn versions(&self) -> Vec<Vec<config::Version>> {
        let all = |c: &config::Config| {
            let names = NAMES.iter().map(|n| version(c, n));
            names.chain([c.through()]).collect()
        };
        self.nodes.iter().map(all).collect()
    }

    /// Checks that every node has all changes up to its `through` version, and none that the
    /// store did not accept.
    fn check_complete(&self) -> Result<(), TestCaseError> {
        for (i, node) in self.nodes.iter().enumerate() {
            for (name, change) in &self.store {
                let version = version(node, name);
                prop_assert!(version <= change.version, "node {i} ahead on {name}");
                if change.version <= node.through() {
                    prop_assert_eq!(version, change.version, "node {} misses {}", i, name);
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

    /// Ends all faults and brings every node to the newest version.
    fn recover(&mut self) {
        self.is_down = false;
        self.frozen.clear();
        self.in_transit.clear();
        let through = self.nodes[0].through();
        let newer = self.newer(through);
        self.nodes[0].merge_page(&newer, self.version);
        // Each node pulls from the one before, in pages of one change.
        for to in 1..NODES {
            while self.nodes[to].through() < self.version {
                let before = self.nodes[to].through();
                self.pull(to - 1, to, 1);
                self.deliver(0, false);
                if self.nodes[to].through() == before {
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
            let is_restart = matches!(step, Step::Restart { node } if *node == i);
            let is_monotonic = old.iter().zip(&new).all(|(old, new)| old <= new);
            prop_assert!(
                is_monotonic || is_restart,
                "node {i} reverts {old:?} to {new:?}"
            );
        }
        world.check_complete()?;
        world.check_verdicts()?;
    }
    world.recover();
    world.check_complete()?;
    for (i, node) in world.nodes.iter().enumerate() {
        prop_assert_eq!(node.through(), world.version, "node {} lags", i);
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
fn page_through_is_safe() {
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
fn first_lost(world: &World) -> verdict::Verdict {
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
    world.apply(&Step::List { node: 1 });
    world.deliver(0, false);
    world.write(1, 0, false);
    assert_eq!(first_lost(&world), verdict::Verdict::Superseded);
}

#[test]
fn recreation_is_undecided() {
    let mut world = World::new();
    world.write(0, 0, true);
    let removed = world.put(NAMES[0], None, 1).expect("removed");
    world.nodes[1].merge(&removed);
    world.write(1, 0, false);
    // The change took effect, so "conflict" would be wrong.
    assert_eq!(first_lost(&world), verdict::Verdict::Undecided);
}

#[test]
fn judges_removals() {
    let attempt = verdict::Attempt {
        expected: 1,
        change: None,
    };
    let mut world = World::new();
    world.write(0, 0, false);
    let judge = |world: &World| verdict::determine(&attempt, &world.store[NAMES[0]]);
    assert_eq!(judge(&world), verdict::Verdict::Retry);
    let mut raced = World::new();
    raced.write(0, 0, false);
    raced.write(0, 0, false);
    assert_eq!(judge(&raced), verdict::Verdict::Conflict);
    let removed = world.put(NAMES[0], None, 1).expect("removed");
    assert_eq!(judge(&world), verdict::Verdict::Accepted);
    // After the object is written again, nothing shows which removal took effect.
    world.nodes[0].merge(&removed);
    world.write(0, 0, false);
    assert_eq!(judge(&world), verdict::Verdict::Undecided);
}
