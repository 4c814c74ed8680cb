//! Executes calls to the admin API.

use marljunction_discovery::bans::Refusal;
use marljunction_discovery::engine_id;
use marljunction_front::operator::{Call, OperatorFront, Reply};
use marljunction_health::version::Version;

use super::overrides::PendingConfirmation;
use super::Daemon;

/// The server, and calls that wait for peers to acknowledge an override.
pub(super) struct Admin {
    pub(super) server: OperatorFront,
    pub(super) pending: Vec<PendingConfirmation>,
}

impl Admin {
    /// A server for a process that may open `descriptors` file descriptors.
    pub(super) fn new(descriptors: usize) -> Admin {
        Admin { server: OperatorFront::new(descriptors), pending: Vec::new() }
    }
}

/// Result of a call.
enum Outcome {
    /// Answered immediately.
    Reply(Reply),
    /// Answered once the peers have acknowledged the override of this version.
    AwaitPeers(Version),
}

impl Daemon {
    /// Executes a call; answers it, or leaves it pending until peers acknowledge its override.
    pub(super) fn handle_call(&mut self, now: u64, conn: u64, call: Call) {
        match self.execute_call(now, &call) {
            Outcome::Reply(reply) => {
                self.fronts.msgpack.set_well(self.stop.phase.is_well());
                self.admin.server.answer(now, &mut self.net, conn, &call, reply);
            }
            Outcome::AwaitPeers(version) => self.await_confirmation(now, conn, call, version),
        }
    }

    fn execute_call(&mut self, now: u64, call: &Call) -> Outcome {
        let reply = match call {
            Call::Ready => self.readiness(now),
            Call::Disable(id) => self.exclude_engine(id),
            Call::Enable(id) => self.restore_engine(now, id),
            Call::DisableForAll(id) => return self.override_engine(now, id, true),
            Call::EnableForAll(id) => return self.override_engine(now, id, false),
            Call::Fleet => self.describe_fleet(now),
            Call::Verdicts => self.describe_health(now),
            Call::Drain => self.drain(now),
            Call::Undrain => self.undrain(),
        };
        Outcome::Reply(reply)
    }

    fn readiness(&mut self, now: u64) -> Reply {
        if !self.overrides_synced(now) {
            return Reply::new(503, "not ready: asks the fleet which engines are out");
        }
        match self.stop.phase.is_ready() {
            true => Reply::new(200, "ready"),
            false => Reply::new(503, format!("not ready: {}", self.stop.phase.name())),
        }
    }

    fn exclude_engine(&mut self, id: &str) -> Reply {
        let change = match self.engine_list.bans().disable(id, false) {
            Ok(change) => change,
            Err(refusal) => return refusal_reply(refusal, id),
        };
        if let Some(change) = change {
            self.notify(change);
        }
        self.engine_list.exclusions.write();
        Reply::new(200, format!("{id} is out"))
    }

    fn restore_engine(&mut self, now: u64, id: &str) -> Reply {
        let was_out = self.engine_list.bans().holds(engine_id(id));
        let change = match self.engine_list.bans().enable(id, now) {
            Ok(change) => change,
            Err(refusal) => return refusal_reply(refusal, id),
        };
        if !was_out {
            return Reply::new(200, format!("{id} was not out"));
        }
        if let Some(change) = change {
            self.notify(change);
        }
        self.engine_list.exclusions.write();
        match self.engine_list.bans().holds(engine_id(id)) {
            true => Reply::new(409, format!("the whole fleet leaves {id} out")),
            false => Reply::new(200, format!("{id} is back")),
        }
    }

    fn override_engine(&mut self, now: u64, id: &str, excluded: bool) -> Outcome {
        match self.publish_override(now, id, excluded) {
            Ok(version) => Outcome::AwaitPeers(version),
            Err(reply) => Outcome::Reply(reply),
        }
    }

    fn describe_fleet(&mut self, now: u64) -> Reply {
        match (&self.fleet, self.router.limits()) {
            (Some(fleet), Some(limits)) => Reply::new(200, fleet.view(now, limits)),
            _ => Reply::new(404, "this router talks to no fleet"),
        }
    }

    fn describe_health(&mut self, now: u64) -> Reply {
        match (&self.fleet, self.router.health()) {
            (Some(fleet), Some(health)) => Reply::new(200, fleet.view_health(now, health)),
            _ => Reply::new(404, "this router shares no verdicts"),
        }
    }

    fn drain(&mut self, now: u64) -> Reply {
        if self.stop.phase.stopping_since().is_some() {
            return Reply::new(409, "stopping");
        }
        self.stop.phase.drain(now);
        Reply::new(200, "drained")
    }

    fn undrain(&mut self) -> Reply {
        if self.stop.phase.stopping_since().is_some() {
            return Reply::new(409, "stopping");
        }
        self.stop.phase.undrain();
        Reply::new(200, "serving")
    }
}

fn refusal_reply(refusal: Refusal, id: &str) -> Reply {
    match refusal {
        Refusal::Unknown => Reply::new(404, format!("no engine {id}")),
        Refusal::Malformed => Reply::new(400, "the body is not an engine's id"),
        Refusal::Full => Reply::new(409, "as many engines are out as may be"),
    }
}
