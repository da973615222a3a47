//! Many legal messages at once, sent in small pieces.

mod crowd;

/// Guards against buffers that double with each piece.
#[tokio::test(flavor = "multi_thread")]
async fn small_pieces_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, _| async move {
        let mut stream = crowd::session(address).await?;
        for _ in 0..2 {
            for piece in crowd::long_query(crowd::MESSAGE_LEN).chunks(3_000) {
                crowd::send(&mut stream, piece).await?;
                tokio::task::yield_now().await;
            }
            crowd::answer(&mut stream).await;
        }
        Some(stream)
    })
    .await;
}
