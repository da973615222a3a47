//! Leaderships, the promotion lock and the voters as objects in the store.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::succession;
use cardamomhold_lead::voters;

use crate::store;

/// Name of the promotion lock's object.
const LOCK_NAME: &str = "duty";

/// Name of the voters' object.
const VOTERS_NAME: &str = "voters";

/// Prefix of the names of the leaderships' objects.
const GROUP_PREFIX: &str = "group.";

/// Prefix of the names of the objects with which an operator orders a promotion.
const ORDER_PREFIX: &str = "order.";

/// The control objects with their revisions.
#[derive(Debug, Clone, Default)]
pub struct Control {
    /// The store's revision at the time of the read.
    pub revision: u64,
    /// The promotion lock.
    pub lock: Option<(promotion_lock::PromotionLock, u64)>,
    /// The voters.
    pub voters: Option<(voters::Voters, u64)>,
    /// The leaderships.
    pub records: collections::BTreeMap<name::GroupName, (succession::Succession, u64)>,
    /// Orders of an operator.
    pub orders: collections::BTreeMap<name::GroupName, succession::Order>,
}

impl Control {
    /// Decodes the objects; those that can't be decoded are logged and left out.
    pub fn read(listing: &store::Listing) -> Self {
        let mut control = Self {
            revision: listing.revision,
            ..Self::default()
        };
        for document in &listing.documents {
            if let Err(error) = control.insert(document) {
                log::warn!(
                    "event=control_unreadable name={} error=\"{error}\"",
                    document.name
                );
            }
        }
        control
    }

    fn insert(&mut self, document: &store::Document) -> Result<(), serde_json::Error> {
        let content = document.content.clone();
        if document.name == LOCK_NAME {
            self.lock = Some((serde_json::from_value(content)?, document.revision));
        } else if document.name == VOTERS_NAME {
            self.voters = Some((serde_json::from_value(content)?, document.revision));
        } else if document.name.starts_with(GROUP_PREFIX) {
            let record: succession::Succession = serde_json::from_value(content)?;
            let group = record.leadership.group.clone();
            self.records.insert(group, (record, document.revision));
        } else if document.name.starts_with(ORDER_PREFIX) {
            let order: succession::Order = serde_json::from_value(content)?;
            self.orders.insert(order.group.clone(), order);
        }
        Ok(())
    }
}

/// Writes the promotion lock.
///
/// # Errors
/// [`store::StoreError`].
pub async fn write_lock<S: store::Store>(
    store: &S,
    lock: &promotion_lock::PromotionLock,
    condition: store::Condition,
) -> Result<store::WriteOutcome, store::StoreError> {
    write(store, LOCK_NAME, lock, condition).await
}

/// Writes the voters.
///
/// # Errors
/// [`store::StoreError`].
pub async fn write_voters<S: store::Store>(
    store: &S,
    voters: &voters::Voters,
    condition: store::Condition,
) -> Result<store::WriteOutcome, store::StoreError> {
    write(store, VOTERS_NAME, voters, condition).await
}

/// Writes a leadership.
///
/// # Errors
/// [`store::StoreError`].
pub async fn write_record<S: store::Store>(
    store: &S,
    record: &succession::Succession,
    condition: store::Condition,
) -> Result<store::WriteOutcome, store::StoreError> {
    let name = format!("{GROUP_PREFIX}{}", record.leadership.group);
    write(store, &name, record, condition).await
}

async fn write<S: store::Store, T: serde::Serialize>(
    store: &S,
    name: &str,
    content: &T,
    condition: store::Condition,
) -> Result<store::WriteOutcome, store::StoreError> {
    let content = serde_json::to_value(content)
        .map_err(|error| store::StoreError::Garbled(error.to_string()))?;
    store
        .write(store::CONTROL_KIND, name, &content, condition)
        .await
}
