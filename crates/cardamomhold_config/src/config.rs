//! An instance's copy of the configuration.

use std::collections;
use std::sync;

use cardamomhold_core::name;
use cardamomhold_core::rank;
use cardamomhold_group::leadership;
use cardamomhold_group::spec;

use crate::object;

/// A version of the platform's store; zero means that nothing has been received.
pub type Version = u64;

/// One object as it is stored.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// Name of the object in the store.
    pub name: String,
    /// Stored bytes.
    pub value: sync::Arc<[u8]>,
    /// Version of this content.
    pub version: Version,
    /// Whether the object was removed.
    pub removed: bool,
}

/// An object of the configuration, in stored and in parsed form.
#[derive(Debug, Clone)]
pub struct Entry {
    /// The object as it is stored; sent to peers unchanged.
    pub change: Change,
    /// The parsed content; none when the object was removed.
    pub envelope: Option<object::Envelope>,
}

/// An instance's copy of the configuration.
///
/// Entries are merged by version: the order of arrival does not matter, and an older version
/// never replaces a newer one.
#[derive(Debug, Clone, Default)]
pub struct Config {
    entries: collections::BTreeMap<object::ObjectName, sync::Arc<Entry>>,
    /// Newest versions of objects that this release can't parse, by name; stored only to be
    /// sent to peers, because a peer of a later release may be able to parse them.
    opaque: collections::BTreeMap<String, Change>,
    /// Version up to which no change is missing.
    through: Version,
}

/// Some of the changes after a version, oldest first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page<'a> {
    /// The changes.
    pub changes: Vec<&'a Change>,
    /// Version up to which a receiver has every change after merging the page, if it had every
    /// change up to the requested version.
    pub through: Version,
    /// Whether changes were omitted because the page is full.
    pub has_more: bool,
}

/// Result of merging a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Merged {
    /// The change was new and has been applied.
    Applied,
    /// The same or a later version was already present.
    AlreadyPresent,
    /// This release can't parse the object.
    Unparsable,
}

impl Config {
    /// Merges one change from the store or from a peer.
    pub fn merge(&mut self, change: &Change) -> Merged {
        let opaque = self.opaque.get(&change.name);
        if opaque.is_some_and(|c| c.version >= change.version) {
            return Merged::AlreadyPresent;
        }
        let Ok(name) = object::ObjectName::parse(&change.name) else {
            return self.store_opaque(change);
        };
        if self.version(&name) >= change.version {
            return Merged::AlreadyPresent;
        }
        let envelope = if change.removed {
            None
        } else {
            match serde_json::from_slice(&change.value) {
                Ok(envelope) => Some(envelope),
                Err(_) => return self.store_opaque(change),
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

    fn store_opaque(&mut self, change: &Change) -> Merged {
        self.opaque.insert(change.name.clone(), change.clone());
        Merged::Unparsable
    }

    /// Merges a page that contains every change between a version already merged and `through`.
    pub fn merge_page(&mut self, changes: &[Change], through: Version) {
        for change in changes {
            self.merge(change);
        }
        self.set_complete(through);
    }

    /// Records that every change up to `version` has been merged.
    pub fn set_complete(&mut self, version: Version) {
        self.through = self.through.max(version);
    }

    /// Version up to which no change is missing.
    pub fn through(&self) -> Version {
        self.through
    }

    /// Version of one object; zero when it was never written.
    pub fn version(&self, name: &object::ObjectName) -> Version {
        self.entries.get(name).map_or(0, |e| e.change.version)
    }

    /// Returns the entry of one object.
    pub fn entry(&self, name: &object::ObjectName) -> Option<&Entry> {
        self.entries.get(name).map(sync::Arc::as_ref)
    }

    /// Iterates over all objects, including removed ones.
    pub fn entries(&self) -> impl Iterator<Item = (&object::ObjectName, &Entry)> {
        self.entries
            .iter()
            .map(|(name, entry)| (name, entry.as_ref()))
    }

    /// Returns the changes after a version, oldest first.
    pub fn since(&self, version: Version) -> Vec<&Change> {
        let parsed = self.entries.values().map(|e| &e.change);
        let newer = parsed.chain(self.opaque.values());
        let mut changes: Vec<&Change> = newer.filter(|c| c.version > version).collect();
        changes.sort_by_key(|c| c.version);
        changes
    }

    /// Returns at most `limit` changes after a version, and at least one if there is any.
    ///
    /// A change may arrive before earlier ones, so the page's `through` never exceeds the
    /// version up to which this instance has every change.
    pub fn page(&self, since: Version, limit: usize) -> Page<'_> {
        let mut changes = self.since(since);
        let limit = limit.max(1);
        let has_more = changes.len() > limit;
        changes.truncate(limit);
        let end = match changes.last() {
            Some(last) if has_more => last.version,
            _ => self.through,
        };
        Page {
            changes,
            through: end.min(self.through),
            has_more,
        }
    }

    fn spec(&self, name: &object::ObjectName) -> Option<&object::Spec> {
        let envelope = self.entries.get(name)?.envelope.as_ref()?;
        Some(&envelope.spec)
    }

    /// Iterates over the existing groups.
    pub fn groups(&self) -> impl Iterator<Item = (&name::GroupName, &spec::GroupSpec)> {
        self.entries.iter().filter_map(|(name, entry)| {
            match (name, &entry.envelope.as_ref()?.spec) {
                (object::ObjectName::Group(name), object::Spec::Group(spec)) => Some((name, spec)),
                _ => None,
            }
        })
    }

    /// Returns the specification of one group.
    pub fn group(&self, name: &name::GroupName) -> Option<&spec::GroupSpec> {
        match self.spec(&object::ObjectName::Group(name.clone()))? {
            object::Spec::Group(spec) => Some(spec),
            _ => None,
        }
    }

    /// Returns a group's term and primary. Before the first promotion has written a
    /// leadership, the first member is the primary.
    pub fn leadership(&self, name: &name::GroupName) -> Option<leadership::Leadership> {
        if let Some(object::Spec::Leadership(leadership)) =
            self.spec(&object::ObjectName::Leadership(name.clone()))
        {
            return Some(leadership.clone());
        }
        let first = self.group(name)?.members.first()?;
        Some(leadership::Leadership::first(first.name.clone()))
    }

    /// Returns the rule of a rank, or its default.
    pub fn rank_rule(&self, rank: rank::Rank) -> object::RankRule {
        match self.spec(&object::ObjectName::Rank(rank)) {
            Some(object::Spec::Rank(rule)) => rule.clone(),
            _ => object::RankRule::default_of(rank),
        }
    }

    /// Returns the rule of a kind of read.
    pub fn read_rule(&self, kind: &name::KindName) -> Option<&object::ReadRule> {
        match self.spec(&object::ObjectName::ReadKind(kind.clone()))? {
            object::Spec::ReadKind(rule) => Some(rule),
            _ => None,
        }
    }

    /// Returns a caller's limits, or the default ones.
    pub fn caller_rule(&self, caller: &name::CallerName) -> object::CallerRule {
        match self.spec(&object::ObjectName::Caller(caller.clone())) {
            Some(object::Spec::Caller(rule)) => rule.clone(),
            _ => object::CallerRule::default(),
        }
    }

    /// Returns the rules for draining and stopping, or the default ones.
    pub fn stop_rule(&self) -> object::StopRule {
        match self.spec(&object::ObjectName::StopRule) {
            Some(object::Spec::StopRule(rule)) => rule.clone(),
            _ => object::StopRule::default(),
        }
    }
}
