//! Which calls an instance makes that takes over the watch of a kind, and when. Guards against copies
//! that are renewed too late after their reader is lost.

// `allow-unwrap-in-tests` of clippy.toml doesn't cover helper functions.
#![allow(clippy::unwrap_used)]

use std::cell;
use std::net;
use std::rc;
use std::time;

use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::contents;
use cardamomhold_entry::currency::Mode;
use cardamomhold_entry::follow;
use cardamomhold_entry::follow::Answer;
use cardamomhold_entry::follow::Call;
use cardamomhold_entry::follow::Progress;
use cardamomhold_entry::store;
use cardamomhold_entry::store::Freshness;

/// Time for which a silent watch may go unnoticed: a third of 3,000 ms.
const SILENCE: time::Duration = time::Duration::from_millis(1_000);

/// What a follower has reported: when its copy was compared with the store, and whom it asks for
/// changed objects.
#[derive(Debug, Default)]
struct Seen {
    checked: Option<Timestamp>,
    asked: Vec<net::SocketAddr>,
}

type OnProgress = Box<dyn FnMut(Progress<'_>)>;

struct World {
    follower: follow::Follower<OnProgress>,
    seen: rc::Rc<cell::RefCell<Seen>>,
}

fn at(ms: u64) -> Timestamp {
    Timestamp::from_millis(ms)
}

fn refused() -> Answer {
    Answer::Listed(Err(store::StoreError::Refused(503)))
}

fn forgotten() -> Answer {
    Answer::Watched(Err(store::StoreError::Compacted))
}

fn listed(revision: u64) -> Answer {
    Answer::Listed(Ok(store::Listing {
        documents: Vec::new(),
        revision,
    }))
}

impl World {
    /// A follower without a copy.
    fn new(mode: Mode) -> Self {
        let seen = rc::Rc::<cell::RefCell<Seen>>::default();
        let watched = follow::Watched {
            id: contents::Kind::Members,
            kind: "members",
            pause: time::Duration::from_millis(10),
            freshness: Freshness::Cached,
            silence: SILENCE,
            lists_first: false,
            is_passed: |_| true,
        };
        let reported = seen.clone();
        let on_progress = move |progress: Progress<'_>| {
            let mut seen = reported.borrow_mut();
            match progress {
                Progress::Held(held) => seen.checked = seen.checked.max(held.checked),
                Progress::Send(to, _) => seen.asked.push(to),
                Progress::Changed(_) => {}
            }
        };
        let follower = follow::Follower::new(watched, mode, Box::new(on_progress) as OnProgress);
        Self { follower, seen }
    }

    /// A follower with a copy of revision 10, for which another instance vouches since 2,000 ms.
    fn idle() -> Self {
        let mut world = Self::new(Mode::Short);
        world.follower.next_call(at(1_000)).unwrap();
        world.follower.finish(at(1_010), listed(10));
        world.follower.set_mode(Mode::Idle);
        world
    }

    /// Lets the store refuse the calls of an outage that begins at `start`.
    fn play_outage(&mut self, start: u64) {
        self.follower.set_mode(Mode::Short);
        for ms in [0, 200, 1_000, 4_200] {
            let call = self.follower.next_call(at(start + ms));
            assert!(call.is_some(), "{ms}");
            self.follower.finish(at(start + ms), refused());
        }
    }

    fn is_listing(&mut self, ms: u64) -> bool {
        matches!(self.follower.next_call(at(ms)), Some(Call::List { .. }))
    }
}

/// A forgotten history is no failure of the store: it is listed at once, even when an outage before
/// had made the pauses long.
#[test]
fn forgotten_history_is_listed() {
    let mut world = World::idle();
    world.play_outage(10_000);
    world.follower.set_mode(Mode::Idle);
    world.follower.set_mode(Mode::Short);
    world.follower.next_call(at(30_000)).unwrap();
    world.follower.finish(at(30_010), forgotten());
    assert!(world.is_listing(30_010));
}

/// A store that forgets its history again and again isn't listed without a pause.
#[test]
fn repeated_loss_is_paced() {
    let mut world = World::idle();
    world.follower.set_mode(Mode::Long);
    let mut listings = 0;
    for ms in (5_000..10_000).step_by(10) {
        match world.follower.next_call(at(ms)) {
            Some(Call::List { .. }) => {
                listings += 1;
                world.follower.finish(at(ms), listed(ms));
            }
            Some(Call::Watch { .. }) => world.follower.finish(at(ms), forgotten()),
            None => {}
        }
    }
    assert!((8..=11).contains(&listings), "{listings}");
}

/// Whoever learns that the store answers again ends the pause: the reads of the control objects, or
/// another instance that vouches for its copies.
#[test]
fn pause_ends_with_outage() {
    let mut world = World::idle();
    world.play_outage(10_000);
    assert!(!world.is_listing(14_300));
    world
        .follower
        .handle(at(14_400), follow::Command::Revision(at(14_390), 10));
    assert!(world.is_listing(14_400));

    let mut world = World::idle();
    world.play_outage(10_000);
    world.follower.set_mode(Mode::Idle);
    world.follower.set_mode(Mode::Short);
    assert!(world.follower.next_call(at(14_400)).is_some());
}

/// An instance that takes over the watch asks at once whether there were changes, so that it vouches
/// for its copy without the wait of a watch.
#[test]
fn takeover_begins_with_check() {
    for mode in [Mode::Short, Mode::Long] {
        let mut world = World::idle();
        world.follower.set_mode(mode);
        let Some(Call::Watch { wait, timeout, .. }) = world.follower.next_call(at(5_000)) else {
            panic!("no watch");
        };
        assert!(wait < time::Duration::from_millis(10), "{wait:?}");
        assert!(timeout < SILENCE, "{timeout:?}");
        world
            .follower
            .finish(at(5_010), Answer::Watched(Ok((Vec::new(), 12))));
        assert_eq!(world.seen.borrow().checked, Some(at(5_000)));
    }
}

/// One listing may be lost: there is time for another one.
#[test]
fn first_listing_ends_early() {
    let mut world = World::new(Mode::Short);
    let Some(Call::List { timeout }) = world.follower.next_call(at(5_000)) else {
        panic!("no listing");
    };
    assert!(timeout <= SILENCE * 3 / 4, "{timeout:?}");
    world.follower.finish(at(5_750), Answer::TimedOut);
    let Some(Call::List { timeout: second }) = world.follower.next_call(at(5_750)) else {
        panic!("no second listing");
    };
    assert!(second > timeout, "a slow store must be able to answer");
}

/// An answer of the store's cache may be seconds old: it doesn't show that a copy is complete. Guards
/// against a member that has left and is used, because an old answer was vouched for as a new one.
#[test]
fn cached_answer_shows_nothing() {
    let mut world = World::new(Mode::Long);
    world.follower.next_call(at(1_000)).unwrap();
    world.follower.finish(at(1_010), listed(10));
    let Some(Call::Watch { freshness, .. }) = world.follower.next_call(at(1_010)) else {
        panic!("no watch");
    };
    assert_eq!(freshness, Freshness::Cached);
    let cached = Answer::Watched(Ok((Vec::new(), 10)));
    world.follower.finish(at(9_000), cached);
    assert_eq!(world.seen.borrow().checked, Some(at(1_000)));
    // Without reads of the control objects, nothing but the answers shows it.
    world.follower.set_mode(Mode::Short);
    let Some(Call::Watch { freshness, .. }) = world.follower.next_call(at(9_010)) else {
        panic!("no watch");
    };
    assert_eq!(freshness, Freshness::Latest);
}

/// An instance that is lost while it passes on what it has doesn't keep another one from doing so.
#[test]
fn silent_source_is_replaced() {
    let mut world = World::idle();
    let [first, second] = [7, 8].map(|port| net::SocketAddr::from(([127, 0, 0, 1], port)));
    let newer = |source| follow::Command::Newer(source, 12);
    world.follower.handle(at(5_000), newer(first));
    world.follower.handle(at(5_100), newer(second));
    assert_eq!(world.seen.borrow().asked, [first]);
    world.follower.check(at(5_150));
    world.follower.handle(at(5_160), newer(second));
    assert_eq!(world.seen.borrow().asked, [first, first, second]);
}
