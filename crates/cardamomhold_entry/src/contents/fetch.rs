//! The pages of an update, as the asking instance collects them.

use std::collections;
use std::net;
use std::time;

use cardamomhold_core::time::Timestamp;

use crate::contents::Kind;
use crate::contents::Update;
use crate::contents::update::MAX_UPDATE_LEN;

/// Bytes of an update in one datagram, which fits a frame of Ethernet.
const PAGE_LEN: usize = 1_200;

/// Pages that answer one request.
const MAX_PAGES: usize = 8;

/// Time without a page after which the missing ones are requested again.
const PAGE_TIMEOUT: time::Duration = time::Duration::from_millis(150);

/// Requests without a page after which the store is asked instead.
const MAX_TRIES: u32 = 3;

/// Asks for what the sender's copy lacks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The kind of objects.
    pub kind: Kind,
    /// Revision of the sender's copy; none without one.
    pub after: Option<u64>,
    /// First byte of the encoded update to send.
    pub offset: u32,
}

/// A part of an encoded update.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Page {
    /// The kind of objects.
    pub kind: Kind,
    /// Revision of the asking instance's copy.
    pub after: Option<u64>,
    /// Revision to which the update leads.
    pub revision: u64,
    /// Length of the update.
    pub len: u32,
    /// Position of these bytes in it.
    pub offset: u32,
    /// The bytes.
    pub bytes: Vec<u8>,
}

impl Request {
    /// The pages that answer a request from an encoded update that leads to `revision`.
    pub fn pages(self, revision: u64, encoded: &[u8]) -> impl Iterator<Item = Page> {
        let start = (self.offset as usize).min(encoded.len());
        let chunks = encoded[start..].chunks(PAGE_LEN).take(MAX_PAGES);
        chunks.enumerate().map(move |(index, chunk)| Page {
            kind: self.kind,
            after: self.after,
            revision,
            len: encoded.len() as u32,
            offset: (start + index * PAGE_LEN) as u32,
            bytes: chunk.to_vec(),
        })
    }
}

/// What to do after a page or a timeout.
#[derive(Debug, PartialEq)]
pub enum Step {
    /// Wait for more pages.
    Wait,
    /// Send a request.
    Request(Request),
    /// Apply the update.
    Done(Update),
    /// Ask the store: the other instance is silent, or its update can't be decoded.
    GiveUp,
}

/// The collection of one update from another instance.
#[derive(Debug)]
pub struct Fetch {
    /// The instance that is asked.
    pub source: net::SocketAddr,
    kind: Kind,
    after: Option<u64>,
    /// Revision to which the pages lead.
    revision: u64,
    len: usize,
    pages: collections::BTreeMap<usize, Vec<u8>>,
    /// End of the bytes that the last request asked for.
    requested: usize,
    active: Timestamp,
    tries: u32,
}

impl Fetch {
    /// Starts a collection, with its first request.
    pub fn start(
        now: Timestamp,
        source: net::SocketAddr,
        kind: Kind,
        after: Option<u64>,
    ) -> (Self, Request) {
        let fetch = Self {
            source,
            kind,
            after,
            revision: 0,
            len: usize::MAX,
            pages: collections::BTreeMap::new(),
            requested: MAX_PAGES * PAGE_LEN,
            active: now,
            tries: 1,
        };
        let request = fetch.request(0);
        (fetch, request)
    }

    /// When [`Fetch::check`] is due.
    pub fn due(&self) -> Timestamp {
        self.active.after(PAGE_TIMEOUT)
    }

    /// Whether a request has remained without an answer.
    pub fn is_silent(&self) -> bool {
        self.tries > 1
    }

    /// Handles a page. Those of an older copy or of another instance are ignored, as two instances
    /// may encode the same revision differently; a newer copy starts the collection again.
    pub fn receive(&mut self, now: Timestamp, from: net::SocketAddr, page: Page) -> Step {
        let is_expected =
            from == self.source && page.after == self.after && page.revision >= self.revision;
        let is_inside = page.offset < page.len.max(1) && page.len as usize <= MAX_UPDATE_LEN;
        // Pages begin at multiples of their length, so that their number is bounded.
        let is_page =
            page.bytes.len() <= PAGE_LEN && (page.offset as usize).is_multiple_of(PAGE_LEN);
        if !is_expected || !is_inside || !is_page {
            return Step::Wait;
        }
        if page.revision > self.revision || page.len as usize != self.len {
            self.pages.clear();
            self.revision = page.revision;
            self.requested = MAX_PAGES * PAGE_LEN;
        }
        self.active = now;
        self.tries = 0;
        self.len = page.len as usize;
        self.pages.insert(page.offset as usize, page.bytes);
        let received = self.received();
        if received >= self.len {
            let bytes: Vec<u8> = std::mem::take(&mut self.pages)
                .into_values()
                .flatten()
                .collect();
            return Update::decode(&bytes).map_or(Step::GiveUp, Step::Done);
        }
        if received < self.requested {
            return Step::Wait;
        }
        self.requested = received + MAX_PAGES * PAGE_LEN;
        Step::Request(self.request(received))
    }

    /// Requests the missing pages if none has come for a while.
    pub fn check(&mut self, now: Timestamp) -> Step {
        if now < self.due() {
            return Step::Wait;
        }
        if self.tries >= MAX_TRIES {
            return Step::GiveUp;
        }
        self.tries += 1;
        self.active = now;
        let received = self.received();
        self.requested = received + MAX_PAGES * PAGE_LEN;
        Step::Request(self.request(received))
    }

    fn request(&self, offset: usize) -> Request {
        Request {
            kind: self.kind,
            after: self.after,
            offset: offset as u32,
        }
    }

    /// Number of bytes from the beginning without a gap.
    fn received(&self) -> usize {
        let mut end = 0;
        for (offset, bytes) in &self.pages {
            if *offset != end {
                break;
            }
            end += bytes.len();
        }
        end
    }
}
