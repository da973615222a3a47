//! Opens TCP connections to members and to other instances.

use std::io;
use std::net;
use std::time;

use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Time without a TCP acknowledgement after which the kernel closes a connection.
const TCP_USER_TIMEOUT: time::Duration = time::Duration::from_secs(4);

/// Timeout of establishing a TCP connection.
const CONNECT_TIMEOUT: time::Duration = time::Duration::from_millis(300);

/// Opens a connection that breaks when the other side stops acknowledging data.
///
/// # Errors
/// The connection is refused or isn't established in time.
pub async fn open(address: net::SocketAddr) -> io::Result<TcpStream> {
    let connecting = async {
        let socket = TcpSocket::new_v4()?;
        let options = socket2::SockRef::from(&socket);
        options.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
        socket.set_nodelay(true)?;
        socket.connect(address).await
    };
    tokio::time::timeout(CONNECT_TIMEOUT, connecting)
        .await
        .unwrap_or_else(|elapsed| Err(elapsed.into()))
}

/// Whether a connection on which nothing is expected is still usable: the other side has neither
/// closed it nor sent anything on it.
pub fn is_idle(stream: &TcpStream) -> bool {
    let mut byte = [0];
    let read = stream.try_read(&mut byte);
    matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}
