//! An instance that was cut off does not act on what it knew before.

// Helpers of tests unwrap as tests do.
#![allow(clippy::unwrap_used)]

mod world;

use std::cell;
use std::rc;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;
use cardamomhold_entry::control;
use cardamomhold_entry::handover;
use cardamomhold_entry::keeper;
use cardamomhold_entry::needs;
use cardamomhold_entry::promoter;
use cardamomhold_entry::store;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;
use cardamomhold_lead::suspicion;

/// A store in memory that counts its writes.
#[derive(Debug, Clone, Default)]
struct Store {
    documents: rc::Rc<cell::RefCell<Vec<store::Document>>>,
    writes: rc::Rc<cell::Cell<u32>>,
}

impl store::Store for Store {
    async fn list(&self, _: &str) -> Result<store::Listing, store::StoreError> {
        Ok(store::Listing {
            documents: self.documents.borrow().clone(),
            revision: 1,
        })
    }

    async fn watch(
        &self,
        _: &str,
        _: u64,
        _: time::Duration,
    ) -> Result<(Vec<store::Change>, u64), store::StoreError> {
        std::future::pending().await
    }

    async fn write(
        &self,
        _: &str,
        name: &str,
        content: &serde_json::Value,
        _: store::Condition,
    ) -> Result<store::Written, store::StoreError> {
        self.writes.set(self.writes.get() + 1);
        let document = store::Document {
            name: name.to_owned(),
            revision: 2,
            content: content.clone(),
        };
        let mut documents = self.documents.borrow_mut();
        documents.retain(|d| d.name != name);
        documents.push(document.clone());
        Ok(store::Written::Done(document))
    }
}

#[derive(Debug, Clone, Default)]
struct Promoter(rc::Rc<cell::Cell<u32>>);

impl promoter::Promoter for Promoter {
    async fn promote(
        &self,
        _: &name::GroupName,
        _: &name::MemberName,
        _: &promotion_lock::PromotionLock,
    ) -> Result<(), promoter::PromoteError> {
        self.0.set(self.0.get() + 1);
        Ok(())
    }
}

fn instance(text: &str) -> name::InstanceName {
    name::InstanceName::parse(text).unwrap()
}

/// Another instance has finished the change meanwhile: its work is not undone, and the duty
/// stays where it is.
#[test]
fn seen_to_by_others() {
    world::run(async {
        let store = Store::default();
        let group = world::group_name();
        let first = record::Leadership::first(&group, &world::member("a"), position::Term(1));
        let taken = first
            .ended()
            .with_primary(&world::member("b"), position::Term(2));
        let held = promotion_lock::PromotionLock::acquired(None, &instance("entry-1"));
        let new = store::Condition::New;
        control::write_record(&store, &taken, new).await.unwrap();
        control::write_duty(&store, &held, new).await.unwrap();
        store.writes.set(0);
        let edges = handover::Edges {
            store: store.clone(),
            connector: world::Members::default(),
            promoter: Promoter::default(),
        };
        let job = handover::Job {
            own: instance("entry-2"),
            group,
            change: first.ended().change,
            cause: suspicion::Cause::Unfinished,
            members: Vec::new(),
            leaving: Vec::new(),
            voters: vec![instance("entry-2")],
        };
        let (keeper, mut told) = keeper::mailbox();
        let ended = handover::run(&edges, &job, &keeper).await;
        assert!(
            matches!(ended, Err(handover::HandoverError::Overtaken)),
            "{ended:?}"
        );
        assert_eq!(store.writes.get(), 0);
        assert_eq!(edges.promoter.0.get(), 0);
        // The keeper learns what was found.
        assert!(matches!(told.try_recv(), Ok(keeper::Event::Confirmed(..))));
    });
}

/// The holder's silence counts only from when this instance is in touch again.
#[test]
fn silence_after_cut() {
    let at = Timestamp::from_millis;
    let group = world::group_name();
    let first = record::Leadership::first(&group, &world::member("a"), position::Term(1));
    let mut needs = needs::Needs::default();
    let cause = needs.cause(at(1_000), &first.ended(), None, 21);
    assert_eq!(cause, Some(suspicion::Cause::Unfinished));
    let place = needs::Place {
        is_holder: false,
        heard: None,
        regained: None,
        is_away: false,
        turn: 2,
        instances: 21,
    };
    let mine = |now, place| needs.is_mine(at(now), group.as_str(), place);
    assert!(mine(7_000, place));
    let away = needs::Place {
        is_away: true,
        ..place
    };
    assert!(!mine(7_000, away));
    let back = needs::Place {
        regained: Some(at(6_800)),
        ..place
    };
    assert!(!mine(7_000, back));
    assert!(mine(8_400, back));
}
