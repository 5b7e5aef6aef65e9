use std::io::Write;
use std::time::{Duration, Instant};

use tokio::net::TcpListener;

use crate::net::listener::acceptor::Acceptor;
use crate::net::listener::tests::context;
use crate::net::listener::{ClientConnection, ClientTimeouts, Heartbeat};

/// Time for which the request stays unread in the test.
const UNREAD_TIME: Duration = Duration::from_millis(200);
/// Allowance for the resolution of the system's record and for a busy machine.
const TOLERANCE: Duration = Duration::from_millis(50);

/// A request that a busy process reads late, without a stall, dates from its arrival.
#[tokio::test]
async fn request_read_late_dates_from_its_arrival() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let mut client = std::net::TcpStream::connect(address).unwrap();
    let mut context = context(tokio::sync::watch::channel(false).1);
    let mut acceptor = Acceptor::new(context.clone(), listener);
    let accepted = acceptor.next().await.unwrap();
    client.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
    let sent = Instant::now();
    std::thread::sleep(UNREAD_TIME);
    context.heartbeat = Heartbeat::new(Instant::now()).into();
    let timeouts = ClientTimeouts {
        idle: Duration::from_secs(1),
        request: Duration::from_secs(1),
    };
    let mut connection = ClientConnection::open(accepted, context, timeouts);
    connection.unread_since = None;
    let received_at = connection.mark_end_of_request();
    let late_by = received_at.saturating_duration_since(sent);
    assert!(late_by <= TOLERANCE, "{late_by:?}");
}
