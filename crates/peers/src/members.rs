//! Membership by SWIM. Time and datagrams are passed in and out.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

use bytes::{Buf, BufMut};
use foca::{
    AccumulatingRuntime, Codec, Config, Foca, Header, Identity, Member, NoCustomBroadcast, OwnedNotification,
};
use foca::{PeriodicParams, Timer};
use rand_for_foca::rngs::SmallRng;
use rand_for_foca::SeedableRng;

use crate::datagram::{Keys, Kind, RejectReason, MAX_CONTENT_BYTES, REJECT_REASONS};
use crate::identity::PeerIdentity;

/// Interval at which unreachable seeds are sent a join request.
const JOIN_INTERVAL_NS: u64 = 1_000_000_000;
/// Tracked peers per router of the fleet. Replaced incarnations are remembered for a while.
const PEERS_PER_ROUTER: usize = 2;
/// Timers per tracked peer. Beyond the bound the latest timers are dropped.
const TIMERS_PER_PEER: usize = 4;
/// Lower bounds, for small fleets and for fleets of unknown size.
const MIN_MAX_PEERS: usize = 2_000;
const MIN_MAX_TIMERS: usize = 20_000;

/// Rejoins within the window that indicate a duplicate name. A router that was partitioned or
/// suspended rejoins only once.
const DUPLICATE_NAME_REJOINS: usize = 4;
const DUPLICATE_NAME_WINDOW_NS: u64 = 20_000_000_000;

/// Membership configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Approximate number of routers.
    pub routers: u32,
    /// Interval between probes.
    pub probe_interval_ns: u64,
    /// Timeout of a probe, including indirect probes. Must be less than the interval.
    pub probe_timeout_ns: u64,
    /// How long a suspected peer may refute the suspicion.
    pub suspicion_timeout_ns: u64,
    /// Addresses of routers to join through.
    pub seeds: Vec<SocketAddr>,
}

impl Default for Settings {
    fn default() -> Self {
        Settings {
            routers: 1,
            probe_interval_ns: 500_000_000,
            probe_timeout_ns: 200_000_000,
            suspicion_timeout_ns: 1_500_000_000,
            seeds: Vec::new(),
        }
    }
}

impl Settings {
    /// Upper bound on the time until a crashed peer is declared down (ns): this router probes every
    /// peer in turn, and the suspicion has to time out. Probes of other routers usually detect the
    /// crash much sooner.
    pub fn max_detection_ns(&self) -> u64 {
        let probes = 2 * u64::from(self.routers.max(2) - 1);
        probes * self.probe_interval_ns + self.probe_interval_ns + self.suspicion_timeout_ns
    }

    /// Maximum number of tracked peers. Bounds the memory that datagrams can occupy.
    pub fn max_peers(&self) -> usize {
        (self.routers as usize).saturating_mul(PEERS_PER_ROUTER).max(MIN_MAX_PEERS)
    }

    /// Maximum number of pending timers.
    pub fn max_timers(&self) -> usize {
        self.max_peers().saturating_mul(TIMERS_PER_PEER).max(MIN_MAX_TIMERS)
    }

    fn config(&self) -> Config {
        let every = |ns: u64, count: usize| {
            let num_members = NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN);
            Some(PeriodicParams { frequency: Duration::from_nanos(ns), num_members })
        };
        Config {
            probe_period: Duration::from_nanos(self.probe_interval_ns),
            probe_rtt: Duration::from_nanos(self.probe_timeout_ns),
            num_indirect_probes: NonZeroUsize::new(3).unwrap_or(NonZeroUsize::MIN),
            max_transmissions: NonZeroU8::new(12).unwrap_or(NonZeroU8::MIN),
            suspect_to_down_after: Duration::from_nanos(self.suspicion_timeout_ns),
            remove_down_after: Duration::from_secs(60),
            max_packet_size: NonZeroUsize::new(MAX_CONTENT_BYTES).unwrap_or(NonZeroUsize::MIN),
            notify_down_members: true,
            periodic_announce: every(10_000_000_000, 1),
            periodic_announce_to_down_members: every(2_000_000_000, 2),
            periodic_gossip: every(500_000_000, 3),
        }
    }
}

/// Encodes messages as MessagePack.
#[derive(Clone, Copy, Debug)]
struct MessagePackCodec;

/// Encoding or decoding of a message failed.
#[derive(Debug)]
pub struct CodecError(String);

impl std::fmt::Display for CodecError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for CodecError {}

fn write_msgpack(value: &impl serde::Serialize, buffer: impl BufMut) -> Result<(), CodecError> {
    rmp_serde::encode::write(&mut buffer.writer(), value).map_err(|e| CodecError(e.to_string()))
}

fn read_msgpack<T: serde::de::DeserializeOwned>(buffer: impl Buf) -> Result<T, CodecError> {
    rmp_serde::decode::from_read(buffer.reader()).map_err(|e| CodecError(e.to_string()))
}

/// Splits a payload from its sender's identity. A list payload follows the identity as raw bytes,
/// because MessagePack would encode it as an array of numbers and take half as much space again.
fn decode_payload(kind: Kind, mut content: &[u8]) -> Result<(PeerIdentity, Vec<u8>), CodecError> {
    match kind {
        Kind::List => {
            let from = read_msgpack::<PeerIdentity>(&mut content)?;
            Ok((from, content.to_vec()))
        }
        _ => read_msgpack::<(PeerIdentity, Vec<u8>)>(content),
    }
}

impl Codec<PeerIdentity> for MessagePackCodec {
    type Error = CodecError;

    fn encode_header(
        &mut self,
        header: &Header<PeerIdentity>,
        buffer: impl BufMut,
    ) -> Result<(), CodecError> {
        write_msgpack(header, buffer)
    }

    fn decode_header(&mut self, buffer: impl Buf) -> Result<Header<PeerIdentity>, CodecError> {
        read_msgpack(buffer)
    }

    fn encode_member(
        &mut self,
        member: &Member<PeerIdentity>,
        buffer: impl BufMut,
    ) -> Result<(), CodecError> {
        write_msgpack(member, buffer)
    }

    fn decode_member(&mut self, buffer: impl Buf) -> Result<Member<PeerIdentity>, CodecError> {
        read_msgpack(buffer)
    }
}

/// A change of membership, or a payload.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A peer is reachable.
    Up(PeerIdentity),
    /// A peer is down or unreachable.
    Down(PeerIdentity),
    /// A peer has restarted under its name: its earlier identity and its new one.
    Restarted(PeerIdentity, PeerIdentity),
    /// Peers repeatedly declare this router down although it refutes that: another router has its
    /// name.
    DuplicateName,
    /// A router with another name has this router's number.
    DuplicateNumber(PeerIdentity),
    /// A payload from a peer.
    Payload(PeerIdentity, Kind, Vec<u8>),
}

/// One router's view of its peers.
pub struct Members {
    foca: Foca<PeerIdentity, MessagePackCodec, SmallRng, NoCustomBroadcast>,
    keys: Keys,
    seeds: Vec<SocketAddr>,
    timers: BTreeMap<(u64, u64), Timer<PeerIdentity>>,
    max_peers: usize,
    max_timers: usize,
    sequence: u64,
    last_join_ns: u64,
    up: BTreeMap<String, PeerIdentity>,
    out: Vec<(SocketAddr, Vec<u8>)>,
    events: Vec<Event>,
    rejected_datagrams: BTreeMap<RejectReason, u64>,
    sent: (u64, u64),
    /// Times of the latest rejoins of this router (ns), for the detection of a duplicate name.
    rejoins_ns: VecDeque<u64>,
    duplicate_name_reported_ns: Option<u64>,
}

impl Members {
    /// Creates a view without peers.
    pub fn new(me: PeerIdentity, keys: Keys, settings: &Settings, seed: u64) -> Members {
        let seeds = settings.seeds.iter().copied().filter(|at| *at != me.address).collect();
        Members {
            foca: Foca::new(me, settings.config(), SmallRng::seed_from_u64(seed), MessagePackCodec),
            keys,
            seeds,
            timers: BTreeMap::new(),
            max_peers: settings.max_peers(),
            max_timers: settings.max_timers(),
            sequence: 0,
            last_join_ns: 0,
            up: BTreeMap::new(),
            out: Vec::new(),
            events: Vec::new(),
            rejected_datagrams: BTreeMap::new(),
            sent: (0, 0),
            rejoins_ns: VecDeque::new(),
            duplicate_name_reported_ns: None,
        }
    }

    /// This router's identity.
    pub fn me(&self) -> &PeerIdentity {
        self.foca.identity()
    }

    /// Replaces the keys.
    pub fn set_keys(&mut self, keys: Keys) {
        self.keys = keys;
    }

    /// Reachable peers.
    pub fn up(&self) -> impl Iterator<Item = &PeerIdentity> {
        self.up.values()
    }

    /// Rejected datagrams by reason.
    pub fn rejected_datagrams(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        REJECT_REASONS
            .iter()
            .map(|(reason, name)| (*name, self.rejected_datagrams.get(reason).copied().unwrap_or(0)))
    }

    /// Datagrams sent, and their bytes.
    pub fn sent(&self) -> (u64, u64) {
        self.sent
    }

    /// Time of the next timer (ns).
    pub fn next_due_ns(&self) -> u64 {
        let join = self.last_join_ns + JOIN_INTERVAL_NS;
        self.timers.keys().next().map_or(join, |(due, _)| (*due).min(join))
    }

    /// Advances time.
    pub fn tick(&mut self, now: u64) {
        if now >= self.last_join_ns + JOIN_INTERVAL_NS || self.last_join_ns == 0 {
            self.last_join_ns = now;
            let known: Vec<SocketAddr> = self.up.values().map(|peer| peer.address).collect();
            for seed in self.seeds.clone().into_iter().filter(|seed| !known.contains(seed)) {
                self.run(now, |foca, runtime| foca.announce(PeerIdentity::from_address(seed), runtime));
            }
        }
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            let timer = entry.remove();
            self.run(now, |foca, runtime| foca.handle_timer(timer, runtime));
        }
    }

    /// Handles a received datagram.
    pub fn receive(&mut self, now: u64, datagram: &[u8]) {
        match self.keys.verify(datagram) {
            Err(reason) => *self.rejected_datagrams.entry(reason).or_default() += 1,
            Ok((Kind::Members, content)) => {
                // Rejects membership messages while the table is full, so that it cannot grow
                // without bound.
                let full = self.foca.iter_membership_state().len() >= self.max_peers;
                let handled = !full && self.run(now, |foca, runtime| foca.handle_data(content, runtime));
                if !handled {
                    *self.rejected_datagrams.entry(RejectReason::Content).or_default() += 1;
                }
            }
            Ok((kind, content)) => match decode_payload(kind, content) {
                Ok((from, payload)) => self.events.push(Event::Payload(from, kind, payload)),
                Err(_) => *self.rejected_datagrams.entry(RejectReason::Content).or_default() += 1,
            },
        }
    }

    /// Sends a payload to a peer. Returns false if it does not fit into a datagram.
    pub fn send_payload(&mut self, to: SocketAddr, kind: Kind, payload: &[u8]) -> bool {
        let mut content = Vec::new();
        let packed = match kind {
            Kind::List => {
                let packed = write_msgpack(self.me(), &mut content);
                content.extend_from_slice(payload);
                packed
            }
            _ => write_msgpack(&(self.me(), payload), &mut content),
        };
        let packed = packed.is_ok() && content.len() <= MAX_CONTENT_BYTES;
        if packed {
            self.send(to, kind, &content);
        }
        packed
    }

    /// Announces that this router leaves.
    pub fn leave(&mut self, now: u64) {
        self.run(now, |foca, runtime| foca.leave_cluster(runtime));
    }

    /// Takes the datagrams to send and the events since the last call.
    pub fn take(&mut self) -> (Vec<(SocketAddr, Vec<u8>)>, Vec<Event>) {
        (std::mem::take(&mut self.out), std::mem::take(&mut self.events))
    }

    fn send(&mut self, to: SocketAddr, kind: Kind, content: &[u8]) {
        let datagram = self.keys.sign(kind, content);
        self.sent = (self.sent.0 + 1, self.sent.1 + datagram.len() as u64);
        self.out.push((to, datagram));
    }

    /// Runs an operation of the membership library and carries out its effects. Returns whether the
    /// operation succeeded.
    fn run<E>(
        &mut self,
        now: u64,
        operation: impl FnOnce(
            &mut Foca<PeerIdentity, MessagePackCodec, SmallRng, NoCustomBroadcast>,
            &mut AccumulatingRuntime<PeerIdentity>,
        ) -> Result<(), E>,
    ) -> bool {
        let mut runtime = AccumulatingRuntime::new();
        let succeeded = operation(&mut self.foca, &mut runtime).is_ok();
        while let Some((to, content)) = runtime.to_send() {
            self.send(to.address, Kind::Members, &content);
        }
        while let Some((after, timer)) = runtime.to_schedule() {
            self.sequence += 1;
            self.timers.insert((now.saturating_add(after.as_nanos() as u64), self.sequence), timer);
            if self.timers.len() > self.max_timers {
                self.timers.pop_last();
            }
        }
        while let Some(notification) = runtime.to_notify() {
            self.handle_notification(now, notification);
        }
        succeeded
    }

    fn handle_notification(&mut self, now: u64, notification: OwnedNotification<PeerIdentity>) {
        match notification {
            OwnedNotification::MemberUp(peer) => {
                if peer.number == self.foca.identity().number {
                    self.events.push(Event::DuplicateNumber(peer.clone()));
                }
                self.up.insert(peer.name.clone(), peer.clone());
                self.events.push(Event::Up(peer));
            }
            OwnedNotification::MemberDown(peer) => {
                // A late notification about an earlier incarnation must not remove the current one.
                let present = self.up.get(&peer.name).is_some_and(|now| !now.win_addr_conflict(&peer));
                if present {
                    self.up.remove(&peer.name);
                    self.events.push(Event::Down(peer));
                }
            }
            OwnedNotification::Rename(previous, peer) => {
                if self.up.contains_key(&peer.name) {
                    self.up.insert(peer.name.clone(), peer.clone());
                }
                if previous.incarnation != peer.incarnation {
                    self.events.push(Event::Restarted(previous, peer));
                }
            }
            OwnedNotification::Rejoin(_) => {
                self.rejoins_ns.push_back(now);
                if self.rejoins_ns.len() > DUPLICATE_NAME_REJOINS {
                    self.rejoins_ns.pop_front();
                }
                let first = self.rejoins_ns.front().copied().unwrap_or(now);
                let is_frequent = self.rejoins_ns.len() == DUPLICATE_NAME_REJOINS
                    && now < first.saturating_add(DUPLICATE_NAME_WINDOW_NS);
                // Reported at most once per window while the duplicate exists.
                let may_report = self
                    .duplicate_name_reported_ns
                    .is_none_or(|at| now >= at.saturating_add(DUPLICATE_NAME_WINDOW_NS));
                if is_frequent && may_report {
                    self.duplicate_name_reported_ns = Some(now);
                    self.events.push(Event::DuplicateName);
                }
            }
            _ => {}
        }
    }
}
