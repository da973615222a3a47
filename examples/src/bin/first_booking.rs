//! Inserts a booking through one instance and counts the bookings through another instance.

use tokio_postgres::NoTls;

const FIRST: &str = "host=127.0.0.1 port=5401 user=kalkbok dbname=bookings";
const SECOND: &str = "host=127.0.0.1 port=5402 user=kalkbok dbname=bookings";

async fn connect(target: &str) -> Result<tokio_postgres::Client, tokio_postgres::Error> {
    let (client, connection) = tokio_postgres::connect(target, NoTls).await?;
    tokio::spawn(connection);
    Ok(client)
}

async fn session_token(client: &tokio_postgres::Client) -> Result<String, tokio_postgres::Error> {
    let row = client
        .query_one("SHOW cardamomhold.session_token", &[])
        .await?;
    Ok(row.get(0))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), tokio_postgres::Error> {
    let first = connect(FIRST).await?;
    first
        .batch_execute("CREATE TABLE IF NOT EXISTS booking (farm TEXT, field TEXT)")
        .await?;
    first
        .execute(
            "INSERT INTO booking VALUES ($1, $2)",
            &[&"Lillgården", &"Norra åkern"],
        )
        .await?;
    let token = session_token(&first).await?;
    println!("booked; session token {token}");

    let second = connect(SECOND).await?;
    second
        .batch_execute(&format!("SET cardamomhold.session_token = '{token}'"))
        .await?;
    second
        .batch_execute("SET cardamomhold.read_kind = 'report'")
        .await?;
    let row = second
        .query_one("SELECT count(*) FROM booking", &[])
        .await?;
    println!(
        "bookings seen through the other instance: {}",
        row.get::<_, i64>(0)
    );
    Ok(())
}
