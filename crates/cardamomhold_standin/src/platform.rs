//! A stand-in of the platform: its object API and its list of instances.

use std::collections;
use std::io;
use std::pin;
use std::sync;
use std::time;

use cardamomhold_proto::platform as schema;
use tokio::net;
use tokio::sync::watch;
use tokio_stream::StreamExt;
use tokio_stream::wrappers;

#[derive(Debug, Clone, Default)]
struct State {
    objects: collections::BTreeMap<String, schema::Object>,
    version: u64,
    instances: Vec<schema::Instance>,
    calls: Calls,
    is_down: bool,
    delay: time::Duration,
    lost_answers: u32,
}

/// How often the platform was called.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Calls {
    /// Reads, lists, watches and lists of instances.
    pub reads: u64,
    /// Conditional updates.
    pub writes: u64,
}

/// Handle of a running stand-in.
#[derive(Debug, Clone)]
pub struct Platform {
    state: sync::Arc<watch::Sender<State>>,
    address: std::net::SocketAddr,
}

impl Platform {
    /// Starts the stand-in at an address; port zero takes any.
    ///
    /// # Errors
    /// The error of the socket.
    pub async fn start(address: &str) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let state = sync::Arc::new(watch::Sender::new(State::default()));
        let service = schema::platform_server::PlatformServer::new(Service {
            state: state.clone(),
        });
        let incoming = wrappers::TcpListenerStream::new(listener);
        tokio::spawn(async move {
            let served = tonic::transport::Server::builder().add_service(service);
            if let Err(error) = served.serve_with_incoming(incoming).await {
                ::log::error!("event=platform_end error=\"{error}\"");
            }
        });
        Ok(Self { state, address })
    }

    /// Where the stand-in listens.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    /// Puts an instance on the list, or changes it there.
    pub fn list_instance(&self, name: &str, zone: &str, address: &str, leaving: bool) {
        let listed = schema::Instance {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            leaving,
        };
        self.state.send_modify(|s| {
            s.instances.retain(|i| i.name != name);
            s.instances.push(listed);
        });
    }

    /// Takes an instance off the list.
    pub fn unlist_instance(&self, name: &str) {
        self.state
            .send_modify(|s| s.instances.retain(|i| i.name != name));
    }

    /// Writes an object without a condition, as a set-up step.
    pub fn store(&self, name: &str, value: &[u8]) {
        self.state.send_modify(|s| {
            s.write(name, value.to_vec().into(), false);
        });
    }

    /// The content of an object.
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        state
            .objects
            .get(name)
            .filter(|o| !o.removed)
            .map(|o| o.value.to_vec())
    }

    /// Takes the platform down, or brings it back.
    pub fn set_down(&self, down: bool) {
        self.state.send_modify(|s| s.is_down = down);
    }

    /// Makes every call take this much longer.
    pub fn set_delay(&self, delay: time::Duration) {
        self.state.send_modify(|s| s.delay = delay);
    }

    /// Loses the answers of the next updates after they took effect.
    pub fn lose_answers(&self, count: u32) {
        self.state.send_modify(|s| s.lost_answers = count);
    }

    /// How often the platform was called so far.
    pub fn calls(&self) -> Calls {
        self.state.borrow().calls
    }
}

impl State {
    fn write(&mut self, name: &str, value: bytes::Bytes, removed: bool) -> schema::Object {
        self.version += 1;
        let object = schema::Object {
            name: name.to_owned(),
            value,
            version: self.version,
            removed,
        };
        self.objects.insert(name.to_owned(), object.clone());
        object
    }

    fn newer(&self, prefix: &str, since: u64) -> Vec<schema::Object> {
        let objects = self.objects.values();
        let wanted = objects.filter(|o| o.version > since && o.name.starts_with(prefix));
        let mut newer: Vec<schema::Object> = wanted.cloned().collect();
        newer.sort_by_key(|o| o.version);
        newer
    }
}

#[derive(Debug)]
struct Service {
    state: sync::Arc<watch::Sender<State>>,
}

impl Service {
    async fn enter(&self, is_write: bool) -> Result<(), tonic::Status> {
        self.state.send_modify(|s| {
            if is_write {
                s.calls.writes += 1;
            } else {
                s.calls.reads += 1;
            }
        });
        let delay = self.state.borrow().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        if self.state.borrow().is_down {
            return Err(tonic::Status::unavailable("the platform is down"));
        }
        Ok(())
    }
}

#[tonic::async_trait]
impl schema::platform_server::Platform for Service {
    async fn get(
        &self,
        request: tonic::Request<schema::GetRequest>,
    ) -> Result<tonic::Response<schema::GetReply>, tonic::Status> {
        self.enter(false).await?;
        let name = request.into_inner().name;
        let known = self.state.borrow().objects.get(&name).cloned();
        let object = known.unwrap_or(schema::Object {
            name,
            ..Default::default()
        });
        Ok(tonic::Response::new(schema::GetReply {
            object: Some(object),
        }))
    }

    async fn list(
        &self,
        request: tonic::Request<schema::ListRequest>,
    ) -> Result<tonic::Response<schema::ListReply>, tonic::Status> {
        self.enter(false).await?;
        let request = request.into_inner();
        let state = self.state.borrow();
        let objects = state.newer(&request.prefix, request.since);
        Ok(tonic::Response::new(schema::ListReply {
            objects,
            version: state.version,
        }))
    }

    async fn put(
        &self,
        request: tonic::Request<schema::PutRequest>,
    ) -> Result<tonic::Response<schema::PutReply>, tonic::Status> {
        self.enter(true).await?;
        let request = request.into_inner();
        let mut reply = schema::PutReply::default();
        let mut is_lost = false;
        self.state.send_modify(|s| {
            let known = s.objects.get(&request.name).cloned();
            let version = known.as_ref().map_or(0, |o| o.version);
            if version != request.expected {
                let name = request.name.clone();
                reply.conflict = true;
                reply.object = Some(known.unwrap_or(schema::Object {
                    name,
                    ..Default::default()
                }));
                return;
            }
            reply.object = Some(s.write(&request.name, request.value.clone(), request.remove));
            if s.lost_answers > 0 {
                s.lost_answers -= 1;
                is_lost = true;
            }
        });
        if is_lost {
            return Err(tonic::Status::unavailable("answer lost"));
        }
        Ok(tonic::Response::new(reply))
    }

    type WatchStream = pin::Pin<
        Box<dyn tokio_stream::Stream<Item = Result<schema::Object, tonic::Status>> + Send>,
    >;

    async fn watch(
        &self,
        request: tonic::Request<schema::WatchRequest>,
    ) -> Result<tonic::Response<Self::WatchStream>, tonic::Status> {
        self.enter(false).await?;
        let request = request.into_inner();
        let states = wrappers::WatchStream::new(self.state.subscribe());
        let mut since = request.since;
        let prefix = request.prefix;
        let changes = states.map(move |state| {
            if state.is_down {
                return vec![Err(tonic::Status::unavailable("the platform is down"))];
            }
            let newer = state.newer(&prefix, since);
            since = since.max(state.version);
            newer.into_iter().map(Ok).collect()
        });
        let flat = futures_util::StreamExt::flat_map(changes, tokio_stream::iter);
        Ok(tonic::Response::new(Box::pin(flat)))
    }

    async fn instances(
        &self,
        _: tonic::Request<schema::InstancesRequest>,
    ) -> Result<tonic::Response<schema::InstancesReply>, tonic::Status> {
        self.enter(false).await?;
        let instances = self.state.borrow().instances.clone();
        Ok(tonic::Response::new(schema::InstancesReply { instances }))
    }
}
