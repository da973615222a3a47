//! Sessions that keep many prepared statements and settings.

mod crowd;

/// Guards against what a session keeps for its lifetime growing without a bound.
#[tokio::test(flavor = "multi_thread")]
async fn kept_state_stays_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(12, |address, _| async move {
        let mut stream = crowd::session(address).await?;
        let text = "x".repeat(400_000);
        for number in 0..16 {
            let prepared = format!("p{number}\0SELECT length('{text}')\0\0\0");
            crowd::send(&mut stream, &crowd::message(b'P', prepared.as_bytes())).await?;
            crowd::send(&mut stream, &crowd::message(b'S', b"")).await?;
            crowd::answer(&mut stream).await;
            let setting = format!("SET x{number}.y = '{text}'");
            crowd::send(&mut stream, &crowd::query(&setting)).await?;
            crowd::answer(&mut stream).await;
        }
        Some(stream)
    })
    .await;
}
