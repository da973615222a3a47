//! Instances pass on their copies of the leaderships in pages. Guards against an instance that takes
//! its copy for complete while it lacks a record, and against messages that grow with the number of
//! groups.

// Clippy allows unwrap in test functions only, not in their helpers.
#![allow(clippy::unwrap_used)]

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_lead::pages;
use cardamomhold_lead::record;
use proptest::prelude::*;

const INSTANCES: usize = 3;

fn record(group: usize, change: u64) -> record::Leadership {
    let group = name::GroupName::parse(&format!("group-{group}")).unwrap();
    let primary = name::MemberName::parse("database-member-1").unwrap();
    let first = record::Leadership::first(&group, &primary, position::Term(1));
    record::Leadership { change, ..first }
}

fn instance(index: usize) -> name::InstanceName {
    name::InstanceName::parse(&format!("entry-{index}")).unwrap()
}

/// An instance with its copy; a restart loses it.
#[derive(Default)]
struct Node {
    run_id: u32,
    records: record::Leaderships,
    marks: pages::Marks,
}

/// A page under way, with the source's copy at the time when it was sent.
struct Sent {
    from: usize,
    to: usize,
    run_id: u32,
    page: pages::Page,
    copy: Vec<(name::GroupName, u64)>,
}

fn copy(node: &Node) -> Vec<(name::GroupName, u64)> {
    let records = node.records.iter();
    records.map(|r| (r.group.clone(), r.change)).collect()
}

#[derive(Debug, Clone)]
enum Step {
    Change {
        node: usize,
        group: usize,
        change: u64,
    },
    Ask {
        from: usize,
        to: usize,
    },
    Deliver {
        index: usize,
        is_kept: bool,
    },
    Drop {
        index: usize,
    },
    Restart {
        node: usize,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let node = 0..INSTANCES;
    prop_oneof![
        4 => (node.clone(), 0_usize..40, 1_u64..6)
            .prop_map(|(node, group, change)| Step::Change { node, group, change }),
        6 => (node.clone(), node.clone()).prop_map(|(from, to)| Step::Ask { from, to }),
        6 => (0_usize..8, any::<bool>())
            .prop_map(|(index, is_kept)| Step::Deliver { index, is_kept }),
        1 => (0_usize..8).prop_map(|index| Step::Drop { index }),
        1 => node.prop_map(|node| Step::Restart { node }),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        rng_seed: proptest::test_runner::RngSeed::Fixed(31),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Pages are lost, repeated and reordered, and instances restart. One that takes its copy for
    /// complete has every record that the source had when it sent the page.
    #[test]
    fn complete_copy_lacks_nothing(steps in prop::collection::vec(step(), 0..120)) {
        let mut nodes: Vec<Node> = (0..INSTANCES).map(|_| Node::default()).collect();
        let mut network: Vec<Sent> = Vec::new();
        let mut runs = 0;
        for step in steps {
            match step {
                Step::Change { node, group, change } => {
                    nodes[node].records.update(&record(group, change));
                }
                Step::Ask { from, to } if from != to => {
                    let mark = nodes[from].marks.get(&instance(to));
                    let source = &nodes[to];
                    network.push(Sent {
                        from: to,
                        to: from,
                        run_id: nodes[from].run_id,
                        page: source.records.page(source.run_id, mark),
                        copy: copy(source),
                    });
                }
                Step::Ask { .. } => {}
                Step::Deliver { index, is_kept } if index < network.len() => {
                    let sent = network.remove(index);
                    let node = &mut nodes[sent.to];
                    if node.run_id == sent.run_id {
                        let source = instance(sent.from);
                        let Node { records, marks, .. } = node;
                        let is_complete = marks.store(&source, &sent.page, records, |_| {});
                        if is_complete {
                            for (group, change) in &sent.copy {
                                let known = records.get(group.as_str()).map_or(0, |r| r.change);
                                prop_assert!(known >= *change, "{group}: {known} < {change}");
                            }
                        }
                    }
                    if is_kept {
                        network.push(sent);
                    }
                }
                Step::Drop { index } if index < network.len() => {
                    network.remove(index);
                }
                Step::Deliver { .. } | Step::Drop { .. } => {}
                Step::Restart { node } => {
                    runs += 1;
                    nodes[node] = Node { run_id: runs, ..Node::default() };
                }
            }
        }
    }

    /// Asking again and again completes a copy, in pages of a bounded size.
    #[test]
    fn pages_come_to_an_end(groups in 0_usize..200) {
        let mut source = Node::default();
        for group in 0..groups {
            source.records.update(&record(group, 1));
        }
        let mut node = Node::default();
        let name = instance(1);
        for round in 0.. {
            let page = source.records.page(source.run_id, node.marks.get(&name));
            let len: usize = page.records.iter().map(pages::size).sum();
            prop_assert!(len <= pages::MAX_PAGE_LEN);
            if node.marks.store(&name, &page, &mut node.records, |_| {}) {
                break;
            }
            prop_assert!(round < groups);
        }
        prop_assert_eq!(node.records.digest(), source.records.digest());
    }
}

/// One changed record of many costs its own bytes, also at an instance that has not asked this
/// source before.
#[test]
fn change_costs_its_own_bytes() {
    let (mut source, mut node) = (Node::default(), Node::default());
    for group in 0..6_400 {
        source.records.update(&record(group, 1));
        node.records.update(&record(group, 1));
    }
    source.records.update(&record(77, 2));
    let name = instance(1);
    let page = source.records.page(source.run_id, node.marks.get(&name));
    assert!(page.records.iter().map(pages::size).sum::<usize>() <= pages::MAX_PAGE_LEN);
    assert!(node.marks.store(&name, &page, &mut node.records, |_| {}));
    source.records.update(&record(78, 2));
    let page = source.records.page(source.run_id, node.marks.get(&name));
    assert_eq!(page.records, [record(78, 2)]);
    assert!(node.marks.store(&name, &page, &mut node.records, |_| {}));
}
