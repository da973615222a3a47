//! One instance: its copies, its lease, and whom it asks.

use std::cell;
use std::rc;

use cardamomhold_entry::contents::Kind;
use cardamomhold_entry::currency::Mode;
use cardamomhold_entry::follow;
use cardamomhold_entry::registry;
use cardamomhold_lead::renewal;

use super::Disabled;
use super::How;
use super::name_of;
use super::peers::Message;
use super::process::Asked;
use super::process::Process;
use super::process::Report;
use super::store;
use super::store::at;

/// Interval of the coordinator's ticks, in ms.
const TICK_MS: u64 = 100;

/// Timeout of a read of the control objects.
const READ_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(1_000);

/// Time after an outage within which the other instances wait for the first one's listing.
const RESTART_DELAY: std::time::Duration = std::time::Duration::from_millis(900);

pub struct Instance {
    pub(super) index: usize,
    registered: registry::Instances,
    is_passed: bool,
    pub(super) disabled: Disabled,
    pub(super) process: Process,
    reports: rc::Rc<cell::RefCell<Vec<(Kind, Report)>>>,
    running: Vec<store::Running>,
    number: u64,
    /// Newest revision of each kind of which the objects are known.
    pub known: [u64; 3],
    /// Datagrams to send.
    pub sent: Vec<(usize, Message)>,
    /// Until when it isn't running, and is out of reach.
    stopped_until: u64,
    cut_until: u64,
    /// When it was last disturbed.
    disturbed: Option<u64>,
    is_killed: bool,
}

impl Instance {
    pub fn new(
        index: usize,
        registered: &registry::Instances,
        is_passed: bool,
        disabled: Disabled,
    ) -> Self {
        let reports = rc::Rc::default();
        Self {
            index,
            registered: registered.clone(),
            is_passed,
            disabled,
            process: Process::start(0, is_passed, &reports),
            reports,
            running: Vec::new(),
            number: 0,
            known: [0; 3],
            sent: Vec::new(),
            stopped_until: 0,
            cut_until: 0,
            disturbed: Some(0),
            is_killed: false,
        }
    }

    pub fn disturb(&mut self, now: u64, how: How) {
        let until = match how {
            How::Killed(ms) => {
                self.is_killed = true;
                self.running.clear();
                self.stopped_until = self.stopped_until.max(now + ms);
                self.stopped_until
            }
            How::Frozen(ms) => {
                self.stopped_until = self.stopped_until.max(now + ms);
                self.stopped_until
            }
            How::Cut(ms) => {
                self.cut_until = self.cut_until.max(now + ms);
                self.cut_until
            }
        };
        self.disturbed = self.disturbed.max(Some(until));
    }

    pub fn is_running(&self, now: u64) -> bool {
        now >= self.stopped_until
    }

    pub fn is_cut(&self, now: u64) -> bool {
        now < self.cut_until
    }

    /// Whether it has been without disturbance for `window` ms.
    pub fn is_calm(&self, now: u64, window: u64) -> bool {
        self.disturbed.is_none_or(|until| now >= until + window)
    }

    /// Lets a step pass; returns whether the store has answered a read of the control objects.
    pub fn step(&mut self, now: u64, store: &mut store::Store) -> bool {
        if !self.is_running(now) {
            return false;
        }
        if std::mem::take(&mut self.is_killed) {
            self.process = Process::start(now, self.is_passed, &self.reports);
            self.known = [0; 3];
        }
        let has_read = self.finish_calls(now, store);
        if (now + self.index as u64 * 35) % TICK_MS < super::STEP_MS {
            self.tick(now, store);
        }
        self.handle_reports(now);
        self.start_calls(now, store);
        has_read
    }

    fn finish_calls(&mut self, now: u64, store: &store::Store) -> bool {
        let is_reachable = !self.is_cut(now);
        let mut has_read = false;
        for mut running in std::mem::take(&mut self.running) {
            let Some(answer) = store.poll(now, &mut running, is_reachable) else {
                self.running.push(running);
                continue;
            };
            match running.kind {
                None => has_read |= self.finish_read(now, running.sent, answer),
                Some(kind) => self.finish_call(now, kind, answer),
            }
        }
        // A follower may have abandoned its call.
        let followers = &self.process.followers;
        self.running
            .retain(|r| r.kind.is_none_or(|k| followers[k as usize].is_calling()));
        has_read
    }

    fn finish_call(&mut self, now: u64, kind: Kind, answer: follow::Answer) {
        let former = &mut self.process.former[kind as usize];
        match &answer {
            follow::Answer::Watched(Ok(_)) => former.pause = 200,
            follow::Answer::Listed(Ok(_)) => {}
            _ => {
                former.due = now + former.pause;
                former.pause = (former.pause * 4).min(3_200);
            }
        }
        self.process.followers[kind as usize].finish(at(now), answer);
    }

    fn finish_read(&mut self, now: u64, sent: u64, answer: follow::Answer) -> bool {
        let process = &mut self.process;
        let follow::Answer::Listed(Ok(listing)) = answer else {
            process.is_disconnected = true;
            return false;
        };
        process.currency.record_control(at(sent), listing.revision);
        for follower in &mut process.followers {
            follower.handle(
                at(now),
                follow::Command::Revision(at(sent), listing.revision),
            );
        }
        if std::mem::take(&mut process.is_disconnected) {
            process.regained = Some(now);
        }
        self.confirm(now, sent);
        true
    }

    pub(super) fn confirm(&mut self, now: u64, sent: u64) {
        let before = self.process.lease.expiry();
        self.process.lease.confirm(at(sent));
        if self.process.lease.expiry() > before {
            for (to, number, since) in std::mem::take(&mut self.process.held) {
                self.answer_renewal(now, to, number, since);
            }
        }
    }

    fn tick(&mut self, now: u64, store: &mut store::Store) {
        self.request_vouch(now);
        self.publish_modes(now);
        self.restart_watches(now);
        let held = std::mem::take(&mut self.process.held);
        for (to, number, since) in held {
            match now >= since + renewal::MAX_HOLD.as_millis() as u64 {
                true => self.answer_renewal(now, to, number, since),
                false => self.process.held.push((to, number, since)),
            }
        }
        self.renew_lease(now, store);
    }

    fn request_vouch(&mut self, now: u64) {
        let own = name_of(self.index);
        let process = &mut self.process;
        let rank = registry::watcher_rank(&process.instances, &own);
        if let Some(turn) = process.currency.next_request(at(now), rank) {
            for entry in registry::vouching(&process.instances, &own, turn) {
                let message = Message::VouchRequest { sent: now };
                self.sent.push((entry.address.port() as usize - 1, message));
            }
        }
    }

    pub(super) fn publish_modes(&mut self, now: u64) {
        let own = name_of(self.index);
        let process = &mut self.process;
        let rank_of = |name: &_| registry::watcher_rank(&process.instances, name);
        let modes = process
            .currency
            .modes(at(now), &own, rank_of, process.modes);
        for (kind, mode) in modes.into_iter().enumerate() {
            if mode != process.modes[kind] {
                process.followers[kind].set_mode(mode);
            }
        }
        process.modes = modes;
    }

    fn restart_watches(&mut self, now: u64) {
        let own = name_of(self.index);
        let process = &mut self.process;
        let is_first = registry::watcher_rank(&process.instances, &own) == 0;
        let delay = RESTART_DELAY.as_millis() as u64;
        let is_due = process
            .regained
            .take_if(|at| is_first || now >= *at + delay)
            .is_some();
        if is_due && process.modes.iter().any(|m| *m != Mode::Idle) {
            process.restarts.request();
        }
        if process.restarts.begin(at(now)) {
            for follower in &mut process.followers {
                follower.restart(at(now));
            }
        }
    }

    fn choose_reader(&mut self, now: u64) -> (renewal::Level, usize) {
        let own = name_of(self.index);
        let process = &mut self.process;
        let index_of = |name: &_| process.instances.keys().position(|n| n == name);
        let preferred = registry::reader(&process.instances, &own, 0);
        if *preferred != own && !process.renewal.acts_as_reader(at(now)) {
            let level = renewal::Level::Zone;
            let skipped = process.renewal.skipped_readers(at(now), level);
            let reader = registry::reader(&process.instances, &own, skipped);
            if *reader != own {
                return (level, index_of(reader).unwrap_or(self.index));
            }
        }
        let level = renewal::Level::Fleet;
        let first = registry::fleet_reader(&process.instances, &own, 0);
        let skipped = match *first == own {
            true => 0,
            false => process.renewal.skipped_readers(at(now), level),
        };
        let reader = registry::fleet_reader(&process.instances, &own, skipped);
        (level, index_of(reader).unwrap_or(self.index))
    }

    fn renew_lease(&mut self, now: u64, store: &mut store::Store) {
        let remaining = self.process.lease.expiry().since(at(now));
        let (level, reader) = self.choose_reader(now);
        let process = &mut self.process;
        let is_reader = reader == self.index;
        let is_disconnected = process.is_disconnected;
        let requests = process
            .renewal
            .next(at(now), remaining, is_reader, is_disconnected);
        let is_reading = self.running.iter().any(|r| r.kind.is_none());
        if requests.store && !is_reading {
            let call = follow::Call::List {
                timeout: READ_TIMEOUT,
            };
            store.count_call(now, self.index, None);
            self.running
                .push(store::Running::new(self.index, now, None, call));
        }
        if requests.reader {
            self.number += 1;
            let number = self.number;
            process.asked.push(Asked {
                number,
                sent: now,
                level,
            });
            process.renewal.record_sent(at(now), level);
            self.sent.push((reader, Message::Renewal { number }));
        }
        // The voters answer, unless this instance is out of reach.
        if requests.majority && !self.is_cut(now) {
            self.confirm(now, now);
        }
    }

    fn start_calls(&mut self, now: u64, store: &mut store::Store) {
        for kind in Kind::ALL {
            let former = self.process.former[kind as usize];
            if self.disabled == Disabled::Backoff && now < former.due {
                continue;
            }
            if let Some(call) = self.process.followers[kind as usize].next_call(at(now)) {
                store.count_call(now, self.index, Some(kind));
                self.running.retain(|r| r.kind != Some(kind));
                let running = store::Running::new(self.index, now, Some(kind), call);
                self.running.push(running);
            }
            self.process.followers[kind as usize].check(at(now));
        }
        self.handle_reports(now);
    }

    fn handle_reports(&mut self, now: u64) {
        let reports = std::mem::take(&mut *self.reports.borrow_mut());
        for (kind, report) in reports {
            match report {
                Report::Changed(revision) => {
                    self.known[kind as usize] = self.known[kind as usize].max(revision);
                }
                Report::Held(held) => {
                    if kind == Kind::Instances && held.revision.is_some() {
                        self.process.instances = self.registered.clone();
                    }
                    self.process.currency.record_held(kind, held);
                    self.publish_modes(now);
                }
                Report::Send(to, message) => {
                    let to = to.port() as usize - 1;
                    self.sent.push((to, Message::Contents(message)));
                }
            }
        }
    }
}
