//! Client of the platform's API.

use std::fmt;
use std::future;
use std::time;

use cardamomhold_core::name;
use cardamomhold_proto::platform as schema;
use tokio_stream::StreamExt;
use tonic::transport;

/// Timeout of a call to the platform.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Timeout for opening a connection to the platform.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Interval of keep-alive probes on an idle watch.
pub const KEEP_ALIVE_INTERVAL: time::Duration = time::Duration::from_secs(5);

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// Its content.
    pub value: Vec<u8>,
    /// Version of its last change; 0 if it was never written.
    pub version: u64,
    /// Whether it was removed.
    pub removed: bool,
}

/// An instance in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Instance {
    /// Its name.
    pub name: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// Address of its peer service.
    pub address: String,
    /// Whether the platform is removing it.
    pub leaving: bool,
}

/// Result of a conditional update.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PutOutcome {
    /// The update took effect; with the written object.
    Accepted(Object),
    /// The object has another version than expected; with the current object.
    Conflict(Object),
}

/// Why a call failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PlatformError {
    /// The platform could not be reached; the call had no effect.
    Unreachable,
    /// No answer came in time; an update may have taken effect.
    Timeout,
    /// The connection broke; an update may have taken effect.
    Broken,
    /// The platform refused the call.
    Refused,
    /// The answer violates the protocol.
    BadAnswer,
}

impl PlatformError {
    /// Whether the call is known to have had no effect.
    pub fn had_no_effect(self) -> bool {
        match self {
            Self::Unreachable | Self::Refused => true,
            Self::Timeout | Self::Broken | Self::BadAnswer => false,
        }
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Unreachable => "unreachable",
            Self::Timeout => "timeout",
            Self::Broken => "connection_broken",
            Self::Refused => "refused",
            Self::BadAnswer => "bad_answer",
        })
    }
}

impl std::error::Error for PlatformError {}

/// Interface to a platform, independent of its API.
pub trait Platform: Clone + Send + Sync + 'static {
    /// A running watch.
    type Watch: Watch;

    /// Lists the objects under a prefix that changed after version `since`. Returns them with
    /// the store's version.
    fn list(
        &self,
        prefix: &str,
        since: u64,
    ) -> impl future::Future<Output = Result<(Vec<Object>, u64), PlatformError>> + Send;

    /// Reads one object; its version is 0 if it was never written.
    fn get(&self, name: &str)
    -> impl future::Future<Output = Result<Object, PlatformError>> + Send;

    /// Writes an object if its version is `expected`; removes it if `value` is `None`.
    fn put(
        &self,
        name: &str,
        value: Option<&[u8]>,
        expected: u64,
    ) -> impl future::Future<Output = Result<PutOutcome, PlatformError>> + Send;

    /// Watches a prefix for changes after version `since`.
    fn watch(
        &self,
        prefix: &str,
        since: u64,
    ) -> impl future::Future<Output = Result<Self::Watch, PlatformError>> + Send;

    /// Returns the platform's list of instances, which may be out of date.
    fn instances(
        &self,
    ) -> impl future::Future<Output = Result<Vec<Instance>, PlatformError>> + Send;
}

/// A stream of changes, in the order of their versions.
pub trait Watch: Send {
    /// Waits for the next change. An error ends the watch.
    fn next(&mut self) -> impl future::Future<Output = Result<Object, PlatformError>> + Send;
}

/// Client of the platform's published gRPC protocol.
#[derive(Debug, Clone)]
pub struct GrpcPlatform {
    client: schema::platform_client::PlatformClient<transport::Channel>,
}

/// The address isn't of the form `ip:port`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressError;

impl GrpcPlatform {
    /// Creates a client of the platform at `address`; it connects on first use.
    ///
    /// # Errors
    /// [`AddressError`] when the address isn't of the form `ip:port`.
    pub fn new(address: &str) -> Result<Self, AddressError> {
        let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| AddressError)?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_while_idle(true);
        let client = schema::platform_client::PlatformClient::new(endpoint.connect_lazy());
        Ok(Self { client })
    }
}

fn platform_error(status: &tonic::Status) -> PlatformError {
    match status.code() {
        tonic::Code::DeadlineExceeded | tonic::Code::Cancelled => PlatformError::Timeout,
        tonic::Code::InvalidArgument
        | tonic::Code::PermissionDenied
        | tonic::Code::FailedPrecondition
        | tonic::Code::ResourceExhausted => PlatformError::Refused,
        _ => PlatformError::Broken,
    }
}

async fn call<T>(
    response: impl future::Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, PlatformError> {
    match tokio::time::timeout(CALL_TIMEOUT, response).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(platform_error(&status)),
        Err(_) => Err(PlatformError::Timeout),
    }
}

fn decode_object(object: Option<schema::Object>) -> Result<Object, PlatformError> {
    let object = object.ok_or(PlatformError::BadAnswer)?;
    Ok(Object {
        name: object.name,
        value: object.value.to_vec(),
        version: object.version,
        removed: object.removed,
    })
}

fn decode_instance(instance: schema::Instance) -> Result<Instance, PlatformError> {
    let name = name::InstanceName::parse(&instance.name).map_err(|_| PlatformError::BadAnswer)?;
    let zone = name::ZoneName::parse(&instance.zone).map_err(|_| PlatformError::BadAnswer)?;
    Ok(Instance {
        name,
        zone,
        address: instance.address,
        leaving: instance.leaving,
    })
}

impl Platform for GrpcPlatform {
    type Watch = GrpcWatch;

    async fn list(&self, prefix: &str, since: u64) -> Result<(Vec<Object>, u64), PlatformError> {
        let mut client = self.client.clone();
        let request = schema::ListRequest {
            prefix: prefix.to_owned(),
            since,
        };
        let reply = call(client.list(request)).await?;
        let mut objects = Vec::new();
        for object in reply.objects {
            objects.push(decode_object(Some(object))?);
        }
        Ok((objects, reply.version))
    }

    async fn get(&self, name: &str) -> Result<Object, PlatformError> {
        let mut client = self.client.clone();
        let request = schema::GetRequest {
            name: name.to_owned(),
        };
        let reply = call(client.get(request)).await?;
        decode_object(reply.object)
    }

    async fn put(
        &self,
        name: &str,
        value: Option<&[u8]>,
        expected: u64,
    ) -> Result<PutOutcome, PlatformError> {
        let mut client = self.client.clone();
        let request = schema::PutRequest {
            name: name.to_owned(),
            value: value.unwrap_or_default().to_vec().into(),
            expected,
            remove: value.is_none(),
        };
        let reply = call(client.put(request)).await?;
        let object = decode_object(reply.object)?;
        if reply.conflict {
            return Ok(PutOutcome::Conflict(object));
        }
        Ok(PutOutcome::Accepted(object))
    }

    async fn watch(&self, prefix: &str, since: u64) -> Result<GrpcWatch, PlatformError> {
        let mut client = self.client.clone();
        let request = schema::WatchRequest {
            prefix: prefix.to_owned(),
            since,
        };
        let stream = call(client.watch(request)).await?;
        Ok(GrpcWatch { stream })
    }

    async fn instances(&self) -> Result<Vec<Instance>, PlatformError> {
        let mut client = self.client.clone();
        let reply = call(client.instances(schema::InstancesRequest {})).await?;
        reply.instances.into_iter().map(decode_instance).collect()
    }
}

/// A watch through the platform's published gRPC protocol.
#[derive(Debug)]
pub struct GrpcWatch {
    stream: tonic::Streaming<schema::Object>,
}

impl Watch for GrpcWatch {
    async fn next(&mut self) -> Result<Object, PlatformError> {
        match self.stream.next().await {
            Some(Ok(object)) => decode_object(Some(object)),
            Some(Err(status)) => Err(platform_error(&status)),
            None => Err(PlatformError::Broken),
        }
    }
}
