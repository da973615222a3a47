//! Clients that stop in the middle of their startup message, or before it.

mod crowd;

/// Guards against half-open starts that take memory and the descriptors of platform, peers and members.
#[tokio::test(flavor = "multi_thread")]
async fn half_starts_stay_bounded() {
    let mut site = crowd::Site::start(crowd::Limits {
        memory_mb: 48,
        max_fds: 96,
    })
    .await;
    site.storm(95, |address, index| async move {
        let mut stream = tokio::net::TcpStream::connect(address).await.ok()?;
        if index % 2 == 0 {
            let startup = crowd::startup(&"x".repeat(crowd::MESSAGE_LEN));
            crowd::send(&mut stream, &startup[..startup.len() - 1]).await?;
        }
        crowd::sleep(1_000).await;
        Some(stream)
    })
    .await;
}
