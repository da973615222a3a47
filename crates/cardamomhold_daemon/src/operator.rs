//! The operators' service: every change is conditional, checked and reviewable.

use cardamomhold_config::check;
use cardamomhold_config::config;
use cardamomhold_config::object;
use cardamomhold_config::verdict;
use cardamomhold_core::name;
use cardamomhold_fleet::fleet;
use cardamomhold_platform::client;
use cardamomhold_platform::client::Platform;
use cardamomhold_proto::entry;
use cardamomhold_proto::operator as schema;
use tokio::sync::mpsc;
use tokio::sync::oneshot;

use crate::config as config_task;
use crate::overview;
use crate::owner;
use crate::switchover;

/// The service of one instance.
#[derive(Debug)]
pub struct Service<P> {
    /// Where changes are written.
    pub platform: P,
    /// The configuration.
    pub config: config_task::Handle,
    /// The fleet as it changes.
    pub fleet: tokio::sync::watch::Receiver<std::sync::Arc<fleet::Fleet>>,
    /// Shows what has tasks here.
    pub owner: mpsc::Sender<owner::Request>,
    /// This instance.
    pub own: fleet::Instance,
}

fn bad(path: &str, problem: &str) -> schema::ApplyReply {
    let field = schema::BadField {
        path: path.to_owned(),
        problem: problem.to_owned(),
    };
    schema::ApplyReply {
        result: Some(schema::apply_reply::Result::Invalid(field)),
    }
}

fn missing(what: &str) -> tonic::Status {
    tonic::Status::not_found(format!("no such {what}"))
}

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
    async fn apply_spec(
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

    async fn write_spec(
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
    async fn history_before(&self, name: &object::ObjectName, version: u64) -> Vec<object::Past> {
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
                Ok(client::Written::Accepted(object)) => {
                    return Applied::Accepted(config_task::change_of(object));
                }
                Ok(client::Written::Conflict(object)) => {
                    let current = config_task::change_of(object);
                    if is_repeat && let Some(applied) = applied_of(attempt, current.clone()) {
                        return applied;
                    }
                    return Applied::Conflict(current);
                }
                Err(error) => error,
            };
            log::warn!("event=apply_in_doubt name={name} error={error}");
            is_repeat |= !error.is_certain();
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
    async fn entry_of(&self, name: &object::ObjectName, change: &config::Change) -> schema::Entry {
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
            .map(|entry| entry::entry_to(name, entry))
            .unwrap_or_default()
    }
}

#[tonic::async_trait]
impl<P: Platform> schema::operator_server::Operator for Service<P> {
    async fn get(
        &self,
        request: tonic::Request<schema::GetRequest>,
    ) -> Result<tonic::Response<schema::Entry>, tonic::Status> {
        let request = request.into_inner();
        let name = entry::name_from(request.kind(), &request.name)
            .ok_or_else(|| missing("kind or name"))?;
        let config = self.config.config.borrow().clone();
        let entry = match config.entry(&name) {
            Some(entry) => Some(entry::entry_to(&name, entry)),
            None => entry::default_to(&name),
        };
        let entry = entry.ok_or_else(|| missing("object"))?;
        Ok(tonic::Response::new(entry))
    }

    async fn history(
        &self,
        request: tonic::Request<schema::GetRequest>,
    ) -> Result<tonic::Response<schema::ListReply>, tonic::Status> {
        let request = request.into_inner();
        let name = entry::name_from(request.kind(), &request.name)
            .ok_or_else(|| missing("kind or name"))?;
        let config = self.config.config.borrow().clone();
        let entry = config.entry(&name).ok_or_else(|| missing("object"))?;
        let entries = entry::history_to(&name, entry);
        Ok(tonic::Response::new(schema::ListReply { entries }))
    }

    async fn list(
        &self,
        request: tonic::Request<schema::ListRequest>,
    ) -> Result<tonic::Response<schema::ListReply>, tonic::Status> {
        let kind = request.into_inner().kind();
        let config = self.config.config.borrow().clone();
        let mut entries = Vec::new();
        for (name, entry) in config.entries() {
            let entry = entry::entry_to(name, entry);
            if !entry.removed && (kind == schema::Kind::Unspecified || entry.kind() == kind) {
                entries.push(entry);
            }
        }
        Ok(tonic::Response::new(schema::ListReply { entries }))
    }

    async fn apply(
        &self,
        request: tonic::Request<schema::ApplyRequest>,
    ) -> Result<tonic::Response<schema::ApplyReply>, tonic::Status> {
        let entry = request.into_inner().entry.unwrap_or_default();
        let Some(name) = entry::name_from(entry.kind(), &entry.name) else {
            return Ok(tonic::Response::new(bad("name", "not a name of this kind")));
        };
        let spec = match entry::spec_from(&entry) {
            Ok(spec) => spec,
            Err(path) => return Ok(tonic::Response::new(bad(&path, "not accepted"))),
        };
        let reply = self
            .apply_spec(&name, Some(spec), &entry.author, entry.version)
            .await;
        Ok(tonic::Response::new(reply))
    }

    async fn remove(
        &self,
        request: tonic::Request<schema::RemoveRequest>,
    ) -> Result<tonic::Response<schema::ApplyReply>, tonic::Status> {
        let request = request.into_inner();
        let Some(name) = entry::name_from(request.kind(), &request.name) else {
            return Ok(tonic::Response::new(bad("name", "not a name of this kind")));
        };
        if matches!(name, object::ObjectName::Reign(_)) {
            return Ok(tonic::Response::new(bad(
                "kind",
                &check::Problem::NotForOperators.to_string(),
            )));
        }
        let reply = self
            .apply_spec(&name, None, &request.author, request.version)
            .await;
        Ok(tonic::Response::new(reply))
    }

    async fn drain(
        &self,
        request: tonic::Request<schema::DrainRequest>,
    ) -> Result<tonic::Response<schema::ApplyReply>, tonic::Status> {
        let request = request.into_inner();
        let group = name::GroupName::parse(&request.group).map_err(|_| missing("group"))?;
        let config = self.config.config.borrow().clone();
        let mut spec = config
            .group(&group)
            .cloned()
            .ok_or_else(|| missing("group"))?;
        let Some(member) = spec
            .members
            .iter_mut()
            .find(|m| m.name.as_str() == request.member)
        else {
            return Err(missing("member"));
        };
        member.draining = request.draining;
        let name = object::ObjectName::Group(group);
        let version = if request.version == 0 {
            config.version(&name)
        } else {
            request.version
        };
        let reply = self
            .apply_spec(
                &name,
                Some(object::Spec::Group(spec)),
                &request.author,
                version,
            )
            .await;
        Ok(tonic::Response::new(reply))
    }

    async fn switchover(
        &self,
        request: tonic::Request<schema::SwitchoverRequest>,
    ) -> Result<tonic::Response<schema::ApplyReply>, tonic::Status> {
        let request = request.into_inner();
        let group = name::GroupName::parse(&request.group).map_err(|_| missing("group"))?;
        let config = self.config.config.borrow().clone();
        let spec = config.group(&group).ok_or_else(|| missing("group"))?;
        let reign = config.reign(&group).ok_or_else(|| missing("group"))?;
        let wanted = match switchover::order(spec, &reign, &request.member) {
            Ok(wanted) => wanted,
            Err(error) => return Ok(tonic::Response::new(bad("member", error.as_str()))),
        };
        let name = object::ObjectName::Reign(group);
        let version = config.version(&name);
        let spec = object::Spec::Reign(wanted);
        let reply = self
            .write_spec(&name, Some(spec), &request.author, version)
            .await;
        Ok(tonic::Response::new(reply))
    }

    async fn status(
        &self,
        _: tonic::Request<schema::StatusRequest>,
    ) -> Result<tonic::Response<schema::StatusReply>, tonic::Status> {
        let (reply, answer) = oneshot::channel();
        let stopping = |_| tonic::Status::unavailable("stopping");
        self.owner
            .send(owner::Request::Show(reply))
            .await
            .map_err(stopping)?;
        let shown = answer.await.unwrap_or_default();
        let config = self.config.config.borrow().clone();
        let fleet = self.fleet.borrow().clone();
        let mut groups = Vec::new();
        for (group, spec) in config.groups() {
            let reign = config.reign(group);
            let views = match shown.groups.iter().find(|(name, _)| name == group) {
                Some((_, handle)) => handle.members().await,
                None => Vec::new(),
            };
            let mut members = Vec::new();
            for member in &spec.members {
                let view = views.iter().find(|v| v.name == member.name);
                let status = view.and_then(|v| v.status.as_ref());
                let mut shown_member = overview::member_to(member, status);
                let owner = fleet.owner(&member.name, &member.zone);
                shown_member.owner = owner.map(|o| o.name.to_string()).unwrap_or_default();
                if let Some((_, endpoint)) = shown
                    .endpoints
                    .iter()
                    .find(|(name, _)| *name == member.name)
                {
                    let counts = endpoint.counts().await;
                    shown_member.waiting = counts.waiting as u32;
                    shown_member.running = counts.running as u32;
                }
                members.push(shown_member);
            }
            groups.push(schema::GroupStatus {
                name: group.to_string(),
                term: reign.as_ref().map(|r| r.term.0).unwrap_or_default(),
                wanted: reign
                    .as_ref()
                    .and_then(|r| r.wanted.as_ref())
                    .map(|w| w.to_string())
                    .unwrap_or_default(),
                primary: reign
                    .and_then(|r| r.primary)
                    .map(|p| p.to_string())
                    .unwrap_or_default(),
                members,
            });
        }
        Ok(tonic::Response::new(schema::StatusReply {
            instance: self.own.name.to_string(),
            zone: self.own.zone.to_string(),
            config_version: config.through(),
            platform_reachable: *self.config.reachable.borrow(),
            groups,
            instances: fleet.instances().map(overview::instance_to).collect(),
        }))
    }
}
