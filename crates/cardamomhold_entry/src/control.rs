//! Leaderships and the duty to promote as objects of the store.

use std::collections;

use cardamomhold_core::name;
use cardamomhold_lead::promotion_lock;
use cardamomhold_lead::record;

use crate::store;

/// Name of the object that holds the duty.
const DUTY: &str = "duty";

/// Prefix of the objects that hold leaderships.
const GROUP: &str = "group.";

/// The control objects with their revisions.
#[derive(Debug, Clone, Default)]
pub struct Control {
    /// The duty.
    pub duty: Option<(promotion_lock::PromotionLock, u64)>,
    /// The leaderships.
    pub records: collections::BTreeMap<name::GroupName, (record::Leadership, u64)>,
}

impl Control {
    /// Reads the objects; what can't be read is reported and left out.
    pub fn read(listing: &store::Listing) -> Self {
        let mut control = Self::default();
        for document in &listing.documents {
            if let Err(error) = control.take(document) {
                log::warn!(
                    "event=control_unreadable name={} error=\"{error}\"",
                    document.name
                );
            }
        }
        control
    }

    fn take(&mut self, document: &store::Document) -> Result<(), serde_json::Error> {
        let content = document.content.clone();
        if document.name == DUTY {
            self.duty = Some((serde_json::from_value(content)?, document.revision));
        } else if document.name.starts_with(GROUP) {
            let record: record::Leadership = serde_json::from_value(content)?;
            let group = record.group.clone();
            self.records.insert(group, (record, document.revision));
        }
        Ok(())
    }
}

/// Writes the duty.
///
/// # Errors
/// [`store::StoreError`].
pub async fn write_duty<S: store::Store>(
    store: &S,
    duty: &promotion_lock::PromotionLock,
    condition: store::Condition,
) -> Result<store::Written, store::StoreError> {
    write(store, DUTY, duty, condition).await
}

/// Writes a leadership.
///
/// # Errors
/// [`store::StoreError`].
pub async fn write_record<S: store::Store>(
    store: &S,
    record: &record::Leadership,
    condition: store::Condition,
) -> Result<store::Written, store::StoreError> {
    let name = format!("{GROUP}{}", record.group);
    write(store, &name, record, condition).await
}

async fn write<S: store::Store, T: serde::Serialize>(
    store: &S,
    name: &str,
    content: &T,
    condition: store::Condition,
) -> Result<store::Written, store::StoreError> {
    let content = serde_json::to_value(content)
        .map_err(|error| store::StoreError::Garbled(error.to_string()))?;
    store.write(store::CONTROL, name, &content, condition).await
}
