//! What an instance loses when its process ends.

use std::cell;
use std::net;
use std::rc;

use cardamomhold_entry::contents;
use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::currency;
use cardamomhold_entry::currency::Mode;
use cardamomhold_entry::follow;
use cardamomhold_entry::follow::Progress;
use cardamomhold_entry::registry;
use cardamomhold_entry::restarts;
use cardamomhold_entry::store::Freshness;
use cardamomhold_lead::lease;
use cardamomhold_lead::renewal;

use super::store::at;

const BOUNDS: currency::Bounds = currency::Bounds {
    config: std::time::Duration::from_millis(super::CONFIG_MS),
    members: std::time::Duration::from_millis(super::MEMBERS_MS),
};

pub type OnProgress = Box<dyn FnMut(Progress<'_>)>;

/// What a follower reports, with its kind.
#[derive(Debug)]
pub enum Report {
    Changed(u64),
    Held(currency::Held),
    Send(net::SocketAddr, contents::Message),
}

/// A request for a renewal that this instance has sent.
#[derive(Debug, Clone, Copy)]
pub struct Asked {
    pub number: u64,
    pub sent: u64,
    pub level: renewal::Level,
}

/// The pause of [`super::Disabled::Backoff`].
#[derive(Debug, Clone, Copy)]
pub struct FormerPause {
    pub due: u64,
    pub pause: u64,
}

/// What is lost when the process ends.
pub struct Process {
    pub currency: currency::Currency,
    pub followers: [follow::Follower<OnProgress>; 3],
    pub modes: [Mode; 3],
    pub instances: registry::Instances,
    pub lease: lease::Lease,
    pub renewal: renewal::Renewal,
    pub asked: Vec<Asked>,
    /// Renewals to answer with the next confirmation: the sender, the number and the arrival.
    pub held: Vec<(usize, u64, u64)>,
    pub is_disconnected: bool,
    pub regained: Option<u64>,
    pub restarts: restarts::Restarts,
    pub former: [FormerPause; 3],
}

fn watched(kind: Kind, is_passed: bool) -> follow::Watched {
    let (bound, pause, freshness) = match kind {
        Kind::Config => (super::CONFIG_MS, 200, Freshness::Latest),
        Kind::Members => (super::MEMBERS_MS, 400, Freshness::Cached),
        Kind::Instances => (30_000, 1_000, Freshness::Latest),
    };
    let is_passed: fn(&_) -> bool = match is_passed || kind != Kind::Config {
        true => |_| true,
        false => |_| false,
    };
    follow::Watched {
        id: kind,
        kind: "objects",
        pause: std::time::Duration::from_millis(pause),
        freshness,
        silence: std::time::Duration::from_millis(bound / 3),
        lists_first: kind == Kind::Instances,
        is_passed,
    }
}

impl Process {
    pub fn start(
        now: u64,
        is_passed: bool,
        reports: &rc::Rc<cell::RefCell<Vec<(Kind, Report)>>>,
    ) -> Self {
        let followers = Kind::ALL.map(|kind| {
            let reports = reports.clone();
            let on_progress = move |progress: Progress<'_>| {
                let report = match progress {
                    Progress::Changed(documents) => {
                        Report::Changed(documents.values().map(|d| d.revision).max().unwrap_or(0))
                    }
                    Progress::Held(held) => Report::Held(held),
                    Progress::Send(to, message) => Report::Send(to, message),
                };
                reports.borrow_mut().push((kind, report));
            };
            let on_progress: OnProgress = Box::new(on_progress);
            follow::Follower::new(watched(kind, is_passed), Mode::Idle, on_progress)
        });
        Self {
            currency: currency::Currency::new(at(now), BOUNDS),
            followers,
            modes: [Mode::Idle; 3],
            instances: registry::Instances::new(),
            lease: lease::Lease::new(at(now)),
            renewal: renewal::Renewal::default(),
            asked: Vec::new(),
            held: Vec::new(),
            is_disconnected: false,
            regained: None,
            restarts: restarts::Restarts::default(),
            former: [FormerPause { due: 0, pause: 200 }; 3],
        }
    }
}
