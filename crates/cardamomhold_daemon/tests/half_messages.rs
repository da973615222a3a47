//! Clients that stop in the middle of a message.

mod crowd;

/// Guards against unfinished messages that are held for good.
#[tokio::test(flavor = "multi_thread")]
async fn half_messages_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, _| async move {
        let mut stream = crowd::session(address).await?;
        let query = crowd::long_query(crowd::MESSAGE_LEN);
        crowd::send(&mut stream, &query[..query.len() - 1]).await?;
        crowd::sleep(2_000).await;
        Some(stream)
    })
    .await;
}
