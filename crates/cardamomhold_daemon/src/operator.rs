//! The operators' gRPC service: every change is conditional on a version and validated, and each
//! object's history can be read.

use cardamomhold_config::check;
use cardamomhold_config::object;
use cardamomhold_core::name;
use cardamomhold_fleet::fleet;
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
    /// Platform that stores the changes.
    pub platform: P,
    /// Handle of the configuration's task.
    pub config: config_task::Handle,
    /// The latest view of the fleet.
    pub fleet: tokio::sync::watch::Receiver<std::sync::Arc<fleet::Fleet>>,
    /// Task that lists the group and endpoint tasks of this instance.
    pub owner: mpsc::Sender<owner::Request>,
    /// This instance.
    pub own: fleet::Instance,
}

pub(crate) fn invalid(path: &str, problem: &str) -> schema::ApplyReply {
    let field = schema::BadField {
        path: path.to_owned(),
        problem: problem.to_owned(),
    };
    schema::ApplyReply {
        result: Some(schema::apply_reply::Result::Invalid(field)),
    }
}

fn not_found(what: &str) -> tonic::Status {
    tonic::Status::not_found(format!("no such {what}"))
}

#[tonic::async_trait]
impl<P: Platform> schema::operator_server::Operator for Service<P> {
    async fn get(
        &self,
        request: tonic::Request<schema::GetRequest>,
    ) -> Result<tonic::Response<schema::Entry>, tonic::Status> {
        let request = request.into_inner();
        let name = entry::decode_name(request.kind(), &request.name)
            .ok_or_else(|| not_found("kind or name"))?;
        let config = self.config.config.borrow().clone();
        let entry = match config.entry(&name) {
            Some(entry) => Some(entry::encode_entry(&name, entry)),
            None => entry::encode_default(&name),
        };
        let entry = entry.ok_or_else(|| not_found("object"))?;
        Ok(tonic::Response::new(entry))
    }

    async fn history(
        &self,
        request: tonic::Request<schema::GetRequest>,
    ) -> Result<tonic::Response<schema::ListReply>, tonic::Status> {
        let request = request.into_inner();
        let name = entry::decode_name(request.kind(), &request.name)
            .ok_or_else(|| not_found("kind or name"))?;
        let config = self.config.config.borrow().clone();
        let entry = config.entry(&name).ok_or_else(|| not_found("object"))?;
        let entries = entry::encode_history(&name, entry);
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
            let entry = entry::encode_entry(name, entry);
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
        let Some(name) = entry::decode_name(entry.kind(), &entry.name) else {
            return Ok(tonic::Response::new(invalid(
                "name",
                "not a name of this kind",
            )));
        };
        let spec = match entry::decode_spec(&entry) {
            Ok(spec) => spec,
            Err(path) => return Ok(tonic::Response::new(invalid(&path, "not accepted"))),
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
        let Some(name) = entry::decode_name(request.kind(), &request.name) else {
            return Ok(tonic::Response::new(invalid(
                "name",
                "not a name of this kind",
            )));
        };
        if matches!(name, object::ObjectName::Leadership(_)) {
            return Ok(tonic::Response::new(invalid(
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
        let group = name::GroupName::parse(&request.group).map_err(|_| not_found("group"))?;
        let config = self.config.config.borrow().clone();
        let mut spec = config
            .group(&group)
            .cloned()
            .ok_or_else(|| not_found("group"))?;
        let Some(member) = spec
            .members
            .iter_mut()
            .find(|m| m.name.as_str() == request.member)
        else {
            return Err(not_found("member"));
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
        let group = name::GroupName::parse(&request.group).map_err(|_| not_found("group"))?;
        let config = self.config.config.borrow().clone();
        let spec = config.group(&group).ok_or_else(|| not_found("group"))?;
        let leadership = config
            .leadership(&group)
            .ok_or_else(|| not_found("group"))?;
        let wanted = match switchover::request(spec, &leadership, &request.member) {
            Ok(wanted) => wanted,
            Err(error) => return Ok(tonic::Response::new(invalid("member", error.as_str()))),
        };
        let name = object::ObjectName::Leadership(group);
        let version = config.version(&name);
        let spec = object::Spec::Leadership(wanted);
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
            .send(owner::Request::ListTasks(reply))
            .await
            .map_err(stopping)?;
        let tasks = answer.await.unwrap_or_default();
        let config = self.config.config.borrow().clone();
        let fleet = self.fleet.borrow().clone();
        let mut groups = Vec::new();
        for (group, spec) in config.groups() {
            let leadership = config.leadership(group);
            let views = match tasks.groups.iter().find(|(name, _)| name == group) {
                Some((_, handle)) => handle.members().await,
                None => Vec::new(),
            };
            let mut members = Vec::new();
            for member in &spec.members {
                let view = views.iter().find(|v| v.name == member.name);
                let status = view.and_then(|v| v.status.as_ref());
                let mut member_status = overview::encode_member(member, status);
                let owner = fleet.owner(&member.name, &member.zone);
                member_status.owner = owner.map(|o| o.name.to_string()).unwrap_or_default();
                if let Some((_, endpoint)) = tasks
                    .endpoints
                    .iter()
                    .find(|(name, _)| *name == member.name)
                {
                    let counts = endpoint.counts().await;
                    member_status.waiting = counts.waiting as u32;
                    member_status.running = counts.running as u32;
                }
                members.push(member_status);
            }
            groups.push(schema::GroupStatus {
                name: group.to_string(),
                term: leadership.as_ref().map(|r| r.term.0).unwrap_or_default(),
                wanted: leadership
                    .as_ref()
                    .and_then(|r| r.wanted.as_ref())
                    .map(|w| w.to_string())
                    .unwrap_or_default(),
                primary: leadership
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
            instances: fleet.instances().map(overview::encode_instance).collect(),
        }))
    }
}
