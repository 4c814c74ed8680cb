//! Choice and opening of the client listener.

use std::io::Write;
use std::os::fd::IntoRawFd;

use marljunction_net::listener::Listen;

#[test]
fn an_inherited_descriptor_overrides_the_address() {
    assert_eq!(Listen::of("127.0.0.1:4100", Some("3")), Ok(Listen::Inherited(3)));
    assert_eq!(Listen::of("127.0.0.1:4100", None), Ok(Listen::Bind("127.0.0.1:4100".parse().unwrap())));
    assert!(Listen::of("127.0.0.1:4100", Some("three")).is_err());
    assert!(Listen::of("127.0.0.1:4100", Some("-1")).is_err());
    assert!(Listen::of("nowhere", None).is_err());
}

// A single test, since the descriptor is passed in environment variables of the process.
#[test]
fn an_inherited_tcp_listener_is_accepted_and_other_descriptors_are_rejected() {
    let bound = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = bound.local_addr().unwrap();
    let listen = Listen::Inherited(bound.into_raw_fd());
    assert!(listen.is_shared());
    let listener = listen.open().expect("an inherited TCP listener");
    assert_eq!(listener.local_addr().unwrap(), address);
    let mut client = std::net::TcpStream::connect(address).unwrap();
    client.write_all(b"x").unwrap();
    let accepted = (0..1000).find_map(|_| {
        std::thread::yield_now();
        listener.accept().ok()
    });
    assert!(accepted.is_some(), "no connection accepted from the inherited socket");

    let file = std::fs::File::open("Cargo.toml").unwrap();
    assert!(Listen::Inherited(file.into_raw_fd()).open().is_err(), "a file was accepted as a listener");
    let udp = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    assert!(Listen::Inherited(udp.into_raw_fd()).open().is_err(), "a UDP socket was accepted as a listener");
}
