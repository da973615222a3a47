//! Clients that send a message almost whole and the rest byte by byte.

mod crowd;

/// Guards against unfinished messages that are held for as long as a few bytes arrive.
#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, _| async move {
        let mut stream = crowd::session(address).await?;
        let query = crowd::long_query(crowd::MESSAGE_LEN);
        crowd::send(&mut stream, &query[..query.len() - 1_000]).await?;
        for _ in 0..40 {
            crowd::send(&mut stream, b"x").await?;
            crowd::sleep(100).await;
        }
        Some(stream)
    })
    .await;
}
