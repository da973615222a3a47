//! Conditional changes of the configuration on behalf of operators.

use cardamomhold_config::check;
use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_config::verdict;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use cardamomhold_proto::entry;
use cardamomhold_proto::operator as schema;

use crate::config as config_task;
use crate::operator::Service;
use crate::operator::invalid;

/// Maximum number of attempts of a conditional update whose outcome stays unknown.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Result of a conditional update.
enum Applied {
    Accepted(config::Change),
    Superseded(config::Change),
    Conflict(config::Change),
    Undecided,
}

/// Determines an attempt's result from the stored object; `None` if the update may be sent again.
fn attempt_result(attempt: &verdict::Attempt<'_>, current: config::Change) -> Option<Applied> {
    Some(match verdict::determine(attempt, &current) {
        verdict::Verdict::Accepted => Applied::Accepted(current),
        verdict::Verdict::Superseded => Applied::Superseded(current),
        verdict::Verdict::Conflict => Applied::Conflict(current),
        verdict::Verdict::Undecided => Applied::Undecided,
        verdict::Verdict::Retry => return None,
    })
}

impl<P: Platform> Service<P> {
    pub(crate) async fn apply_spec(
        &self,
        name: &object::ObjectName,
        spec: Option<object::Spec>,
        author: &str,
        version: u64,
    ) -> schema::ApplyReply {
        let config = self.config.config.borrow().clone();
        if let Some(spec) = &spec
            && let Err(field) = check::check(&config, name, spec)
        {
            return invalid(&field.path, &field.problem.to_string());
        }
        self.write_spec(name, spec, author, version).await
    }

    pub(crate) async fn write_spec(
        &self,
        name: &object::ObjectName,
        spec: Option<object::Spec>,
        author: &str,
        version: u64,
    ) -> schema::ApplyReply {
        let change = uuid::Uuid::now_v7().to_string();
        let history = self.history_before(name, version).await;
        let envelope = spec.map(|spec| object::Envelope {
            author: author.to_owned(),
            change: change.clone(),
            spec,
            history,
        });
        let value = envelope.as_ref().and_then(|e| serde_json::to_vec(e).ok());
        let attempt = verdict::Attempt {
            expected: version,
            change: envelope.as_ref().map(|e| e.change.as_str()),
        };
        let result = match self.write(name, value.as_deref(), &attempt).await {
            Applied::Accepted(change) => {
                schema::apply_reply::Result::Accepted(self.publish_entry(name, &change).await)
            }
            Applied::Superseded(change) => {
                schema::apply_reply::Result::Superseded(self.publish_entry(name, &change).await)
            }
            Applied::Conflict(change) => {
                schema::apply_reply::Result::Conflict(self.publish_entry(name, &change).await)
            }
            Applied::Undecided => {
                schema::apply_reply::Result::Undecided(schema::Undecided { change })
            }
        };
        schema::ApplyReply {
            result: Some(result),
        }
    }

    /// The history for a change that is based on `version`.
    pub(crate) async fn history_before(
        &self,
        name: &object::ObjectName,
        version: u64,
    ) -> Vec<object::PastChange> {
        if version == 0 {
            return Vec::new();
        }
        let config = self.config.config.borrow().clone();
        if config.version(name) == version {
            let known = config.entry(name).and_then(|e| e.envelope.as_ref());
            return known.map(|e| e.history_after(version)).unwrap_or_default();
        }
        // The change is refused anyway unless the store has exactly this version.
        match self.platform.get(&name.to_string()).await {
            Ok(object) if object.version == version => {
                let stored = serde_json::from_slice::<object::Envelope>(&object.value);
                stored.map(|e| e.history_after(version)).unwrap_or_default()
            }
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Writes an object; after a lost answer, reads it to find out whether the write took effect.
    async fn write(
        &self,
        name: &object::ObjectName,
        value: Option<&[u8]>,
        attempt: &verdict::Attempt<'_>,
    ) -> Applied {
        let text = name.to_string();
        let mut may_have_applied = false;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let error = match self.platform.put(&text, value, attempt.expected).await {
                Ok(client::PutOutcome::Accepted(object)) => {
                    return Applied::Accepted(config_task::change_of(object));
                }
                Ok(client::PutOutcome::Conflict(object)) => {
                    let current = config_task::change_of(object);
                    if may_have_applied
                        && let Some(applied) = attempt_result(attempt, current.clone())
                    {
                        return applied;
                    }
                    return Applied::Conflict(current);
                }
                Err(error) => error,
            };
            log::warn!("event=apply_in_doubt name={name} error={error}");
            may_have_applied |= !error.had_no_effect();
            let Ok(object) = self.platform.get(&text).await else {
                continue;
            };
            if let Some(applied) = attempt_result(attempt, config_task::change_of(object)) {
                return applied;
            }
        }
        Applied::Undecided
    }

    /// Sends the change to this instance's configuration, and returns the entry for the answer.
    pub(crate) async fn publish_entry(
        &self,
        name: &object::ObjectName,
        change: &config::Change,
    ) -> schema::Entry {
        // If the task's mailbox is closed, the watch still delivers the change.
        let _ = self
            .config
            .updates
            .send(config_task::Update::Change(change.clone()))
            .await;
        let mut config = config::Config::default();
        config.merge(change);
        config
            .entry(name)
            .map(|entry| entry::encode_entry(name, entry))
            .unwrap_or_default()
    }
}
