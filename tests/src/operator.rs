//! Operator calls to an instance.

use std::net::SocketAddr;
use std::time;

use cardamomhold_proto::operator as schema;
use tonic::transport;

use crate::cluster;

/// A client of the operator service.
pub type Operator = schema::operator_client::OperatorClient<transport::Channel>;

/// Pause between two status requests while waiting.
const POLL_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// Connects to the operator service at an instance's peer address.
pub async fn connect(peer: SocketAddr) -> Operator {
    Operator::connect(format!("http://{peer}"))
        .await
        .expect("operator connects")
}

/// Requests the status of an instance.
pub async fn status(operator: &mut Operator) -> schema::StatusReply {
    let reply = operator.status(schema::StatusRequest {}).await;
    reply.expect("status").into_inner()
}

/// Waits until `is_expected` accepts an instance's status; `expected` describes it in the
/// failure message.
pub async fn await_status(
    operator: &mut Operator,
    expected: &str,
    is_expected: impl Fn(&schema::StatusReply) -> bool,
) -> schema::StatusReply {
    let deadline = tokio::time::Instant::now() + cluster::WAIT_TIMEOUT;
    loop {
        let reply = status(operator).await;
        if is_expected(&reply) {
            return reply;
        }
        assert!(
            tokio::time::Instant::now() < deadline,
            "no {expected}: {reply:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Sets the staleness of the read kind `report` if its version is still `version`.
pub async fn set_report(
    operator: &mut Operator,
    author: &str,
    version: u64,
    staleness_ms: u64,
) -> schema::apply_reply::Result {
    let entry = schema::Entry {
        kind: schema::Kind::ReadKind.into(),
        name: "report".to_owned(),
        version,
        author: author.to_owned(),
        spec: Some(schema::entry::Spec::ReadKind(schema::ReadKind {
            staleness_ms,
        })),
        ..Default::default()
    };
    let request = schema::ApplyRequest { entry: Some(entry) };
    let reply = operator.apply(request).await.expect("apply").into_inner();
    reply.result.expect("result")
}

/// Version and `staleness_ms` of the read kind `report` at an instance.
pub async fn get_report(operator: &mut Operator) -> (u64, u64) {
    let request = schema::GetRequest {
        kind: schema::Kind::ReadKind.into(),
        name: "report".to_owned(),
    };
    let entry = operator.get(request).await.expect("get").into_inner();
    match entry.spec {
        Some(schema::entry::Spec::ReadKind(kind)) => (entry.version, kind.staleness_ms),
        other => panic!("not a read kind: {other:?}"),
    }
}
