//! State of one member in its group's pool: connections, load, log position and health.

use std::time;

use cardamomhold_core::backoff;
use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::time::Timestamp;

use crate::load;
use crate::share;

/// Assumed service time before the first measurement, in microseconds.
const INITIAL_SERVICE_US: f64 = 20_000.0;

/// Weight of each new sample in the moving average of the service time.
const SERVICE_SAMPLE_WEIGHT: f64 = 1.0 / 8.0;

/// Added cost of a member in another zone, in microseconds.
const CROSS_ZONE_COST_US: f64 = 15_000.0;

/// Time in which a replica usually applies the log entries it lacked; doubled each time that
/// it still lacks some.
const CATCH_UP_DELAY: time::Duration = time::Duration::from_millis(60);

/// Maximum time for which a replica that lacked log entries is skipped.
const MAX_CATCH_UP_DELAY: time::Duration = time::Duration::from_millis(960);

/// Longest time between two refusals of a replica that belong to the same lag.
const MAX_MISS_INTERVAL: time::Duration = time::Duration::from_millis(5_000);

/// Delay before the first probe of a failed member; doubled with each further failure.
const RETRY_DELAY: time::Duration = time::Duration::from_millis(50);

/// Maximum delay before a probe, in a fleet of at most [`FULL_RATE_INSTANCES`].
const MAX_RETRY_DELAY: time::Duration = time::Duration::from_millis(400);

/// Maximum delay before a probe in a fleet of any size.
const MAX_LARGE_RETRY_DELAY: time::Duration = time::Duration::from_millis(4_000);

/// Number of instances up to which each probes a member at the full rate. All probes go to the
/// member's owner, as a connection each: 100 instances opened 547 connections a second at one.
const FULL_RATE_INSTANCES: usize = 32;

/// The maximum delay before a probe with this number of instances, at which all together probe a
/// member no more often than [`FULL_RATE_INSTANCES`] do.
pub(crate) fn max_probe_delay(instances: usize) -> time::Duration {
    let share = instances as f64 / FULL_RATE_INSTANCES as f64;
    let delay = MAX_RETRY_DELAY.mul_f64(share.max(1.0));
    delay.min(MAX_LARGE_RETRY_DELAY)
}

/// Doublings of the delay before a probe, which reach the maximum.
const MAX_DOUBLINGS: u32 = 7;

/// Pause after the member refused a request because it had no free slot.
const REFUSAL_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Pauses after the member had no free connection.
const NO_CONNECTION_PAUSES: backoff::Schedule = backoff::Schedule {
    first: REFUSAL_PAUSE,
    max: time::Duration::from_millis(2_000),
    factor: 2,
    gap: time::Duration::from_millis(5_000),
};

/// Added cost of opening a connection, in microseconds.
const CONNECT_COST_US: f64 = 15_000.0;

/// Properties of a member, from the configuration and the members' entries.
#[derive(Debug, Clone, Copy)]
pub struct MemberInfo<'a> {
    /// The member's name.
    pub name: &'a name::MemberName,
    /// Whether the member is in the instance's own zone.
    pub is_near: bool,
    /// Whether the member accepts new requests.
    pub is_ready: bool,
    /// The instance's share of the member's connections.
    pub share: share::Share,
}

/// An idle connection.
#[derive(Debug)]
struct Idle<L> {
    link: L,
    released: Timestamp,
    /// The workspace that it serves.
    workspace: Option<name::WorkspaceName>,
}

/// A member of the group.
#[derive(Debug)]
pub struct Member<L> {
    pub(crate) name: name::MemberName,
    pub(crate) is_near: bool,
    pub(crate) is_ready: bool,
    /// Idle connections, latest last.
    idle: Vec<Idle<L>>,
    pub(crate) share: share::Share,
    idle_timeout: share::IdleTimeout,
    /// The load that the member's owner reported.
    pub(crate) load: load::Report,
    /// The pause after refusals for lack of a connection.
    no_connection: backoff::Backoff,
    /// Connections that are in use or being opened.
    pub(crate) in_use: usize,
    service_us: f64,
    position: Option<position::Position>,
    /// The last position that the member lacked, and the time when this was recorded.
    last_miss: Option<(position::Position, Timestamp)>,
    /// Consecutive times that the member lacked a position, apart from those less than
    /// [`CATCH_UP_DELAY`] after the one before.
    misses: u32,
    /// Consecutive failures; the member is down if there are any.
    failures: u32,
    /// Time from which a member that is down may be probed.
    retry_at: Timestamp,
    pub(crate) probe_running: bool,
    paused_until: Timestamp,
}

impl<L> Member<L> {
    pub(crate) fn new(info: &MemberInfo<'_>) -> Self {
        Self {
            name: info.name.clone(),
            is_near: info.is_near,
            is_ready: info.is_ready,
            idle: Vec::new(),
            share: info.share,
            idle_timeout: share::IdleTimeout::new(info.is_near),
            load: load::Report::default(),
            no_connection: backoff::Backoff::new(NO_CONNECTION_PAUSES),
            in_use: 0,
            service_us: INITIAL_SERVICE_US,
            position: None,
            last_miss: None,
            misses: 0,
            failures: 0,
            retry_at: Timestamp(0),
            probe_running: false,
            paused_until: Timestamp(0),
        }
    }

    /// Whether a request may use an idle connection or open one now.
    pub(crate) fn has_capacity(&self, now: Timestamp) -> bool {
        self.in_use < self.share.max_in_use() && !self.is_down() && now >= self.paused_until
    }

    /// Applies changed properties; a changed share closes the idle connections.
    pub(crate) fn update(&mut self, info: &MemberInfo<'_>) {
        self.is_near = info.is_near;
        self.is_ready = info.is_ready;
        if self.share != info.share {
            self.share = info.share;
            self.idle.clear();
        }
    }

    /// Removes and returns the idle connection for a workspace that was released last. A
    /// connection to an owner serves all workspaces, one to the member itself only its own: those
    /// of others are closed, so that they don't add up. One that was opened before an owner could
    /// be reached may still be here when the member has one again.
    pub(crate) fn take_idle(&mut self, workspace: Option<&name::WorkspaceName>) -> Option<L> {
        let is_relayed = self.share != share::Share::Contended;
        self.idle
            .retain(|i| i.workspace.as_ref() == workspace || (is_relayed && i.workspace.is_none()));
        self.idle.pop().map(|idle| idle.link)
    }

    /// Adds an idle connection that serves a workspace.
    pub(crate) fn put_idle(
        &mut self,
        now: Timestamp,
        link: L,
        workspace: Option<name::WorkspaceName>,
    ) {
        self.idle.push(Idle {
            link,
            released: now,
            workspace,
        });
    }

    /// Closes all idle connections.
    pub(crate) fn close_idle(&mut self) {
        self.idle.clear();
    }

    /// Time when the oldest idle connection must be closed. Only connections to a contended
    /// member expire, since other instances wait for them.
    pub(crate) fn next_expiry(&self) -> Option<Timestamp> {
        match self.share {
            share::Share::Local | share::Share::Relayed => None,
            share::Share::Contended => {
                let oldest = self.idle.first()?;
                Some(oldest.released.after(self.idle_timeout.get()))
            }
        }
    }

    /// Closes connections that have been idle for too long.
    pub(crate) fn close_expired(&mut self, now: Timestamp) {
        while self.next_expiry().is_some_and(|expiry| expiry <= now) {
            self.idle.remove(0);
        }
    }

    /// Whether the member failed and no probe has succeeded since.
    pub(crate) fn is_down(&self) -> bool {
        self.failures > 0
    }

    /// When the current pause ends; `None` if the member isn't paused.
    pub(crate) fn pause_end(&self, now: Timestamp) -> Option<Timestamp> {
        (self.paused_until > now).then_some(self.paused_until)
    }

    /// When the member may be probed; `None` if it isn't down or a probe is running.
    pub(crate) fn next_probe(&self) -> Option<Timestamp> {
        (self.is_down() && !self.probe_running).then_some(self.retry_at)
    }

    /// Marks a member that hasn't answered for a long time as down; it may be probed at once.
    pub(crate) fn mark_silent(&mut self, now: Timestamp) {
        if !self.is_down() {
            self.failures = 1;
            self.retry_at = now;
        }
    }

    /// Expected duration of one more request of this rank, with the added costs of another zone
    /// and of opening a connection, in microseconds.
    pub(crate) fn cost_us(&self, now: Timestamp, rank: u8) -> f64 {
        let service = self.service_us * (self.in_use + 1) as f64;
        let zone = if self.is_near {
            0.0
        } else {
            CROSS_ZONE_COST_US
        };
        let connect = match self.share {
            share::Share::Local | share::Share::Relayed => 0.0,
            share::Share::Contended if !self.idle.is_empty() => 0.0,
            share::Share::Contended => CONNECT_COST_US,
        };
        self.load.wait_us(now, rank) + service + zone + connect
    }

    /// Whether the member has reported a position of at least `needed`.
    pub(crate) fn has_reached(&self, needed: position::Position) -> bool {
        self.position.is_some_and(|p| p >= needed)
    }

    /// Whether the member has probably reached `needed` by now.
    pub(crate) fn may_have_reached(&self, now: Timestamp, needed: position::Position) -> bool {
        if self.has_reached(needed) {
            return true;
        }
        let delay = CATCH_UP_DELAY * 2u32.pow(self.misses.saturating_sub(1).min(4));
        self.last_miss
            .is_none_or(|(p, at)| needed < p || now >= at.after(delay.min(MAX_CATCH_UP_DELAY)))
    }

    /// Stores a position that the member reported.
    pub(crate) fn set_position(&mut self, position: position::Position) {
        self.position = Some(position);
    }

    /// Records that the member lacked the position `needed`.
    pub(crate) fn record_miss(&mut self, now: Timestamp, needed: position::Position) {
        self.misses = match self.last_miss {
            Some((_, at)) if now < at.after(CATCH_UP_DELAY) => self.misses,
            Some((_, at)) if now < at.after(MAX_MISS_INTERVAL) => self.misses + 1,
            Some(_) | None => 1,
        };
        self.last_miss = Some((needed, now));
    }

    /// Records an answer and its duration.
    pub(crate) fn record_answer(&mut self, duration: time::Duration) {
        let sample = duration.as_micros() as f64;
        self.service_us += (sample - self.service_us) * SERVICE_SAMPLE_WEIGHT;
        self.misses = 0;
        self.mark_up();
    }

    /// Marks the member as reachable.
    pub(crate) fn mark_up(&mut self) {
        self.failures = 0;
    }

    /// Records that the member had no free slot.
    pub(crate) fn record_no_slot(&mut self, now: Timestamp) {
        self.paused_until = now.after(REFUSAL_PAUSE);
    }

    /// Records that the member had no free connection.
    pub(crate) fn record_no_connection(&mut self, now: Timestamp) {
        let pause = self.no_connection.record_failure(now);
        self.idle_timeout.record_no_connection();
        self.paused_until = now.after(jitter(now, pause));
    }

    /// Records that a connection was opened.
    pub(crate) fn record_opened(&mut self) {
        self.no_connection.reset();
        self.idle_timeout.record_opened();
    }

    /// Records that a connection broke or could not be opened.
    pub(crate) fn record_failure(&mut self, now: Timestamp, max_delay: time::Duration) {
        let delay = RETRY_DELAY * 2u32.pow(self.failures.min(MAX_DOUBLINGS));
        self.failures += 1;
        self.retry_at = now.after(delay.min(max_delay));
    }
}

/// Between half and all of a pause. Instances whose attempts were refused together must not try
/// again together; the time of an event differs between them by more than a microsecond.
fn jitter(now: Timestamp, pause: time::Duration) -> time::Duration {
    let hash = now.0.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
    let fraction = hash as f64 / f64::from(u32::MAX);
    pause.mul_f64(0.5 + fraction / 2.0)
}
