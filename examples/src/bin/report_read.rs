//! Reads from a replica with the read kind `report`, whose staleness bound operators have
//! configured, and shows that a declared read can't write.

use tokio_postgres::NoTls;

const TARGET: &str = "host=127.0.0.1 port=5402 user=kalkbok dbname=bookings";

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), tokio_postgres::Error> {
    let (client, connection) = tokio_postgres::connect(TARGET, NoTls).await?;
    tokio::spawn(connection);
    client
        .batch_execute("CREATE TABLE IF NOT EXISTS booking (farm TEXT, field TEXT)")
        .await?;
    for (name, value) in [("rank", "bulk"), ("read_kind", "report")] {
        let set = format!("SET cardamomhold.{name} = '{value}'");
        client.batch_execute(&set).await?;
    }
    let row = client
        .query_one("SELECT count(*) FROM booking", &[])
        .await?;
    println!("bookings in the report: {}", row.get::<_, i64>(0));
    let write = client.batch_execute("DELETE FROM booking").await;
    let code = write.as_ref().err().and_then(|e| e.code());
    println!("a write in a declared read is refused: {code:?}");
    Ok(())
}
