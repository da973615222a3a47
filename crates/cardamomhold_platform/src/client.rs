//! The platform's API as the daemon uses it.

use std::fmt;
use std::future;
use std::time;

use cardamomhold_core::name;
use cardamomhold_proto::platform as schema;
use tokio_stream::StreamExt;
use tonic::transport;

/// Time after which a call of the platform is given up.
pub const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// Time within which a connection to the platform must be open.
pub const CONNECT_TIMEOUT: time::Duration = time::Duration::from_secs(1);

/// Interval of keep-alive probes on an idle watch.
pub const KEEP_ALIVE: time::Duration = time::Duration::from_secs(5);

/// One object of the store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Object {
    /// Its name.
    pub name: String,
    /// Its content.
    pub value: Vec<u8>,
    /// Version of its last change; zero when it was never written.
    pub version: u64,
    /// Whether it was removed.
    pub removed: bool,
}

/// An instance on the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// Its name.
    pub name: name::InstanceName,
    /// Its zone.
    pub zone: name::ZoneName,
    /// Address of its peer service.
    pub address: String,
    /// Whether the platform is taking it away.
    pub leaving: bool,
}

/// What a conditional update led to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Written {
    /// The update took effect; the object as it now stands.
    Accepted(Object),
    /// The version was another one; the object as it stands.
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
    /// The answer breaks the protocol.
    BadAnswer,
}

impl PlatformError {
    /// Whether the call is known to have had no effect.
    pub fn is_certain(self) -> bool {
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

/// The platform, whatever its API.
pub trait Platform: Clone + Send + Sync + 'static {
    /// A running watch.
    type Watch: Watch;

    /// Lists the objects under a prefix that changed after a version, with the store's version.
    fn list(
        &self,
        prefix: &str,
        since: u64,
    ) -> impl future::Future<Output = Result<(Vec<Object>, u64), PlatformError>> + Send;

    /// Reads one object; version zero when it was never written.
    fn get(&self, name: &str)
    -> impl future::Future<Output = Result<Object, PlatformError>> + Send;

    /// Writes an object, or removes it when `value` is none, if its version is `expected`.
    fn put(
        &self,
        name: &str,
        value: Option<&[u8]>,
        expected: u64,
    ) -> impl future::Future<Output = Result<Written, PlatformError>> + Send;

    /// Watches a prefix for changes after a version.
    fn watch(
        &self,
        prefix: &str,
        since: u64,
    ) -> impl future::Future<Output = Result<Self::Watch, PlatformError>> + Send;

    /// The platform's list of instances; it lags.
    fn instances(&self) -> impl future::Future<Output = Result<Vec<Listed>, PlatformError>> + Send;
}

/// A stream of changes, in the order of their versions.
pub trait Watch: Send {
    /// The next change; an error ends the watch.
    fn next(&mut self) -> impl future::Future<Output = Result<Object, PlatformError>> + Send;
}

/// The platform over its published protocol.
#[derive(Debug, Clone)]
pub struct GrpcPlatform {
    client: schema::platform_client::PlatformClient<transport::Channel>,
}

/// The address is no `ip:port`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AddressError;

impl GrpcPlatform {
    /// A client of the platform at `address`; connects when it is first used.
    ///
    /// # Errors
    /// [`AddressError`] when the address is no `ip:port`.
    pub fn new(address: &str) -> Result<Self, AddressError> {
        let endpoint = transport::Endpoint::from_shared(format!("http://{address}"))
            .map_err(|_| AddressError)?
            .connect_timeout(CONNECT_TIMEOUT)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_while_idle(true);
        let client = schema::platform_client::PlatformClient::new(endpoint.connect_lazy());
        Ok(Self { client })
    }
}

fn error_of(status: &tonic::Status) -> PlatformError {
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
    answer: impl future::Future<Output = Result<tonic::Response<T>, tonic::Status>>,
) -> Result<T, PlatformError> {
    match tokio::time::timeout(CALL_TIMEOUT, answer).await {
        Ok(Ok(response)) => Ok(response.into_inner()),
        Ok(Err(status)) => Err(error_of(&status)),
        Err(_) => Err(PlatformError::Timeout),
    }
}

fn object_of(object: Option<schema::Object>) -> Result<Object, PlatformError> {
    let object = object.ok_or(PlatformError::BadAnswer)?;
    Ok(Object {
        name: object.name,
        value: object.value.to_vec(),
        version: object.version,
        removed: object.removed,
    })
}

fn listed_of(instance: schema::Instance) -> Result<Listed, PlatformError> {
    let name = name::InstanceName::parse(&instance.name).map_err(|_| PlatformError::BadAnswer)?;
    let zone = name::ZoneName::parse(&instance.zone).map_err(|_| PlatformError::BadAnswer)?;
    Ok(Listed {
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
            objects.push(object_of(Some(object))?);
        }
        Ok((objects, reply.version))
    }

    async fn get(&self, name: &str) -> Result<Object, PlatformError> {
        let mut client = self.client.clone();
        let request = schema::GetRequest {
            name: name.to_owned(),
        };
        let reply = call(client.get(request)).await?;
        object_of(reply.object)
    }

    async fn put(
        &self,
        name: &str,
        value: Option<&[u8]>,
        expected: u64,
    ) -> Result<Written, PlatformError> {
        let mut client = self.client.clone();
        let request = schema::PutRequest {
            name: name.to_owned(),
            value: value.unwrap_or_default().to_vec().into(),
            expected,
            remove: value.is_none(),
        };
        let reply = call(client.put(request)).await?;
        let object = object_of(reply.object)?;
        if reply.conflict {
            return Ok(Written::Conflict(object));
        }
        Ok(Written::Accepted(object))
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

    async fn instances(&self) -> Result<Vec<Listed>, PlatformError> {
        let mut client = self.client.clone();
        let reply = call(client.instances(schema::InstancesRequest {})).await?;
        reply.instances.into_iter().map(listed_of).collect()
    }
}

/// A watch over the platform's published protocol.
#[derive(Debug)]
pub struct GrpcWatch {
    stream: tonic::Streaming<schema::Object>,
}

impl Watch for GrpcWatch {
    async fn next(&mut self) -> Result<Object, PlatformError> {
        match self.stream.next().await {
            Some(Ok(object)) => object_of(Some(object)),
            Some(Err(status)) => Err(error_of(&status)),
            None => Err(PlatformError::Broken),
        }
    }
}
