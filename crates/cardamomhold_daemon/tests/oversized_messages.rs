//! Many messages that announce far more than the limit at once.

mod crowd;

/// Guards against messages that are held before they are refused.
#[tokio::test(flavor = "multi_thread")]
async fn oversized_messages_stay_bounded() {
    let mut site = crowd::Site::start(crowd::LIMITS).await;
    site.storm(crowd::CROWD, |address, index| async move {
        for _ in 0..3 {
            let Some(mut stream) = crowd::session(address).await else {
                continue;
            };
            // Just below the limit of 16 MiB, and far above it.
            let len: i32 = if index % 2 == 0 { 16 << 20 } else { 1 << 30 };
            let mut header = vec![b'Q'];
            header.extend_from_slice(&len.to_be_bytes());
            crowd::send(&mut stream, &header).await?;
            let piece = vec![b'x'; 256 << 10];
            for _ in 0..64 {
                if crowd::send(&mut stream, &piece).await.is_none() {
                    break;
                }
            }
        }
        crowd::session(address).await
    })
    .await;
}
