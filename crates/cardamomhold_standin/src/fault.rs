//! Faults of an endpoint, switched on and off while it runs.

use std::collections;
use std::sync;
use std::sync::atomic;

use tokio::sync::watch;

#[derive(Debug, Clone, Default)]
struct State {
    frozen: bool,
    cut: collections::BTreeSet<String>,
    deaf_below: u64,
}

/// Switches for one endpoint's faults.
#[derive(Debug, Clone)]
pub struct Faults {
    state: sync::Arc<watch::Sender<State>>,
    lost_answers: sync::Arc<atomic::AtomicU32>,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            state: sync::Arc::new(watch::Sender::new(State::default())),
            lost_answers: sync::Arc::default(),
        }
    }
}

impl Faults {
    /// Stops the whole endpoint from reading and answering, or lets it go on.
    pub fn freeze(&self, on: bool) {
        self.state.send_modify(|s| s.frozen = on);
    }

    /// Whether the endpoint is frozen.
    pub fn is_frozen(&self) -> bool {
        self.state.borrow().frozen
    }

    /// Cuts the endpoint off from peers whose application name starts with one of `names`.
    pub fn cut<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let names = names.into_iter().map(str::to_owned).collect();
        self.state.send_modify(|s| s.cut = names);
    }

    /// Lets connections with numbers below `number` go silent for good.
    pub fn deafen_below(&self, number: u64) {
        self.state.send_modify(|s| s.deaf_below = number);
    }

    /// Loses the answers of the next `count` commits after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, atomic::Ordering::SeqCst);
    }

    /// Whether this commit's answer is to be lost; counts down.
    pub fn takes_answer(&self) -> bool {
        let less = |n: u32| n.checked_sub(1);
        let taken = self.lost_answers.fetch_update(
            atomic::Ordering::SeqCst,
            atomic::Ordering::SeqCst,
            less,
        );
        taken.is_ok()
    }

    /// Waits while the endpoint can't talk to `peer` on connection `number`.
    pub async fn gate(&self, peer: &str, number: u64) {
        let mut state = self.state.subscribe();
        let is_open = |s: &State| {
            !s.frozen
                && number >= s.deaf_below
                && !s.cut.iter().any(|name| peer.starts_with(name.as_str()))
        };
        // The sender lives as long as `self`, so the wait ends only when the gate opens.
        let _ = state.wait_for(is_open).await;
    }
}
