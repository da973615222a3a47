//! How a task that follows a kind handles the coordinator's commands and other instances' datagrams.

use std::net;

use cardamomhold_core::time::Timestamp;

use crate::contents;
use crate::follow::Command;
use crate::follow::Follower;
use crate::follow::Progress;

impl<F: FnMut(Progress<'_>)> Follower<F> {
    /// Handles a command of the coordinator.
    pub fn handle(&mut self, now: Timestamp, command: Command) {
        match command {
            Command::Newer(source, head) => {
                let revision = self.replica.revision();
                let is_fetching = self.fetch.as_ref().is_some_and(|f| !f.is_silent());
                if is_fetching || revision.is_some_and(|r| r >= head) {
                    return;
                }
                let (fetch, request) =
                    contents::Fetch::start(now, source, self.watched.id, revision);
                self.fetch = Some(fetch);
                self.send(source, contents::Message::Request(request));
            }
            Command::Revision(sent, revision) => {
                self.backoff.record_success(sent);
                if self.replica.revision().is_some_and(|r| r < revision) {
                    self.plan_check(now, self.watched.silence / 4);
                }
            }
            Command::Received(from, contents::Message::Request(request)) => {
                self.answer(from, request);
            }
            Command::Received(from, contents::Message::Page(page)) => {
                if let Some(fetch) = &mut self.fetch {
                    let step = fetch.receive(now, from, page);
                    self.handle_step(step);
                }
            }
            Command::Received(from, contents::Message::Unavailable(_)) => {
                if self.fetch.as_ref().is_some_and(|f| f.source == from) {
                    self.handle_step(contents::Step::GiveUp);
                }
            }
        }
    }

    fn send(&mut self, to: net::SocketAddr, message: contents::Message) {
        (self.on_progress)(Progress::Send(to, message));
    }

    /// Answers another instance's request.
    fn answer(&mut self, from: net::SocketAddr, request: contents::Request) {
        let is_passed = self
            .replica
            .documents()
            .values()
            .all(self.watched.is_passed);
        let encoded = self.replica.encode_after(request.after);
        let pages: Vec<_> = match encoded.filter(|_| is_passed) {
            Some((revision, encoded)) => request.pages(revision, encoded).collect(),
            None => return self.send(from, contents::Message::Unavailable(request.kind)),
        };
        for page in pages {
            self.send(from, contents::Message::Page(page));
        }
    }

    pub(super) fn handle_step(&mut self, step: contents::Step) {
        match step {
            contents::Step::Wait => {}
            contents::Step::Request(request) => {
                if let Some(source) = self.fetch.as_ref().map(|f| f.source) {
                    self.send(source, contents::Message::Request(request));
                }
            }
            contents::Step::Done(update) => {
                self.fetch = None;
                if self.replica.update(update) {
                    self.drop_listing();
                    self.publish(true, None);
                }
            }
            contents::Step::GiveUp => {
                self.fetch = None;
                self.is_listing_due = true;
            }
        }
    }
}
