//! Books with a request key and repeats the request through another instance: the repeated
//! request gets the stored answer, and the booking exists once.

use tokio_postgres::NoTls;

const FIRST: &str = "host=127.0.0.1 port=5401 user=kalkbok dbname=bookings";
const SECOND: &str = "host=127.0.0.1 port=5402 user=kalkbok dbname=bookings";

async fn connect(target: &str) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let (client, connection) = tokio_postgres::connect(target, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), tokio_postgres::Error> {
    let key = uuid::Uuid::now_v7();
    let farm = format!("Lillgården {key}");
    let create = "CREATE TABLE IF NOT EXISTS booking (farm TEXT, field TEXT)";
    connect(FIRST).await?.batch_execute(create).await?;
    for target in [FIRST, SECOND] {
        let client = connect(target).await?;
        let rank = "SET cardamomhold.rank = 'urgent'";
        client.batch_execute(rank).await?;
        let set_key = format!("SET cardamomhold.request_key = '{key}'");
        client.batch_execute(&set_key).await?;
        let booked = client
            .execute("INSERT INTO booking VALUES ($1, 'Norra åkern')", &[&farm])
            .await?;
        println!("answer: {booked} booked");
    }
    let client = connect(SECOND).await?;
    let row = client
        .query_one("SELECT count(*) FROM booking WHERE farm = $1", &[&farm])
        .await?;
    println!("bookings with this key: {}", row.get::<_, i64>(0));
    Ok(())
}
