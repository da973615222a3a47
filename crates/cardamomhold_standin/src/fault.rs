//! Faults of an endpoint that can be switched at run time.

use std::collections;
use std::sync;
use std::sync::atomic;

use tokio::sync::watch;

#[derive(Debug, Clone, Default)]
struct State {
    frozen: bool,
    isolated_from: collections::BTreeSet<String>,
    hung_below: u64,
}

/// Switches for the faults of one endpoint.
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
    /// Sets whether the endpoint is frozen, that is, handles no message and sends no answer.
    pub fn freeze(&self, on: bool) {
        self.state.send_modify(|s| s.frozen = on);
    }

    /// Returns whether the endpoint is frozen.
    pub fn is_frozen(&self) -> bool {
        self.state.borrow().frozen
    }

    /// Stops traffic with peers whose application name starts with one of `names`.
    /// Replaces the names of the previous call.
    pub fn isolate_from<'a>(&self, names: impl IntoIterator<Item = &'a str>) {
        let names = names.into_iter().map(str::to_owned).collect();
        self.state.send_modify(|s| s.isolated_from = names);
    }

    /// Makes connections with numbers below `number` unresponsive, permanently.
    pub fn hang_below(&self, number: u64) {
        self.state.send_modify(|s| s.hung_below = number);
    }

    /// Drops the answers to the next `count` commits of writes, which still take effect.
    pub fn lose_answers(&self, count: u32) {
        self.lost_answers.store(count, atomic::Ordering::SeqCst);
    }

    /// Returns whether to drop the answer to this commit; if so, decrements the number to drop.
    pub fn consume_lost_answer(&self) -> bool {
        let decrement = |n: u32| n.checked_sub(1);
        let previous = self.lost_answers.fetch_update(
            atomic::Ordering::SeqCst,
            atomic::Ordering::SeqCst,
            decrement,
        );
        previous.is_ok()
    }

    /// Waits while a fault blocks `peer` on connection `number`.
    pub async fn await_unblocked(&self, peer: &str, number: u64) {
        let mut state = self.state.subscribe();
        let is_unblocked = |s: &State| {
            !s.frozen
                && number >= s.hung_below
                && !s
                    .isolated_from
                    .iter()
                    .any(|name| peer.starts_with(name.as_str()))
        };
        // `self` keeps the sender alive, so `wait_for` can't fail.
        let _ = state.wait_for(is_unblocked).await;
    }
}
