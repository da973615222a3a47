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
use crate::operator::bad;

/// Times that a conditional update is sent when no answer comes.
const WRITE_ATTEMPTS: usize = 3;

/// What became of a conditional update.
enum Applied {
    Accepted(config::Change),
    Superseded(config::Change),
    Conflict(config::Change),
    Undecided,
}

/// What the store's object says of an attempt; none when the update may be sent again.
fn applied_of(attempt: &verdict::Attempt<'_>, current: config::Change) -> Option<Applied> {
    Some(match verdict::judge(attempt, &current) {
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
            return bad(&field.path, &field.problem.to_string());
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
                schema::apply_reply::Result::Accepted(self.entry_of(name, &change).await)
            }
            Applied::Superseded(change) => {
                schema::apply_reply::Result::Superseded(self.entry_of(name, &change).await)
            }
            Applied::Conflict(change) => {
                schema::apply_reply::Result::Conflict(self.entry_of(name, &change).await)
            }
            Applied::Undecided => {
                schema::apply_reply::Result::Undecided(schema::Undecided { change })
            }
        };
        schema::ApplyReply {
            result: Some(result),
        }
    }

    /// The history that the change of a version takes over.
    pub(crate) async fn history_before(
        &self,
        name: &object::ObjectName,
        version: u64,
    ) -> Vec<object::Past> {
        if version == 0 {
            return Vec::new();
        }
        let config = self.config.config.borrow().clone();
        if config.version(name) == version {
            let known = config.entry(name).and_then(|e| e.envelope.as_ref());
            return known.map(|e| e.history_after(version)).unwrap_or_default();
        }
        // The change is refused anyway unless the store holds just this version.
        match self.platform.get(&name.to_string()).await {
            Ok(object) if object.version == version => {
                let stored = serde_json::from_slice::<object::Envelope>(&object.value);
                stored.map(|e| e.history_after(version)).unwrap_or_default()
            }
            Ok(_) | Err(_) => Vec::new(),
        }
    }

    /// Writes an object; after a lost answer the store itself tells whether it took effect.
    async fn write(
        &self,
        name: &object::ObjectName,
        value: Option<&[u8]>,
        attempt: &verdict::Attempt<'_>,
    ) -> Applied {
        let text = name.to_string();
        let mut is_repeat = false;
        for _ in 0..WRITE_ATTEMPTS {
            let error = match self.platform.put(&text, value, attempt.expected).await {
                Ok(client::PutOutcome::Accepted(object)) => {
                    return Applied::Accepted(config_task::change_of(object));
                }
                Ok(client::PutOutcome::Conflict(object)) => {
                    let current = config_task::change_of(object);
                    if is_repeat && let Some(applied) = applied_of(attempt, current.clone()) {
                        return applied;
                    }
                    return Applied::Conflict(current);
                }
                Err(error) => error,
            };
            log::warn!("event=apply_in_doubt name={name} error={error}");
            is_repeat |= !error.had_no_effect();
            let Ok(object) = self.platform.get(&text).await else {
                continue;
            };
            if let Some(applied) = applied_of(attempt, config_task::change_of(object)) {
                return applied;
            }
        }
        Applied::Undecided
    }

    /// Lets the instance itself know, and gives the entry back for the answer.
    pub(crate) async fn entry_of(
        &self,
        name: &object::ObjectName,
        change: &config::Change,
    ) -> schema::Entry {
        // The watch brings the change again if the task's mailbox has closed.
        let _ = self
            .config
            .heard
            .send(config_task::Heard::Change(change.clone()))
            .await;
        let mut scratch = config::Config::default();
        scratch.merge(change);
        scratch
            .entry(name)
            .map(|entry| entry::encode_entry(name, entry))
            .unwrap_or_default()
    }
}
