use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::thread::sleep;

use super::*;

/// Data that lies unread, also in a connection that was accepted later, has its age.
#[test]
fn unread_data_has_its_age() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    sleep(Duration::from_millis(300));
    client.write_all(b"x").unwrap();
    sleep(Duration::from_millis(200));
    let (server, _) = listener.accept().unwrap();
    let age = time_since_last_data(&server).unwrap();
    assert!(age >= Duration::from_millis(190), "{age:?}");
    client.write_all(b"x").unwrap();
    sleep(Duration::from_millis(20));
    let newer = time_since_last_data(&server).unwrap();
    assert!(newer < age, "{newer:?} after {age:?}");
}

#[test]
fn other_sockets_have_none() {
    let (socket, _peer) = std::os::unix::net::UnixStream::pair().unwrap();
    assert_eq!(time_since_last_data(&socket), None);
}
