//! Event loop of a process that runs many hollow routers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::Receiver;
use std::time::Duration;

use marljunction_net::clock::Clock;
use mio::{Events, Poll};

use super::protocol::{ExpectedLists, HostCommand, HostReport, RouterStart};
use super::router::{HollowRouter, Shared, TOKEN_BITS};
use super::{io, read_commands, write_report, HollowError, COMMAND_TOKEN};

/// Interval between ticks of each router (ns), as in the program.
const TICK_NS: u64 = 20_000_000;
/// Maximum time spent on pending sockets before polling again (ns).
const MAX_SERVE_NS: u64 = 10_000_000;

/// A process that hosts hollow routers.
struct Host {
    poll: Poll,
    clock: Clock,
    shared: Option<Shared>,
    routers: Vec<Option<HollowRouter>>,
    /// Slots of the routers by number; a restart reuses the slot.
    slots: BTreeMap<u32, usize>,
    incarnations: u64,
    /// Last datagram address by router number; a restart reuses it.
    addresses: BTreeMap<u32, SocketAddr>,
    /// Tokens of sockets with unread data in order of service; `is_pending` is the same as a set.
    pending: VecDeque<u64>,
    is_pending: BTreeSet<u64>,
    awaited_list: Option<ExpectedLists>,
    awaited_peers: Option<u32>,
    last_tick_ns: u64,
}

/// Runs a host until the end of its input.
///
/// # Errors
/// If a socket or standard output fails.
pub fn run() -> Result<(), HollowError> {
    let poll = Poll::new().map_err(io("poll"))?;
    let commands: Receiver<HostCommand> = read_commands(poll.registry())?;
    let mut host = Host {
        poll,
        clock: Clock::start(),
        shared: None,
        routers: Vec::new(),
        slots: BTreeMap::new(),
        incarnations: 0,
        addresses: BTreeMap::new(),
        pending: VecDeque::new(),
        is_pending: BTreeSet::new(),
        awaited_list: None,
        awaited_peers: None,
        last_tick_ns: 0,
    };
    let mut events = Events::with_capacity(4_096);
    loop {
        host.run_iteration(&mut events)?;
        while let Ok(command) = commands.try_recv() {
            if let Some(report) = host.handle_command(command)? {
                write_report(&report)?;
            }
        }
        host.report_awaited()?;
    }
}

impl Host {
    /// Serves pending sockets for a limited time, then ticks the routers without pending sockets.
    ///
    /// A router reads its pending data before its timeouts are checked, as in a separate process.
    fn run_iteration(&mut self, events: &mut Events) -> Result<(), HollowError> {
        let until_tick_ns = (self.last_tick_ns + TICK_NS).saturating_sub(self.clock.now_ns());
        let timeout =
            if self.pending.is_empty() { Duration::from_nanos(until_tick_ns) } else { Duration::ZERO };
        match self.poll.poll(events, Some(timeout)) {
            Err(error) if error.kind() != ErrorKind::Interrupted => return Err(io("poll")(error)),
            _ => {}
        }
        for event in events.iter().filter(|event| event.token() != COMMAND_TOKEN) {
            self.add_pending(event.token().0 as u64);
        }
        let end_ns = self.clock.now_ns() + MAX_SERVE_NS;
        while self.clock.now_ns() < end_ns {
            let Some(token) = self.pending.pop_front() else { break };
            self.is_pending.remove(&token);
            self.ready(token);
        }
        let now = self.clock.now_ns();
        if now >= self.last_tick_ns + TICK_NS {
            self.last_tick_ns = now;
            let busy: BTreeSet<usize> = self.is_pending.iter().map(|token| slot_of(*token)).collect();
            for (slot, router) in self.routers.iter_mut().enumerate() {
                if let Some(router) = router.as_mut().filter(|_| !busy.contains(&slot)) {
                    router.tick(now);
                }
            }
        }
        Ok(())
    }

    fn add_pending(&mut self, token: u64) {
        if self.is_pending.insert(token) {
            self.pending.push_back(token);
        }
    }

    fn ready(&mut self, token: u64) {
        let now = self.clock.now_ns();
        let Some(router) = self.router_at(slot_of(token)) else { return };
        let has_more = match is_datagram_socket(token) {
            true => router.ready_datagrams(now),
            false => router.ready(now, token),
        };
        if has_more {
            self.add_pending(token);
        }
    }

    fn router_at(&mut self, slot: usize) -> Option<&mut HollowRouter> {
        self.routers.get_mut(slot)?.as_mut()
    }

    fn handle_command(&mut self, command: HostCommand) -> Result<Option<HostReport>, HollowError> {
        match command {
            HostCommand::Setup(setup) => self.shared = Some(Shared::new(*setup)?),
            HostCommand::Start(starts) => return self.start(&starts).map(Some),
            HostCommand::Stop(numbers) => numbers.iter().for_each(|number| self.stop(*number)),
            HostCommand::AwaitList(expected) => {
                self.awaited_list = Some(expected);
                return Ok(None);
            }
            HostCommand::AwaitPeers(peers) => {
                self.awaited_peers = Some(peers);
                return Ok(None);
            }
            HostCommand::ReloadKeys(numbers) => {
                let now = self.clock.now_ns();
                let matching = |router: &&mut HollowRouter| numbers.contains(&router.number());
                self.routers.iter_mut().flatten().filter(matching).for_each(|router| router.reload_keys(now));
            }
            HostCommand::Report => {
                let reports = self.routers.iter().flatten().map(HollowRouter::report);
                return Ok(Some(HostReport::Routers(reports.collect())));
            }
        }
        Ok(Some(HostReport::Done))
    }

    fn start(&mut self, starts: &[RouterStart]) -> Result<HostReport, HollowError> {
        let Some(shared) = &self.shared else { return Ok(HostReport::Done) };
        let mut started = Vec::new();
        for start in starts {
            let slot = *self.slots.entry(start.number).or_insert(self.routers.len());
            if slot == self.routers.len() {
                self.routers.push(None);
            }
            self.incarnations += 1;
            // Drop the previous incarnation first, to release its sockets.
            self.routers[slot] = None;
            let now = self.clock.now_ns();
            let slot_and_incarnation = (slot, self.incarnations % (1 << 12));
            let address = self.addresses.get(&start.number).copied();
            let router = HollowRouter::start(
                now,
                self.poll.registry(),
                shared,
                *start,
                slot_and_incarnation,
                address,
            )?;
            self.addresses.extend(router.fleet_address().map(|address| (start.number, address)));
            started.push((start.number, router.fleet_address()));
            self.routers[slot] = Some(router);
        }
        Ok(HostReport::Started(started))
    }

    fn stop(&mut self, number: u32) {
        if let Some(router) = self.slots.get(&number).and_then(|slot| self.routers.get_mut(*slot)) {
            *router = None;
        }
    }

    /// Reports the awaited conditions that now hold.
    fn report_awaited(&mut self) -> Result<(), HollowError> {
        if let Some(expected) = &self.awaited_list {
            if self.routers.iter().flatten().all(|router| router.has_list(expected)) {
                let digest = expected.full_list;
                self.awaited_list = None;
                let routers = self.routers.iter().flatten();
                let reached = routers.map(|router| (router.number(), router.list_changed_ns())).collect();
                write_report(&HostReport::ListReached(digest, reached))?;
            }
        }
        if let Some(peers) = self.awaited_peers {
            if self.routers.iter().flatten().all(|router| router.peers() == peers) {
                self.awaited_peers = None;
                write_report(&HostReport::PeersReached(peers, self.clock.now_ns()))?;
            }
        }
        Ok(())
    }
}

/// Slot of the router that a token belongs to. The token of a datagram socket is the slot; that of
/// a connection has slot + 1 in the bits above [`TOKEN_BITS`].
fn slot_of(token: u64) -> usize {
    let slot_plus_one = (token >> TOKEN_BITS) as usize;
    slot_plus_one.checked_sub(1).unwrap_or(token as usize)
}

fn is_datagram_socket(token: u64) -> bool {
    token >> TOKEN_BITS == 0
}
