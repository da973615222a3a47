//! The registered instances: their entries in the store, and the ranks derived from them.

use std::collections;
use std::net;

use cardamomhold_core::name;
use cardamomhold_lead::renewal;
use xxhash_rust::xxh3;

use crate::store;

/// Instances that are asked about a primary at a time.
const MAX_WITNESSES: usize = 15;

/// An instance's entry in the store.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Entry {
    /// Address of its datagram socket.
    pub address: net::SocketAddr,
    /// Its zone.
    pub zone: String,
}

/// All registered instances.
pub type Instances = collections::BTreeMap<name::InstanceName, Entry>;

/// Decodes the instances' entries; those that can't be decoded are logged and left out.
pub fn read(documents: &collections::BTreeMap<String, store::Document>) -> Instances {
    let mut instances = Instances::new();
    for document in documents.values() {
        let name = name::InstanceName::parse(&document.name);
        let entry = serde_json::from_value(document.content.clone());
        match (name, entry) {
            (Ok(name), Ok(entry)) => {
                instances.insert(name, entry);
            }
            _ => log::warn!("event=instance_unreadable name={}", document.name),
        }
    }
    instances
}

/// Rank of an instance among the successors of the promotion lock's holder, 0 the first. The
/// ranks alternate between the zones, since a whole zone may be unreachable.
pub fn successor_rank(
    instances: &Instances,
    own: &name::InstanceName,
    holder: Option<&name::InstanceName>,
) -> u32 {
    let mut zone_counts: collections::BTreeMap<&str, u32> = collections::BTreeMap::new();
    let mut ranked = Vec::new();
    for (name, entry) in instances {
        if Some(name) == holder {
            continue;
        }
        let zone_rank = zone_counts.entry(&entry.zone).or_default();
        ranked.push((*zone_rank, entry.zone.as_str(), name));
        *zone_rank += 1;
    }
    ranked.sort_unstable();
    let rank = ranked.iter().position(|(_, _, name)| *name == own);
    rank.unwrap_or(ranked.len()) as u32
}

/// The instance of the same zone that reads the store for `own`, after `skipped` readers
/// did not answer; `own` when it is a reader itself.
pub fn reader<'a>(
    instances: &'a Instances,
    own: &'a name::InstanceName,
    skipped: usize,
) -> &'a name::InstanceName {
    let Some(entry) = instances.get(own.as_str()) else {
        return own;
    };
    let mut zone = Vec::new();
    for (name, other) in instances {
        if other.zone == entry.zone {
            zone.push(name);
        }
    }
    let index = zone.iter().position(|n| *n == own).unwrap_or_default();
    let reader = zone.get(renewal::reader(index, zone.len(), skipped));
    reader.copied().unwrap_or(own)
}

/// The instance that reads the store for the readers of all zones, after `skipped` of them did not
/// answer `own`; `own` when it is that one, or when all have been skipped.
pub fn fleet_reader<'a>(
    instances: &'a Instances,
    own: &'a name::InstanceName,
    skipped: usize,
) -> &'a name::InstanceName {
    let mut first: collections::BTreeMap<&str, &name::InstanceName> = collections::BTreeMap::new();
    for (name, entry) in instances {
        first.entry(&entry.zone).or_insert(name);
    }
    let readers: Vec<_> = first.into_values().collect();
    let is_own_turn = readers.iter().take(skipped).any(|name| *name == own);
    match readers.get(skipped) {
        Some(reader) if !is_own_turn => reader,
        Some(_) | None => own,
    }
}

/// Rank of an instance among those that watch the store for the others, 0 the first: the readers of
/// the zones, then all others; the last for one that isn't registered. Without any registered
/// instance each is the first.
pub fn watcher_rank(instances: &Instances, name: &name::InstanceName) -> u32 {
    if instances.is_empty() {
        return 0;
    }
    let mut first: collections::BTreeMap<&str, &name::InstanceName> = collections::BTreeMap::new();
    for (name, entry) in instances {
        first.entry(&entry.zone).or_insert(name);
    }
    if let Some(rank) = first.values().position(|n| *n == name) {
        return rank as u32;
    }
    let index = instances.keys().position(|n| n == name);
    let rank = index.map(|index| first.len() + index);
    rank.map_or(u32::MAX, |rank| rank as u32)
}

/// The instances to ask how recent their copies of the store's objects are: in turn one of the first
/// three by rank, and one of all that are no readers of a zone. The store may refuse all readers.
pub fn vouching<'a>(
    instances: &'a Instances,
    own: &name::InstanceName,
    turn: u32,
) -> impl Iterator<Item = &'a Entry> {
    let mut first: collections::BTreeMap<&str, &name::InstanceName> = collections::BTreeMap::new();
    for (name, entry) in instances {
        first.entry(&entry.zone).or_insert(name);
    }
    let readers: Vec<_> = first.into_values().filter(|n| *n != own).collect();
    let mut others = instances
        .keys()
        .filter(|n| *n != own && !readers.contains(n));
    let count = others.clone().count().max(1) as u64;
    let any = xxh3::xxh3_64_with_seed(own.as_str().as_bytes(), u64::from(turn)) % count;
    let reader = turn as usize % readers.len().clamp(1, 3);
    let names = [readers.get(reader).copied(), others.nth(any as usize)];
    let names = names.into_iter().flatten();
    names.filter_map(|name| instances.get(name.as_str()))
}

/// Instances to ask about a primary, of all zones and `turn` by `turn` other ones. Each of them
/// connects to the primary, which accepts fewer connections than there are instances.
pub fn witnesses<'a>(
    instances: &'a Instances,
    group: &name::GroupName,
    turn: u64,
) -> Vec<&'a name::InstanceName> {
    let seed = xxh3::xxh3_64_with_seed(group.as_str().as_bytes(), turn);
    let mut zones: collections::BTreeMap<&str, Vec<(u64, &name::InstanceName)>> =
        collections::BTreeMap::new();
    for (name, entry) in instances {
        let weight = xxh3::xxh3_64_with_seed(name.as_str().as_bytes(), seed);
        zones.entry(&entry.zone).or_default().push((weight, name));
    }
    let per_zone = MAX_WITNESSES.div_ceil(zones.len().max(1));
    let mut witnesses = Vec::new();
    for mut zone in zones.into_values() {
        zone.sort_unstable();
        zone.truncate(per_zone);
        witnesses.extend(zone.into_iter().map(|(_, name)| name));
    }
    witnesses
}

/// Number of witnesses in a fleet of this size.
pub fn witness_count(instances: &Instances) -> usize {
    instances.len().min(MAX_WITNESSES)
}

/// Registers an instance.
///
/// # Errors
/// [`store::StoreError`]; registering is to be retried.
pub async fn register<S: store::Store>(
    store: &S,
    name: &name::InstanceName,
    entry: &Entry,
) -> Result<(), store::StoreError> {
    let content = serde_json::to_value(entry)
        .map_err(|error| store::StoreError::Garbled(error.to_string()))?;
    // Most instances register for the first time, which takes one call.
    let new = store::Condition::New;
    let written = store
        .write(store::INSTANCES_KIND, name.as_str(), &content, new)
        .await?;
    if matches!(written, store::WriteOutcome::Done(_)) {
        return Ok(());
    }
    let listing = store
        .list(store::INSTANCES_KIND, store::Freshness::Latest)
        .await?;
    let current = listing.documents.iter().find(|d| d.name == name.as_str());
    let condition = match current {
        Some(document) if document.content == content => return Ok(()),
        Some(document) => store::Condition::Revision(document.revision),
        None => new,
    };
    let written = store
        .write(store::INSTANCES_KIND, name.as_str(), &content, condition)
        .await?;
    match written {
        store::WriteOutcome::Done(_) => Ok(()),
        store::WriteOutcome::Conflict => Err(store::StoreError::Lost(
            "changed by another writer".to_owned(),
        )),
    }
}
