//! The configuration of one instance, as far as it has heard of it.

use std::collections;
use std::sync;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;

use crate::object;

/// A version of the platform's store; zero stands for "nothing seen".
pub type Version = u64;

/// One object as the store holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name in the store.
    pub name: String,
    /// Bytes in the store.
    pub value: sync::Arc<[u8]>,
    /// Version of this content.
    pub version: Version,
    /// Whether the object was removed.
    pub removed: bool,
}

/// An entry as the aggregate keeps it.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The object as the store holds it; passed on to peers unchanged.
    pub change: Change,
    /// The content; none when the object was removed.
    pub envelope: Option<object::Envelope>,
}

/// What an instance has heard of the configuration.
///
/// Entries merge by version, so that the order of arrival does not matter and
/// nothing ever goes back.
#[derive(Debug, Clone, Default)]
pub struct Config {
    entries: collections::BTreeMap<object::ObjectName, sync::Arc<Entry>>,
    /// Newest versions that can't be read here, by name; kept only to be passed on, because
    /// a peer of a later release may understand them.
    opaque: collections::BTreeMap<String, Change>,
    through: Version,
}

/// Some of the changes after a version, the oldest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page<'a> {
    /// The changes.
    pub changes: Vec<&'a Change>,
    /// Whoever held everything up to the version asked for and merges the page holds
    /// everything up to this one.
    pub through: Version,
    /// Whether changes were left out for want of room.
    pub has_more: bool,
}

/// What merging a change did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// The change is new here.
    Applied,
    /// The same or a later version was known.
    Known,
    /// The object is not one that this version understands.
    NotUnderstood,
}

impl Config {
    /// Takes one change in, from the store or from a peer.
    pub fn merge(&mut self, change: &Change) -> Merged {
        let held = self.opaque.get(&change.name);
        if held.is_some_and(|c| c.version >= change.version) {
            return Merged::Known;
        }
        let Ok(name) = object::ObjectName::parse(&change.name) else {
            return self.keep_opaque(change);
        };
        if self.version(&name) >= change.version {
            return Merged::Known;
        }
        let envelope = if change.removed {
            None
        } else {
            match serde_json::from_slice(&change.value) {
                Ok(envelope) => Some(envelope),
                Err(_) => return self.keep_opaque(change),
            }
        };
        let entry = Entry {
            change: change.clone(),
            envelope,
        };
        self.opaque.remove(&change.name);
        self.entries.insert(name, sync::Arc::new(entry));
        Merged::Applied
    }

    fn keep_opaque(&mut self, change: &Change) -> Merged {
        self.opaque.insert(change.name.clone(), change.clone());
        Merged::NotUnderstood
    }

    /// Merges changes that leave nothing out between an earlier version and `through`.
    pub fn merge_page(&mut self, changes: &[Change], through: Version) {
        for change in changes {
            self.merge(change);
        }
        self.complete(through);
    }

    /// Takes note that every change up to `version` has been merged.
    pub fn complete(&mut self, version: Version) {
        self.through = self.through.max(version);
    }

    /// The version up to which nothing is missing here.
    pub fn through(&self) -> Version {
        self.through
    }

    /// The version of one object; zero when it was never written.
    pub fn version(&self, name: &object::ObjectName) -> Version {
        self.entries.get(name).map_or(0, |e| e.change.version)
    }

    /// One object.
    pub fn entry(&self, name: &object::ObjectName) -> Option<&Entry> {
        self.entries.get(name).map(sync::Arc::as_ref)
    }

    /// All objects, removed ones included.
    pub fn entries(&self) -> impl Iterator<Item = (&object::ObjectName, &Entry)> {
        self.entries
            .iter()
            .map(|(name, entry)| (name, entry.as_ref()))
    }

    /// The changes after a version, the oldest first.
    pub fn since(&self, version: Version) -> Vec<&Change> {
        let understood = self.entries.values().map(|e| &e.change);
        let newer = understood.chain(self.opaque.values());
        let mut changes: Vec<&Change> = newer.filter(|c| c.version > version).collect();
        changes.sort_by_key(|c| c.version);
        changes
    }

    /// At most `limit` changes after a version, and at least one if there is any.
    ///
    /// A change may be held here ahead of earlier ones, so the page never vouches for more
    /// than this instance holds in full.
    pub fn page(&self, since: Version, limit: usize) -> Page<'_> {
        let mut changes = self.since(since);
        let limit = limit.max(1);
        let has_more = changes.len() > limit;
        changes.truncate(limit);
        let reached = match changes.last() {
            Some(last) if has_more => last.version,
            _ => self.through,
        };
        Page {
            changes,
            through: reached.min(self.through),
            has_more,
        }
    }

    fn spec(&self, name: &object::ObjectName) -> Option<&object::Spec> {
        let envelope = self.entries.get(name)?.envelope.as_ref()?;
        Some(&envelope.spec)
    }

    /// The groups that exist.
    pub fn groups(&self) -> impl Iterator<Item = (&name::GroupName, &spec::GroupSpec)> {
        self.entries.iter().filter_map(|(name, entry)| {
            match (name, &entry.envelope.as_ref()?.spec) {
                (object::ObjectName::Group(name), object::Spec::Group(spec)) => Some((name, spec)),
                _ => None,
            }
        })
    }

    /// One group.
    pub fn group(&self, name: &name::GroupName) -> Option<&spec::GroupSpec> {
        match self.spec(&object::ObjectName::Group(name.clone()))? {
            object::Spec::Group(spec) => Some(spec),
            _ => None,
        }
    }

    /// A group's term and primary; the first leadership while no promotion has written one.
    pub fn leadership(&self, name: &name::GroupName) -> Option<leadership::Leadership> {
        if let Some(object::Spec::Leadership(leadership)) =
            self.spec(&object::ObjectName::Leadership(name.clone()))
        {
            return Some(leadership.clone());
        }
        let first = self.group(name)?.members.first()?;
        Some(leadership::Leadership::first(first.name.clone()))
    }

    /// The rule of a rank.
    pub fn rank_rule(&self, rank: rank::Rank) -> object::RankRule {
        match self.spec(&object::ObjectName::Rank(rank)) {
            Some(object::Spec::Rank(rule)) => rule.clone(),
            _ => object::RankRule::default_of(rank),
        }
    }

    /// A kind of read.
    pub fn read_rule(&self, kind: &name::KindName) -> Option<&object::ReadRule> {
        match self.spec(&object::ObjectName::ReadKind(kind.clone()))? {
            object::Spec::ReadKind(rule) => Some(rule),
            _ => None,
        }
    }

    /// A caller's limits.
    pub fn caller_rule(&self, caller: &name::CallerName) -> object::CallerRule {
        match self.spec(&object::ObjectName::Caller(caller.clone())) {
            Some(object::Spec::Caller(rule)) => rule.clone(),
            _ => object::CallerRule::default(),
        }
    }

    /// The rules for draining and stopping.
    pub fn stop_rule(&self) -> object::StopRule {
        match self.spec(&object::ObjectName::StopRule) {
            Some(object::Spec::StopRule(rule)) => rule.clone(),
            _ => object::StopRule::default(),
        }
    }
}
