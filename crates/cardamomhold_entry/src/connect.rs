//! Connections to members and to other instances.

use std::io;
use std::net;
use std::time;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Time without acknowledgement after which the kernel gives a connection up.
const USER_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Longest wait for the kernel at the other address.
const TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Opens a connection that does not outlive the other side's silence.
///
/// # Errors
/// Nobody takes connections at the address, or not in time.
pub async fn open(address: net::SocketAddr) -> io::Result<TcpStream> {
    let connecting = async {
        let socket = TcpSocket::new_v4()?;
        let options = socket2::SockRef::from(&socket);
        options.set_tcp_user_timeout(Some(USER_TIMEOUT))?;
        socket.set_nodelay(true)?;
        socket.connect(address).await
    };
    tokio::time::timeout(TIMEOUT, connecting)
        .await
        .unwrap_or_else(|elapsed| Err(elapsed.into()))
}
