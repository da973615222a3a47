//! A primary that takes connections and fails all work is reported as such.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

mod world;

use std::time;

use cardamomhold_entry::group;
use cardamomhold_entry::keeper;
use cardamomhold_lead::suspicion;
use cardamomhold_pool::pool;

const STEP: time::Duration = time::Duration::from_millis(250);

async fn end_work(group: &group::Handle<world::Member>, ended: pool::Completion) {
    let back = group::Message::Back {
        member: world::member("a"),
        wired: None,
        ended,
        seen: None,
    };
    assert!(group.send(back).is_ok());
    tokio::time::sleep(STEP).await;
}

fn sights(world: &mut world::World) -> Vec<(suspicion::Observation, bool)> {
    let mut sights = Vec::new();
    while let Ok(event) = world.heard.try_recv() {
        if let keeper::Event::Sight {
            sight, is_failing, ..
        } = event
        {
            sights.push((sight, is_failing));
        }
    }
    sights
}

/// Probes that reach it do not make up for work that fails; a success does.
#[test]
fn reached_but_failing() {
    world::run_in_real_time(async {
        let mut world = world::World::new(1);
        let group = world.group().await;
        for _ in 0..5 {
            end_work(&group, pool::Completion::Failed).await;
        }
        let seen = sights(&mut world);
        let failing = (suspicion::Observation::Failed, true);
        assert_eq!(seen.last(), Some(&failing), "{seen:?}");
        end_work(&group, pool::Completion::Answered(STEP)).await;
        let seen = sights(&mut world);
        assert_eq!(seen.last(), Some(&(suspicion::Observation::Reached, false)));
    });
}

/// A primary that is slow, or whose owner is gone, does not count as failing.
#[test]
fn slow_is_not_failing() {
    world::run_in_real_time(async {
        let mut world = world::World::new(1);
        let group = world.group().await;
        for ended in [pool::Completion::TimedOut, pool::Completion::OwnerLost] {
            for _ in 0..5 {
                end_work(&group, ended).await;
            }
        }
        let seen = sights(&mut world);
        assert!(seen.iter().all(|(_, is_failing)| !is_failing), "{seen:?}");
    });
}
