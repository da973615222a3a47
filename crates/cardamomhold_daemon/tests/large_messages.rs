//! Many legal messages at once, each sent in one piece.

mod crowd;

/// Guards against 60 queries of 1 MiB taking a daemon past its memory.
#[tokio::test(flavor = "multi_thread")]
async fn large_messages_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, _| async move {
        let mut stream = crowd::session(address).await?;
        let query = crowd::long_query(crowd::MESSAGE_LEN);
        for _ in 0..4 {
            crowd::send(&mut stream, &query).await?;
            crowd::answer(&mut stream).await;
        }
        Some(stream)
    })
    .await;
}
