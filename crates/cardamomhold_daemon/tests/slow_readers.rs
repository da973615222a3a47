//! Clients that request long answers and read them byte by byte.

mod crowd;

/// Guards against answers that are held for as long as a client reads a few bytes.
#[tokio::test(flavor = "multi_thread")]
async fn slow_readers_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, _| async move {
        let mut stream = crowd::narrow_session(address).await?;
        crowd::send(&mut stream, &crowd::query("STREAM 64 1000000")).await?;
        for _ in 0..40 {
            // Nothing has arrived yet, or the connection is closed.
            let _ = stream.try_read(&mut [0; 1]);
            crowd::sleep(100).await;
        }
        Some(stream)
    })
    .await;
}
