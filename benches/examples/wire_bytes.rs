//! Measures the bytes on the wire of control messages, for docs/CAPACITY.md.
//!
//! `cargo run --release -p cardamomhold_bench --example wire_bytes`

use std::net::SocketAddr;
use std::sync;
use std::time;

use cardamomhold_config::config;
use cardamomhold_core::name;
use cardamomhold_daemon::endpoint as endpoint_task;
use cardamomhold_daemon::peer;
use cardamomhold_endpoint::control;
use cardamomhold_endpoint::control::Control;
use cardamomhold_proto::peer as schema;
use cardamomhold_standin::endpoint;
use cardamomhold_standin::member;
use tokio::net;
use tokio::sync::broadcast;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task;

/// Starts a proxy for one connection that counts the bytes in both directions.
async fn count_traffic(target: SocketAddr) -> (SocketAddr, task::JoinHandle<u64>) {
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    let counted = tokio::spawn(async move {
        let (mut inner, _) = listener.accept().await.expect("accept");
        let mut outer = net::TcpStream::connect(target).await.expect("connect");
        let copied = tokio::io::copy_bidirectional(&mut inner, &mut outer).await;
        copied.map_or(0, |(sent, received)| sent + received)
    });
    (address, counted)
}

async fn pull_bytes(target: SocketAddr, calls: usize) -> u64 {
    let (address, counted) = count_traffic(target).await;
    let mut client = peer::connect(&address.to_string()).await.expect("peer");
    for _ in 0..calls {
        let request = schema::ChangesRequest {
            since: 0,
            limit: 32,
        };
        client.changes(request).await.expect("changes");
    }
    drop(client);
    counted.await.expect("proxy")
}

async fn serve_peer(value: &str) -> SocketAddr {
    let mut config = config::Config::default();
    config.merge(&config::Change {
        name: "config/read_kind/report".to_owned(),
        value: value.as_bytes().into(),
        version: 1,
        removed: false,
    });
    config.set_complete(1);
    // The measured call needs none of the service's other tasks.
    let (published, config) = watch::channel(sync::Arc::new(config));
    std::mem::forget(published);
    let service = peer::Service {
        owner: mpsc::channel(1).0,
        config,
        fleet: mpsc::channel(1).0,
        cancels: broadcast::Sender::new(1),
    };
    let listener = net::TcpListener::bind("127.0.0.1:0").await.expect("listen");
    let address = listener.local_addr().expect("address");
    drop(listener);
    let server = tonic::transport::Server::builder()
        .add_service(schema::peer_server::PeerServer::new(service))
        .serve(address);
    tokio::spawn(server);
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    address
}

async fn status_bytes(target: SocketAddr, polls: usize) -> u64 {
    let (address, counted) = count_traffic(target).await;
    let group = name::GroupName::parse("bookings").expect("name");
    let instance = name::InstanceName::parse("entry-0001").expect("name");
    let login = endpoint_task::login(&address.to_string(), &group, &instance);
    let mut control = control::SqlControl::open(&login).await.expect("control");
    let mut progress = control::Progress::default();
    for _ in 0..polls {
        let wait = time::Duration::from_millis(1);
        let status = control.status(progress, wait).await.expect("status");
        progress.received = status.received;
        progress.applied = status.applied;
    }
    drop(control);
    counted.await.expect("proxy")
}

#[tokio::main]
async fn main() {
    let small = r#"{"author":"a","change":"01890000-0000-7000-8000-000000000000","spec":{"read_kind":{"staleness_ms":5000}}}"#;
    let large = format!(
        r#"{{"author":"{}","change":"01890000-0000-7000-8000-000000000000","spec":{{"read_kind":{{"staleness_ms":5000}}}}}}"#,
        "a".repeat(4_000)
    );
    for value in [small, &large] {
        let peer = serve_peer(value).await;
        let one = pull_bytes(peer, 1).await;
        let eleven = pull_bytes(peer, 11).await;
        println!(
            "pull value_bytes={} first_bytes={one} next_bytes={}",
            value.len(),
            (eleven - one) / 10
        );
    }
    let options = member::Options::new("bookings-1", "bookings");
    let member = endpoint::Endpoint::start(options, "127.0.0.1:0", endpoint::InitialRole::Primary)
        .await
        .expect("member");
    let few = status_bytes(member.address(), 10).await;
    let many = status_bytes(member.address(), 110).await;
    println!("status poll_bytes={}", (many - few) / 100);
}
