//! Many requests sent ahead on each connection, whose answers are not read.

mod crowd;

/// Guards against requests that are read, and answers that are held, for a client that takes none.
#[tokio::test(flavor = "multi_thread")]
async fn requests_ahead_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, index| async move {
        let mut stream = crowd::narrow_session(address).await?;
        let mut requests = Vec::new();
        for number in 0..200 {
            let len = if (number + index) % 20 == 0 {
                200_000
            } else {
                100
            };
            requests.extend(crowd::long_query(len));
            requests.extend(crowd::query("STREAM 10 10000"));
        }
        crowd::send(&mut stream, &requests).await?;
        crowd::sleep(3_000).await;
        Some(stream)
    })
    .await;
}
