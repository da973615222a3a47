//! Client of the operators' service; maps errors to [`failure::Failure`].

use std::time;

use cardamomhold_proto::operator as schema;
use tonic::transport;

use crate::failure;
use crate::json;

/// Timeout for connecting to an instance.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(3);

/// Timeout for an instance's answer.
const ANSWER_TIMEOUT: time::Duration = time::Duration::from_secs(30);

type Inner = schema::operator_client::OperatorClient<transport::Channel>;

/// A connection to one instance.
#[derive(Debug)]
pub struct Client {
    address: String,
    inner: Inner,
}

impl Client {
    /// Connects to an instance's peer service.
    ///
    /// # Errors
    /// [`failure::Failure::Unreachable`] when it does not answer.
    pub async fn connect(address: &str) -> Result<Self, failure::Failure> {
        let unreachable = |problem: &str| failure::Failure::Unreachable {
            address: address.to_owned(),
            problem: problem.to_owned(),
        };
        let endpoint = transport::Endpoint::from_shared(format!("http://{address}"));
        let endpoint = endpoint.map_err(|_| unreachable("not an address"))?;
        let endpoint = endpoint
            .connect_timeout(CONNECT_TIMEOUT)
            .timeout(ANSWER_TIMEOUT);
        let channel = endpoint.connect().await;
        let channel = channel.map_err(|_| unreachable("can't be reached"))?;
        Ok(Self {
            address: address.to_owned(),
            inner: Inner::new(channel),
        })
    }

    fn failure(&self, subject: &str, status: &tonic::Status) -> failure::Failure {
        match status.code() {
            tonic::Code::NotFound => failure::Failure::NotFound(subject.to_owned()),
            tonic::Code::Unavailable => failure::Failure::Unreachable {
                address: self.address.clone(),
                problem: status.message().to_owned(),
            },
            _ => failure::Failure::Refused(format!("{subject}: {}", status.message())),
        }
    }

    /// Reads one object.
    ///
    /// # Errors
    /// [`failure::Failure::NotFound`] when the object does not exist.
    pub async fn get(&mut self, target: &json::Target) -> Result<schema::Entry, failure::Failure> {
        let reply = self.inner.get(request_of(target)).await;
        let reply = reply.map_err(|status| self.failure(&target.to_string(), &status))?;
        Ok(reply.into_inner())
    }

    /// Lists the objects of a kind, or of all kinds.
    ///
    /// # Errors
    /// [`failure::Failure`] when the instance can't answer.
    pub async fn list(
        &mut self,
        kind: schema::Kind,
    ) -> Result<Vec<schema::Entry>, failure::Failure> {
        let request = schema::ListRequest { kind: kind.into() };
        let reply = self.inner.list(request).await;
        let reply = reply.map_err(|status| self.failure("list", &status))?;
        Ok(reply.into_inner().entries)
    }

    /// Lists an object's last changes.
    ///
    /// # Errors
    /// [`failure::Failure::NotFound`] when it was never set.
    pub async fn history(
        &mut self,
        target: &json::Target,
    ) -> Result<Vec<schema::Entry>, failure::Failure> {
        let reply = self.inner.history(request_of(target)).await;
        let reply = reply.map_err(|status| self.failure(&target.to_string(), &status))?;
        Ok(reply.into_inner().entries)
    }

    /// Writes one object.
    ///
    /// # Errors
    /// [`failure::Failure`] when the instance can't answer.
    pub async fn apply(
        &mut self,
        entry: schema::Entry,
    ) -> Result<schema::ApplyReply, failure::Failure> {
        let request = schema::ApplyRequest { entry: Some(entry) };
        let reply = self.inner.apply(request).await;
        let reply = reply.map_err(|status| self.failure("set", &status))?;
        Ok(reply.into_inner())
    }

    /// Removes one object.
    ///
    /// # Errors
    /// [`failure::Failure`] when the instance can't answer.
    pub async fn remove(
        &mut self,
        request: schema::RemoveRequest,
    ) -> Result<schema::ApplyReply, failure::Failure> {
        let reply = self.inner.remove(request).await;
        let reply = reply.map_err(|status| self.failure("remove", &status))?;
        Ok(reply.into_inner())
    }

    /// Starts or ends the draining of a member.
    ///
    /// # Errors
    /// [`failure::Failure::NotFound`] when there is no such group or member.
    pub async fn drain(
        &mut self,
        request: schema::DrainRequest,
    ) -> Result<schema::ApplyReply, failure::Failure> {
        let subject = format!("group {} member {}", request.group, request.member);
        let reply = self.inner.drain(request).await;
        let reply = reply.map_err(|status| self.failure(&subject, &status))?;
        Ok(reply.into_inner())
    }

    /// Orders a planned change of primary.
    ///
    /// # Errors
    /// [`failure::Failure::NotFound`] when there is no such group or member.
    pub async fn switchover(
        &mut self,
        request: schema::SwitchoverRequest,
    ) -> Result<schema::ApplyReply, failure::Failure> {
        let subject = format!("switchover of group {}", request.group);
        let reply = self.inner.switchover(request).await;
        let reply = reply.map_err(|status| self.failure(&subject, &status))?;
        Ok(reply.into_inner())
    }

    /// Returns the status of groups, members, instances and zones as this instance sees them.
    ///
    /// # Errors
    /// [`failure::Failure`] when the instance can't answer.
    pub async fn status(&mut self) -> Result<schema::StatusReply, failure::Failure> {
        let reply = self.inner.status(schema::StatusRequest {}).await;
        let reply = reply.map_err(|status| self.failure("status", &status))?;
        Ok(reply.into_inner())
    }
}

fn request_of(target: &json::Target) -> schema::GetRequest {
    schema::GetRequest {
        kind: target.kind.into(),
        name: target.name.clone(),
    }
}
