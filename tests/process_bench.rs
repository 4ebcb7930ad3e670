//! Helpers of the test bench that failure tests depend on.

mod support;

use std::net::TcpListener;
use std::net::TcpStream;

use support::socket_owner;

#[test]
fn a_connection_is_traced_to_the_process_that_opened_it() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let own = std::process::id();

    let owner = socket_owner(stream.local_addr().unwrap(), &[1, own]);

    assert_eq!(owner, Some(own));
}

#[test]
fn a_closed_connection_has_no_owner() {
    let listener = TcpListener::bind(("127.0.0.1", 0)).unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let address = stream.local_addr().unwrap();
    drop(stream);

    let owner = socket_owner(address, &[std::process::id()]);

    assert_eq!(owner, None);
}
