//! The event loop: polls for events, dispatches them, runs timers and the decision module, and
//! executes its commands.

use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::time::Duration;

use log::info;
use marljunction_control::interface::Effect;
use marljunction_core::{Answer, Client, Command};
use marljunction_engine::{Context, NewAttempt};
use marljunction_net::Owner;
use mio::{Events, Interest, Poll, Registry, Token};
use signal_hook::consts::{SIGHUP, SIGTERM, SIGUSR1};
use signal_hook_mio::v1_0::Signals;

use super::listeners::{ADMIN, FLEET, MSGPACK, POSTGRES, SIGNALS};
use super::Daemon;
use crate::error::DaemonError;

/// Interval between ticks of engines, discovery and the fleet.
const TICK_NS: u64 = 20_000_000;
/// Maximum number of events returned by one poll.
const MAX_EVENTS: usize = 1_024;

/// The poll, and the state that is kept between iterations.
pub(super) struct EventLoop {
    poll: Poll,
    pub(super) signals: Signals,
    /// Tokens with unread input, for which no further event is raised. A set: guards against a
    /// connection that gets a turn more in each iteration, since its events come as well.
    pub(super) unread: BTreeSet<u64>,
    last_tick_ns: u64,
    commands: Vec<Command>,
}

impl EventLoop {
    /// Opens the poll and installs the signal handlers.
    pub(super) fn open() -> Result<(EventLoop, Registry), DaemonError> {
        let poll = Poll::new().map_err(DaemonError::io("poll"))?;
        let registry = poll.registry().try_clone().map_err(DaemonError::io("poll"))?;
        // Before the listeners open: guards against a signal that kills the process during its
        // start.
        let mut signals = Signals::new([SIGTERM, SIGUSR1, SIGHUP]).map_err(DaemonError::io("signals"))?;
        registry.register(&mut signals, SIGNALS, Interest::READABLE).map_err(DaemonError::io("signals"))?;
        let event_loop =
            EventLoop { poll, signals, unread: BTreeSet::new(), last_tick_ns: 0, commands: Vec::new() };
        Ok((event_loop, registry))
    }
}

impl Daemon {
    /// Runs until the process has stopped after SIGTERM.
    ///
    /// # Errors
    /// If polling fails.
    pub fn run(&mut self) -> Result<(), DaemonError> {
        let mut events = Events::with_capacity(MAX_EVENTS);
        loop {
            let timeout = self.poll_timeout();
            match self.event_loop.poll.poll(&mut events, Some(timeout)) {
                Ok(()) => {}
                // Polls again before timers run. Guards against timers that expire ahead of input
                // that came while the process was suspended.
                Err(error) if error.kind() == ErrorKind::Interrupted => continue,
                Err(error) => return Err(DaemonError::io("poll")(error)),
            }
            let now = self.clock.now_ns();
            self.run_iteration(now, &events);
            if self.finished(now) {
                self.net.close_all_after_flush(now);
                self.log_counters();
                let line = self.counters_line();
                info!("stopped; {line}");
                return Ok(());
            }
        }
    }

    fn run_iteration(&mut self, now: u64, events: &Events) {
        self.dispatch(now, events);
        self.retry_accept(now);
        if now >= self.event_loop.last_tick_ns + TICK_NS {
            self.event_loop.last_tick_ns = now;
            self.tick(now);
        }
        self.relieve_input();
        self.run_module();
        self.end_all(now);
        self.flush_pending();
    }

    /// Returns how long the loop may wait for events.
    fn poll_timeout(&self) -> Duration {
        if !self.event_loop.unread.is_empty() || self.router.has_pending_events() {
            return Duration::ZERO;
        }
        let now = self.clock.now_ns();
        let next_tick_ns = self.event_loop.last_tick_ns + TICK_NS;
        let due_ns = self.router.next_due_ns().unwrap_or(u64::MAX).min(next_tick_ns);
        let due_ns = due_ns.min(self.listeners.retry_ns.unwrap_or(u64::MAX));
        Duration::from_nanos(due_ns.saturating_sub(now))
    }

    fn dispatch(&mut self, now: u64, events: &Events) {
        for event in events.iter().filter(|event| event.is_read_closed()) {
            self.net.mark_peer_closed(event.token().0 as u64);
        }
        let unread = std::mem::take(&mut self.event_loop.unread);
        // Clients left out of the last iteration come before those that had their turn in it.
        let resume_at = self.fronts.msgpack.begin_iteration().unwrap_or(0);
        let mut tokens: Vec<u64> =
            unread.range(resume_at..).chain(unread.range(..resume_at)).copied().collect();
        let ready = events.iter().map(|event| event.token().0 as u64);
        tokens.extend(ready.filter(|token| !unread.contains(token)));
        for token in tokens.into_iter().map(|token| token as usize) {
            match Token(token) {
                MSGPACK | POSTGRES => self.accept_clients(now),
                ADMIN => self.accept_admin(now),
                SIGNALS => self.handle_signals(now),
                FLEET => self.fleet_ready(now),
                Token(conn) => self.connection_ready(now, conn as u64),
            }
        }
    }

    /// Passes a ready connection to its owner.
    pub(super) fn connection_ready(&mut self, now: u64, conn: u64) {
        match self.net.owner(conn) {
            None => {}
            Some(Owner::Lingering) => self.net.discard_input(conn),
            Some(Owner::Msgpack) => {
                self.fronts.msgpack.ready(now, &mut self.net, &mut self.router, conn);
            }
            Some(Owner::Postgres) => {
                if let Some(front) = &mut self.fronts.postgres {
                    front.ready(now, &mut self.net, &mut self.router, conn);
                }
            }
            Some(Owner::Engine) => {
                let mut context = Context { now, net: &mut self.net, router: &mut self.router };
                self.engines.ready(&mut context, conn);
            }
            Some(Owner::Admin) => {
                if let Some(call) = self.admin.server.ready(now, &mut self.net, conn) {
                    self.handle_call(now, conn, call);
                }
            }
            Some(Owner::Discovery) => self.discovery_ready(now, conn),
        }
        self.continue_unread(conn);
    }

    /// Has a connection handled in the next iteration if it has input left for which no event will
    /// come.
    fn continue_unread(&mut self, conn: u64) {
        if self.net.has_more(conn) || self.fronts.has_more(conn) {
            self.event_loop.unread.insert(conn);
        }
    }

    /// Reads datagrams of the other routers.
    fn fleet_ready(&mut self, now: u64) {
        if let Some(fleet) = &mut self.fleet {
            fleet.ready(now, &mut self.router);
            if fleet.has_more() {
                self.event_loop.unread.insert(FLEET.0 as u64);
            }
        }
        self.apply_relay_updates();
        // An override takes effect in the iteration that receives it.
        self.apply_overrides(now);
    }

    /// Runs the timers of all components.
    fn tick(&mut self, now: u64) {
        let mut context = Context { now, net: &mut self.net, router: &mut self.router };
        self.engines.tick(&mut context);
        self.net.tick(now);
        self.admin.server.tick(now, &mut self.net);
        self.tick_fronts(now);
        if let Some(source) = &mut self.engine_list.source {
            source.tick(now, &mut self.net);
        }
        self.write_snapshot(now);
        self.record_list_freshness(now);
        if let Some(fleet) = &mut self.fleet {
            fleet.tick(now, &mut self.router);
            self.apply_overrides(now);
            self.confirm_overrides(now);
        }
    }

    /// Tells the fronts which connections the phase lets them close.
    pub(super) fn apply_close_policy(&mut self, now: u64) {
        let close_policy = self.stop.phase.close_policy(now);
        self.fronts.msgpack.set_close_policy(close_policy);
        self.fronts.postgres.iter_mut().for_each(|front| front.set_close_policy(close_policy));
    }

    fn tick_fronts(&mut self, now: u64) {
        self.apply_close_policy(now);
        let msgpack = &mut self.fronts.msgpack;
        msgpack.tick(now, &mut self.net, &mut self.router);
        msgpack.close_idle(now, &mut self.net, &mut self.router);
        self.poll_exclusions(now);
        if let Some(front) = &mut self.fronts.postgres {
            front.tick(now, &mut self.net, &mut self.router);
            front.close_idle(now, &mut self.net, &mut self.router);
        }
        // Both may have read messages of connections that they did not close.
        self.event_loop.unread.extend(self.fronts.unread());
    }

    /// Runs the decision module and executes its commands, until they cause no further events.
    fn run_module(&mut self) {
        loop {
            let now = self.clock.now_ns();
            self.exchange_with_other_process(now);
            let mut commands = std::mem::take(&mut self.event_loop.commands);
            self.router.process_events(now, &mut commands);
            for command in commands.drain(..) {
                self.execute(now, command);
            }
            self.event_loop.commands = commands;
            self.exchange_with_other_process(now);
            if !self.router.has_pending_events() {
                return;
            }
        }
    }

    /// Tells the other process of an upgrade of serial requests, of work on cold engines and of requests
    /// that must not run again, and applies what it tells.
    pub(super) fn exchange_with_other_process(&mut self, now: u64) {
        let Some(handover) = &mut self.handover else { return };
        if handover.is_shared() {
            let sends = self.router.new_cold_sends(now, &mut self.told_cold_sends);
            sends.iter().for_each(|sends| handover.tell_cold_sends(sends));
            let names = self.router.new_used_names(&mut self.told_used_names);
            names.into_iter().for_each(|names| handover.tell_names(names));
        }
        let changes = self.router.take_serial_changes();
        for (request, turn) in handover.exchange(now, changes) {
            self.router.set_turn(request, turn);
        }
        self.router.set_reserve(handover.has_reserve());
        if let Some(sends) = handover.new_cold_sends_elsewhere() {
            self.router.set_cold_sends_elsewhere(sends);
        }
        if let Some(names) = handover.new_names_elsewhere() {
            self.router.set_names_elsewhere(names);
        }
    }

    /// Executes one command of the decision module.
    pub(super) fn execute(&mut self, now: u64, command: Command) {
        let mut context = Context { now, net: &mut self.net, router: &mut self.router };
        match command {
            Command::Start { attempt, engine, timeout_ns, priority, client_request, begin_by_ns } => {
                let class = self.config.directory.class_name(client_request.class).to_owned();
                let at_most_once =
                    self.config.settings.classes[client_request.class.0].effect == Effect::AtMostOnce;
                let start = NewAttempt {
                    attempt,
                    engine,
                    timeout_ns,
                    priority,
                    client_request,
                    class,
                    at_most_once,
                    begin_by_ns,
                };
                self.engines.start(&mut context, start);
            }
            Command::CancelAttempt(attempt) => self.engines.cancel(&mut context, attempt),
            Command::CancelIfUnsent(attempt) => self.engines.cancel_if_unsent(&mut context, attempt),
            Command::SetPriority(attempt, priority) => {
                self.engines.set_priority(&mut context, attempt, priority)
            }
            Command::Answer(client, answer) => self.answer(now, client, answer),
        }
    }

    fn answer(&mut self, now: u64, client: Client, answer: Answer) {
        match (self.net.owner(client.conn), &mut self.fronts.postgres) {
            (Some(Owner::Msgpack), _) => {
                let msgpack = &mut self.fronts.msgpack;
                msgpack.answer(now, &mut self.net, &mut self.router, client, answer);
            }
            (Some(Owner::Postgres), Some(front)) => {
                front.answer(now, &mut self.net, &mut self.router, client, answer);
            }
            _ => {}
        }
        // The front may have read further messages of the client.
        self.continue_unread(client.conn);
    }

    /// Writes the calls to engines that were held until the end of the iteration.
    fn flush_pending(&mut self) {
        let now = self.clock.now_ns();
        for conn in self.net.flush_engine_writes() {
            let mut context = Context { now, net: &mut self.net, router: &mut self.router };
            self.engines.flushed(&mut context, conn);
        }
    }
}
