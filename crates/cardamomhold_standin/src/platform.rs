//! Stand-in for the platform: object API and list of instances.

use std::io;
use std::pin;
use std::sync;
use std::time;

use cardamomhold_proto::platform as schema;
use tokio::net;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::watch;
use tokio_stream::StreamExt;
use tokio_stream::wrappers;
use tonic::transport::server;

use crate::store;

/// Handle of a running stand-in.
#[derive(Debug, Clone)]
pub struct Platform {
    commands: mpsc::UnboundedSender<store::Command>,
    state: watch::Receiver<store::State>,
    /// Its strong count is the number of running watches plus one for the service.
    watch_token: sync::Weak<()>,
    address: std::net::SocketAddr,
}

impl Platform {
    /// Starts the stand-in at an address; port 0 selects any free port.
    ///
    /// # Errors
    /// The I/O error when listening on the address fails.
    pub async fn start(address: &str) -> io::Result<Self> {
        let listener = net::TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (commands, state) = store::start();
        let token = sync::Arc::new(());
        let watch_token = sync::Arc::downgrade(&token);
        let service = Service {
            commands: commands.clone(),
            state: state.clone(),
            token,
        };
        let service = schema::platform_server::PlatformServer::new(service);
        let incoming = server::TcpIncoming::from(listener).with_nodelay(Some(true));
        tokio::spawn(async move {
            let served = tonic::transport::Server::builder().add_service(service);
            if let Err(error) = served.serve_with_incoming(incoming).await {
                ::log::error!("event=platform_end error=\"{error}\"");
            }
        });
        Ok(Self {
            commands,
            state,
            watch_token,
            address,
        })
    }

    /// Returns the listen address.
    pub fn address(&self) -> std::net::SocketAddr {
        self.address
    }

    fn send(&self, command: store::Command) {
        if self.commands.send(command).is_err() {
            ::log::error!("event=platform_task_ended");
        }
    }

    /// Adds an instance to the list, or replaces its entry.
    pub fn put_instance(&self, name: &str, zone: &str, address: &str, leaving: bool) {
        self.send(store::Command::PutInstance(schema::Instance {
            name: name.to_owned(),
            zone: zone.to_owned(),
            address: address.to_owned(),
            leaving,
        }));
    }

    /// Removes an instance from the list.
    pub fn remove_instance(&self, name: &str) {
        self.send(store::Command::RemoveInstance(name.to_owned()));
    }

    /// Writes an object unconditionally, for test set-up.
    pub fn store(&self, name: &str, value: &[u8]) {
        let value = bytes::Bytes::copy_from_slice(value);
        self.send(store::Command::Store {
            name: name.to_owned(),
            value,
        });
    }

    /// Returns the content of an object as last published, or `None` when it doesn't exist.
    pub fn read(&self, name: &str) -> Option<Vec<u8>> {
        let state = self.state.borrow();
        state
            .objects
            .get(name)
            .filter(|o| !o.removed)
            .map(|o| o.value.to_vec())
    }

    /// Sets whether every call fails.
    pub fn set_down(&self, down: bool) {
        self.send(store::Command::SetDown(down));
    }

    /// Delays every call by this time.
    pub fn set_delay(&self, delay: time::Duration) {
        self.send(store::Command::SetDelay(delay));
    }

    /// Drops the answers to the next `count` successful updates, which still take effect.
    pub fn lose_answers(&self, count: u32) {
        self.send(store::Command::LoseAnswers(count));
    }

    /// Returns the number of running watches.
    pub fn watches(&self) -> usize {
        self.watch_token.strong_count().saturating_sub(1)
    }

    /// Returns the number of calls so far.
    pub fn calls(&self) -> store::Calls {
        self.state.borrow().calls
    }
}

#[derive(Debug)]
struct Service {
    commands: mpsc::UnboundedSender<store::Command>,
    state: watch::Receiver<store::State>,
    token: sync::Arc<()>,
}

impl Service {
    async fn request<T>(
        &self,
        command: impl FnOnce(oneshot::Sender<T>) -> store::Command,
    ) -> Result<T, tonic::Status> {
        let ended = || tonic::Status::unavailable("the platform has ended");
        let (reply, answer) = oneshot::channel();
        self.commands.send(command(reply)).map_err(|_| ended())?;
        answer.await.map_err(|_| ended())
    }

    async fn begin_call(&self, is_write: bool) -> Result<(), tonic::Status> {
        let health = self
            .request(|reply| store::Command::Count { is_write, reply })
            .await?;
        if !health.delay.is_zero() {
            tokio::time::sleep(health.delay).await;
        }
        if health.is_down {
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
        self.begin_call(false).await?;
        let name = request.into_inner().name;
        let stored = self.state.borrow().objects.get(&name).cloned();
        let object = stored.unwrap_or_else(|| store::unwritten(&name));
        Ok(tonic::Response::new(schema::GetReply {
            object: Some(object),
        }))
    }

    async fn list(
        &self,
        request: tonic::Request<schema::ListRequest>,
    ) -> Result<tonic::Response<schema::ListReply>, tonic::Status> {
        self.begin_call(false).await?;
        let request = request.into_inner();
        let state = self.state.borrow();
        let objects = state.changed_since(&request.prefix, request.since);
        Ok(tonic::Response::new(schema::ListReply {
            objects,
            version: state.version,
        }))
    }

    async fn put(
        &self,
        request: tonic::Request<schema::PutRequest>,
    ) -> Result<tonic::Response<schema::PutReply>, tonic::Status> {
        self.begin_call(true).await?;
        let request = request.into_inner();
        let answer = self
            .request(|reply| store::Command::Put { request, reply })
            .await?;
        let reply =
            answer.map_err(|store::AnswerLost| tonic::Status::unavailable("answer lost"))?;
        Ok(tonic::Response::new(reply))
    }

    type WatchStream = pin::Pin<
        Box<dyn tokio_stream::Stream<Item = Result<schema::Object, tonic::Status>> + Send>,
    >;

    async fn watch(
        &self,
        request: tonic::Request<schema::WatchRequest>,
    ) -> Result<tonic::Response<Self::WatchStream>, tonic::Status> {
        self.begin_call(false).await?;
        let request = request.into_inner();
        let states = wrappers::WatchStream::new(self.state.clone());
        let mut since = request.since;
        let prefix = request.prefix;
        let token = self.token.clone();
        let changes = states.map(move |state| {
            let _running = &token;
            if state.is_down {
                return vec![Err(tonic::Status::unavailable("the platform is down"))];
            }
            let changed = state.changed_since(&prefix, since);
            since = since.max(state.version);
            changed.into_iter().map(Ok).collect()
        });
        let flat = futures_util::StreamExt::flat_map(changes, tokio_stream::iter);
        Ok(tonic::Response::new(Box::pin(flat)))
    }

    async fn instances(
        &self,
        _: tonic::Request<schema::InstancesRequest>,
    ) -> Result<tonic::Response<schema::InstancesReply>, tonic::Status> {
        self.begin_call(false).await?;
        let instances = self.state.borrow().instances.clone();
        Ok(tonic::Response::new(schema::InstancesReply { instances }))
    }
}
