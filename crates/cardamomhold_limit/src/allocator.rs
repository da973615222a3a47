//! The allocator: grants tokens for all workspaces, from one bucket for each.
//!
//! A bucket fills at the workspace's rate up to its burst. Tokens that were granted are gone: an
//! instance that doesn't use them lets them expire, as tokens that came back could be used a term
//! later than the bound allows.

use std::collections;
use std::time;

use cardamomhold_core::name;
use cardamomhold_core::time::Timestamp;
use cardamomhold_workspace::directory;

/// Least depth of a bucket. It keeps the tokens that come between two requests; the slack covers it
/// for a workspace whose burst is smaller.
const MIN_DEPTH: f64 = 4.0;

/// Time after which an instance's demand no longer counts.
const DEMAND_TIME: time::Duration = time::Duration::from_millis(500);

/// Instances whose demand for a workspace is known at a time; more share what is left.
const MAX_DEMANDS: usize = 64;

/// Bounds of the time for which an instance is told to refuse, when a bucket is empty. The lower
/// one bounds the requests of a workspace that is over its limit.
const MIN_EMPTY: time::Duration = time::Duration::from_millis(20);
/// The upper one lets an instance notice soon that a bucket has filled.
const MAX_EMPTY: time::Duration = time::Duration::from_millis(250);

/// The limits of all workspaces that have one.
pub type Limits = collections::BTreeMap<name::WorkspaceName, directory::Limit>;

/// Tokens that an instance asks for.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Wanted {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// Operations that wait for a token.
    pub waiting: u32,
    /// Operations that will come soon, with near certainty.
    pub likely: u32,
    /// Operations that may come soon.
    pub possible: u32,
}

/// Asks for tokens.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Request {
    /// The sender's process.
    pub incarnation: u64,
    /// Number of the request.
    pub number: u64,
    /// What it wants.
    pub wanted: Vec<Wanted>,
}

/// Tokens that an instance gets.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Grant {
    /// The workspace.
    pub workspace: name::WorkspaceName,
    /// Tokens.
    pub tokens: u32,
    /// Time for which there will be no more, in milliseconds; 0 when there are.
    pub empty_ms: u16,
}

/// Answers a request for tokens.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Answer {
    /// The process that sent the request.
    pub incarnation: u64,
    /// Number of the request.
    pub number: u64,
    /// The holder of the tenure, as far as the sender knows.
    pub holder: Option<name::InstanceName>,
    /// Time for which the sender expects that no instance holds the tenure, in milliseconds.
    pub vacant_ms: u16,
    /// The tokens; none when the sender isn't the holder. A workspace for which it knows no limit
    /// is left out.
    pub grants: Option<Vec<Grant>>,
}

#[derive(Debug)]
struct Bucket {
    limit: directory::Limit,
    tokens: f64,
    filled: Timestamp,
    /// The last demand of instances, with its time.
    demands: collections::BTreeMap<name::InstanceName, (Timestamp, u32)>,
}

impl Bucket {
    fn depth(&self) -> f64 {
        self.limit.burst.max(MIN_DEPTH)
    }

    fn fill(&mut self, now: Timestamp) {
        let added = now.since(self.filled).as_secs_f64() * self.limit.rate.max(0.0);
        self.tokens = (self.tokens + added).min(self.depth());
        self.filled = self.filled.max(now);
    }

    /// The instance's part of all recent demand, and the number of instances with any.
    fn share(&mut self, now: Timestamp, from: &name::InstanceName, demand: u32) -> (f64, usize) {
        let is_recent = |at: &Timestamp| now.since(*at) < DEMAND_TIME;
        if self.demands.len() >= MAX_DEMANDS {
            self.demands.retain(|_, (at, _)| is_recent(at));
        }
        if self.demands.len() < MAX_DEMANDS {
            self.demands.insert(from.clone(), (now, demand));
        }
        let recent = self.demands.values().filter(|(at, _)| is_recent(at));
        let (total, count) = recent.fold((0, 0), |(t, c), (_, d)| (t + u64::from(*d), c + 1));
        let total = total.max(u64::from(demand)).max(1);
        (f64::from(demand) / total as f64, count.max(1))
    }

    fn grant(&mut self, now: Timestamp, from: &name::InstanceName, wanted: &Wanted) -> Grant {
        self.fill(now);
        let demand = wanted.waiting.saturating_add(wanted.likely);
        let (share, count) = self.share(now, from, demand);
        let all = demand.saturating_add(wanted.possible);
        let half = self.depth() / 2.0;
        // As long as the bucket is at least half full, tokens that expire unused cost nobody
        // anything, and waiting for more would let it run over.
        let fair = match self.tokens - f64::from(all) >= half {
            true => f64::from(all),
            false => {
                let over = (self.tokens - half).max(0.0).min(f64::from(wanted.waiting));
                let part = self.tokens * share;
                part.max(over).max(1.0).min(f64::from(demand))
            }
        };
        let tokens = fair.min(self.tokens).floor().max(0.0);
        self.tokens -= tokens;
        let tokens = tokens as u32;
        let empty_ms = match tokens < wanted.waiting {
            true => self.empty_time(count).as_millis() as u16,
            false => 0,
        };
        Grant {
            workspace: wanted.workspace.clone(),
            tokens,
            empty_ms,
        }
    }

    /// Time until there is a token for each of `count` instances.
    fn empty_time(&self, count: usize) -> time::Duration {
        let missing = (count as f64 - self.tokens).max(0.0);
        let seconds = missing / self.limit.rate.max(f64::MIN_POSITIVE);
        let time = time::Duration::try_from_secs_f64(seconds).unwrap_or(MAX_EMPTY);
        time.clamp(MIN_EMPTY, MAX_EMPTY)
    }
}

/// State of the allocator in one tenure.
#[derive(Debug, Default)]
pub struct Allocator {
    buckets: collections::BTreeMap<name::WorkspaceName, Bucket>,
    /// Last request of each instance with its answer, for a request that arrives twice.
    answered: collections::BTreeMap<name::InstanceName, (u64, u64, Vec<Grant>)>,
}

impl Allocator {
    /// Creates the allocator of a tenure whose buckets have been filling since `since`; a tenure
    /// begins with empty ones, as the holder before may have granted all there was.
    pub fn new(since: Timestamp, limits: &Limits) -> Self {
        let mut allocator = Self::default();
        allocator.set_limits(since, limits);
        allocator
    }

    /// Changes the limits; a bucket is cut to its new depth at once. The bucket of a workspace that
    /// is new here is empty: its limit may have been known to an earlier holder.
    pub fn set_limits(&mut self, now: Timestamp, limits: &Limits) {
        self.buckets.retain(|name, _| limits.contains_key(name));
        for (name, limit) in limits {
            match self.buckets.get_mut(name) {
                Some(bucket) => {
                    bucket.fill(now);
                    bucket.limit = *limit;
                    bucket.tokens = bucket.tokens.min(bucket.depth());
                }
                None => {
                    let bucket = Bucket {
                        limit: *limit,
                        tokens: 0.0,
                        filled: now,
                        demands: collections::BTreeMap::new(),
                    };
                    self.buckets.insert(name.clone(), bucket);
                }
            }
        }
    }

    /// Answers a request; one that is repeated gets the same tokens, one that is older than the
    /// last gets no answer.
    pub fn answer(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        request: &Request,
    ) -> Option<Answer> {
        let last = self.answered.get(from.as_str());
        let last = last.filter(|(incarnation, _, _)| *incarnation == request.incarnation);
        let grants = match last {
            Some((_, number, grants)) if *number == request.number => grants.clone(),
            Some((_, number, _)) if *number > request.number => return None,
            Some(_) | None => self.grant(now, from, request),
        };
        Some(Answer {
            incarnation: request.incarnation,
            number: request.number,
            holder: None,
            vacant_ms: 0,
            grants: Some(grants),
        })
    }

    fn grant(
        &mut self,
        now: Timestamp,
        from: &name::InstanceName,
        request: &Request,
    ) -> Vec<Grant> {
        let mut grants = Vec::new();
        for wanted in &request.wanted {
            if let Some(bucket) = self.buckets.get_mut(&wanted.workspace) {
                grants.push(bucket.grant(now, from, wanted));
            }
        }
        let last = (request.incarnation, request.number, grants.clone());
        self.answered.insert(from.clone(), last);
        grants
    }
}
