//! Links between processes that hold, delay, drop, duplicate, reorder or throttle traffic.
//! [`Shaper`] decides by a seed and performs no I/O; [`TcpLink`] and [`UdpLink`] forward on
//! loopback.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;

use marljunction_net::{Net, Owner};
use mio::net::{TcpListener, UdpSocket};
use mio::{Interest, Registry, Token};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::server::listen;

const MAX_DATAGRAM_BYTES: usize = 65_536;

/// Faults of one direction of a link.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Shape {
    /// Nothing passes: stream bytes are held, datagrams are lost.
    pub partitioned: bool,
    /// Fixed delay.
    pub delay_ns: u64,
    /// Largest random delay on top; reorders datagrams.
    pub jitter_ns: u64,
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Share of the datagrams that are duplicated.
    pub duplication: f64,
    /// Throughput limit of a stream; unlimited if `None`.
    pub bytes_per_s: Option<u64>,
}

impl Default for Shape {
    fn default() -> Self {
        Shape {
            partitioned: false,
            delay_ns: 0,
            jitter_ns: 0,
            loss: 0.0,
            duplication: 0.0,
            bytes_per_s: None,
        }
    }
}

/// Decides what becomes of the traffic of one direction.
#[derive(Clone, Debug)]
pub struct Shaper {
    shape: Shape,
    draws: StdRng,
    /// Stream bytes in order, each part with its due time.
    stream: VecDeque<(u64, Vec<u8>)>,
    /// Datagrams by due time and sequence number.
    datagrams: BTreeMap<(u64, u64), Vec<u8>>,
    sequence: u64,
    /// Time up to which the throughput limit has been used.
    rate_updated_ns: u64,
    /// Number of datagrams lost.
    pub lost: u64,
}

impl Shaper {
    /// A shaper without faults.
    pub fn new(seed: u64) -> Shaper {
        Shaper {
            shape: Shape::default(),
            draws: StdRng::seed_from_u64(seed),
            stream: VecDeque::new(),
            datagrams: BTreeMap::new(),
            sequence: 0,
            rate_updated_ns: 0,
            lost: 0,
        }
    }

    /// Sets the shape of further traffic.
    pub fn set(&mut self, now: u64, shape: Shape) {
        (self.shape, self.rate_updated_ns) = (shape, now);
    }

    /// The current shape.
    pub fn shape(&self) -> Shape {
        self.shape
    }

    fn due(&mut self, now: u64) -> u64 {
        let jitter =
            if self.shape.jitter_ns > 0 { self.draws.gen_range(0..=self.shape.jitter_ns) } else { 0 };
        now + self.shape.delay_ns + jitter
    }

    /// Queues bytes of a stream. Their order is kept.
    pub fn push_stream(&mut self, now: u64, bytes: &[u8]) {
        let due = self.due(now).max(self.stream.back().map_or(0, |(due, _)| *due));
        self.stream.push_back((due, bytes.to_vec()));
    }

    /// Takes the bytes of the stream that are due.
    pub fn pull_stream(&mut self, now: u64) -> Vec<u8> {
        let mut out = Vec::new();
        let elapsed_ns = now.saturating_sub(self.rate_updated_ns);
        let mut budget = match self.shape.bytes_per_s {
            _ if self.shape.partitioned => 0,
            None => usize::MAX,
            Some(bytes_per_s) => (u128::from(elapsed_ns) * u128::from(bytes_per_s) / 1_000_000_000) as usize,
        };
        if budget == 0 {
            return out;
        }
        self.rate_updated_ns = now;
        while let Some((_, bytes)) = self.stream.front_mut().filter(|(due, _)| *due <= now && budget > 0) {
            let part = bytes.len().min(budget);
            out.extend(bytes.drain(..part));
            budget -= part;
            if bytes.is_empty() {
                self.stream.pop_front();
            }
        }
        out
    }

    /// Number of queued bytes of the stream.
    pub fn queued_bytes(&self) -> usize {
        self.stream.iter().map(|(_, bytes)| bytes.len()).sum()
    }

    /// Queues a datagram.
    pub fn push_datagram(&mut self, now: u64, bytes: &[u8]) {
        let lost =
            self.shape.partitioned || self.shape.loss > 0.0 && self.draws.gen_bool(self.shape.loss.min(1.0));
        if lost {
            self.lost += 1;
            return;
        }
        let twice = self.shape.duplication > 0.0 && self.draws.gen_bool(self.shape.duplication.min(1.0));
        for _ in 0..=usize::from(twice) {
            self.sequence += 1;
            let due = self.due(now);
            self.datagrams.insert((due, self.sequence), bytes.to_vec());
        }
    }

    /// Takes the datagrams that are due. A partition also drops datagrams in transit.
    pub fn pull_datagrams(&mut self, now: u64) -> Vec<Vec<u8>> {
        let mut out = Vec::new();
        while let Some(entry) = self.datagrams.first_entry().filter(|entry| entry.key().0 <= now) {
            out.push(entry.remove());
        }
        if self.shape.partitioned {
            self.lost += out.len() as u64;
            out.clear();
        }
        out
    }

    /// Time at which queued traffic is next due.
    pub fn next_due_ns(&self) -> Option<u64> {
        let stream = self.stream.front().map(|(due, _)| *due).filter(|_| !self.shape.partitioned);
        stream.into_iter().chain(self.datagrams.keys().next().map(|(due, _)| *due)).min()
    }
}

/// One connection through a link. Index 0 is the client's end and the direction to the server.
struct ProxiedConnection {
    ends: [u64; 2],
    directions: [Shaper; 2],
    ended: [bool; 2],
}

/// A link that forwards TCP connections to one address.
pub struct TcpLink {
    listener: TcpListener,
    /// Address for clients.
    pub address: SocketAddr,
    to: SocketAddr,
    shapes: [Shape; 2],
    connections: Vec<ProxiedConnection>,
    seed: u64,
}

impl TcpLink {
    /// A link to `to`, on a free port.
    ///
    /// # Errors
    /// If no port is available.
    pub fn new(registry: &Registry, token: usize, to: SocketAddr, seed: u64) -> std::io::Result<TcpLink> {
        let (listener, address) = listen(registry, token)?;
        Ok(TcpLink { listener, address, to, shapes: [Shape::default(); 2], connections: Vec::new(), seed })
    }

    /// Whether a connection belongs to this link.
    pub fn owns(&self, conn: u64) -> bool {
        self.connections.iter().any(|c| c.ends.contains(&conn))
    }

    /// Shapes both directions, for open connections too.
    pub fn set(&mut self, now: u64, to_server: Shape, to_client: Shape) {
        self.shapes = [to_server, to_client];
        for connection in &mut self.connections {
            connection.directions[0].set(now, to_server);
            connection.directions[1].set(now, to_client);
        }
    }

    /// Resets all connections.
    pub fn reset(&mut self, net: &mut Net) {
        for connection in self.connections.drain(..) {
            connection.ends.into_iter().for_each(|end| net.close(end));
        }
    }

    /// Accepts new connections.
    pub fn accept(&mut self, now: u64, net: &mut Net) {
        while let Ok((stream, _)) = self.listener.accept() {
            let Ok(client) = net.add_accepted(stream, Owner::Engine) else { continue };
            let Ok(server) = net.connect(self.to, Owner::Engine) else {
                net.close(client);
                continue;
            };
            self.seed = self.seed.wrapping_add(2);
            let mut directions = [Shaper::new(self.seed), Shaper::new(self.seed + 1)];
            directions.iter_mut().zip(self.shapes).for_each(|(shaper, shape)| shaper.set(now, shape));
            self.connections.push(ProxiedConnection {
                ends: [client, server],
                directions,
                ended: [false; 2],
            });
        }
    }

    /// Processes the input of one end.
    pub fn ready(&mut self, now: u64, net: &mut Net, conn: u64) {
        let Some(connection) = self.connections.iter_mut().find(|c| c.ends.contains(&conn)) else { return };
        let end = usize::from(connection.ends[1] == conn);
        connection.ended[end] |= net.service(conn).ended.is_some();
        let input = net.input(conn).to_vec();
        net.consume(conn, input.len());
        if !input.is_empty() {
            connection.directions[end].push_stream(now, &input);
        }
        self.tick(now, net);
    }

    /// Forwards bytes that are due. Once all bytes of a closed end are forwarded, the other end is
    /// closed; a partition hides the close.
    pub fn tick(&mut self, now: u64, net: &mut Net) {
        self.connections.retain_mut(|connection| {
            for end in 0..2 {
                let bytes = connection.directions[end].pull_stream(now);
                if !bytes.is_empty() {
                    net.send(connection.ends[1 - end], &bytes);
                }
            }
            let has_closed = |end: usize| {
                connection.ended[end]
                    && !connection.directions[end].shape().partitioned
                    && connection.directions[end].queued_bytes() == 0
            };
            let ended = has_closed(0) || has_closed(1);
            if ended {
                connection.ends.into_iter().for_each(|end| net.close(end));
            }
            !ended
        });
    }
}

/// A link that forwards datagrams to one address. Each sender has its own shaper.
pub struct UdpLink {
    socket: UdpSocket,
    /// Address for senders.
    pub address: SocketAddr,
    /// Destination; datagrams are dropped while it is `None`.
    pub to: Option<SocketAddr>,
    senders: HashMap<SocketAddr, Shaper>,
    default_shape: Shape,
    shapes: HashMap<SocketAddr, Shape>,
    seed: u64,
    /// Number of datagrams received, and their bytes.
    pub received: (u64, u64),
}

impl UdpLink {
    /// A link on a free port.
    ///
    /// # Errors
    /// If no port is available.
    pub fn new(registry: &Registry, token: usize, seed: u64) -> std::io::Result<UdpLink> {
        let mut socket = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?;
        registry.register(&mut socket, Token(token), Interest::READABLE)?;
        let address = socket.local_addr()?;
        let (senders, shapes) = (HashMap::new(), HashMap::new());
        Ok(UdpLink {
            socket,
            address,
            to: None,
            senders,
            default_shape: Shape::default(),
            shapes,
            seed,
            received: (0, 0),
        })
    }

    /// Shapes the traffic of `sender`, or of all senders without a shape of their own.
    pub fn set(&mut self, now: u64, sender: Option<SocketAddr>, shape: Shape) {
        match sender {
            Some(sender) => drop(self.shapes.insert(sender, shape)),
            None => self.default_shape = shape,
        }
        for (from, shaper) in &mut self.senders {
            shaper.set(now, self.shapes.get(from).copied().unwrap_or(self.default_shape));
        }
    }

    /// Receives datagrams.
    pub fn ready(&mut self, now: u64) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            match self.socket.recv_from(&mut buffer) {
                Ok((size, from)) => {
                    self.received = (self.received.0 + 1, self.received.1 + size as u64);
                    let shape = self.shapes.get(&from).copied().unwrap_or(self.default_shape);
                    let shaper = self.senders.entry(from).or_insert_with(|| {
                        self.seed = self.seed.wrapping_add(1);
                        let mut shaper = Shaper::new(self.seed);
                        shaper.set(now, shape);
                        shaper
                    });
                    shaper.push_datagram(now, &buffer[..size]);
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // ICMP error caused by an earlier datagram to a closed port.
                Err(e) if e.kind() == ErrorKind::ConnectionRefused => {}
                Err(_) => break,
            }
        }
        self.tick(now);
    }

    /// Forwards datagrams that are due.
    pub fn tick(&mut self, now: u64) {
        for shaper in self.senders.values_mut() {
            for bytes in shaper.pull_datagrams(now) {
                if let Some(to) = self.to {
                    // UDP may lose datagrams.
                    let _ = self.socket.send_to(&bytes, to);
                }
            }
        }
    }

    /// Time at which a datagram is next due.
    pub fn next_due_ns(&self) -> Option<u64> {
        self.senders.values().filter_map(Shaper::next_due_ns).min()
    }
}
