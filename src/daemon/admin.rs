//! Executes calls to the admin API.

use marljunction_discovery::engine_id;
use marljunction_discovery::excluded_engines::ExclusionError;
use marljunction_front::admin::{AdminRequest, AdminResponse, AdminServer};
use marljunction_health::version::Version;

use super::overrides::PendingConfirmation;
use super::Daemon;

/// The server, and calls that wait for peers to acknowledge an override.
pub(super) struct Admin {
    pub(super) server: AdminServer,
    pub(super) pending: Vec<PendingConfirmation>,
}

impl Admin {
    /// A server for a process that may open `descriptors` file descriptors.
    pub(super) fn new(descriptors: usize) -> Admin {
        Admin { server: AdminServer::new(descriptors), pending: Vec::new() }
    }
}

/// Result of a call.
enum Outcome {
    /// Answered immediately.
    AdminResponse(AdminResponse),
    /// Answered once the peers have acknowledged the override of this version.
    AwaitPeers(Version),
}

impl Daemon {
    /// Executes a call; answers it, or leaves it pending until peers acknowledge its override.
    pub(super) fn handle_call(&mut self, now: u64, conn: u64, call: AdminRequest) {
        match self.execute_call(now, &call) {
            Outcome::AdminResponse(reply) => {
                self.fronts.msgpack.set_well(self.stop.phase.is_well());
                self.apply_close_policy(now);
                self.admin.server.answer(now, &mut self.net, conn, &call, reply);
            }
            Outcome::AwaitPeers(version) => self.await_confirmation(now, conn, call, version),
        }
    }

    fn execute_call(&mut self, now: u64, call: &AdminRequest) -> Outcome {
        let reply = match call {
            AdminRequest::Ready => self.readiness(now),
            AdminRequest::Disable(id) => self.exclude_engine(id),
            AdminRequest::Enable(id) => self.restore_engine(now, id),
            AdminRequest::DisableForAll(id) => return self.override_engine(now, id, true),
            AdminRequest::EnableForAll(id) => return self.override_engine(now, id, false),
            AdminRequest::Fleet => self.describe_fleet(now),
            AdminRequest::EngineHealth => self.describe_health(now),
            AdminRequest::Drain => self.drain(now),
            AdminRequest::Undrain => self.undrain(),
        };
        Outcome::AdminResponse(reply)
    }

    fn readiness(&mut self, now: u64) -> AdminResponse {
        if !self.overrides_synced(now) {
            return AdminResponse::new(503, "not ready: asks the fleet which engines are out");
        }
        match self.stop.phase.is_ready() {
            true => AdminResponse::new(200, "ready"),
            false => AdminResponse::new(503, format!("not ready: {}", self.stop.phase.name())),
        }
    }

    fn exclude_engine(&mut self, id: &str) -> AdminResponse {
        let change = match self.engine_list.excluded_engines().disable(id, false) {
            Ok(change) => change,
            Err(refusal) => return refusal_reply(refusal, id),
        };
        if let Some(change) = change {
            self.notify(change);
        }
        self.engine_list.exclusions.write();
        AdminResponse::new(200, format!("{id} is out"))
    }

    fn restore_engine(&mut self, now: u64, id: &str) -> AdminResponse {
        let was_out = self.engine_list.excluded_engines().is_excluded(engine_id(id));
        let change = match self.engine_list.excluded_engines().enable(id, now) {
            Ok(change) => change,
            Err(refusal) => return refusal_reply(refusal, id),
        };
        if !was_out {
            return AdminResponse::new(200, format!("{id} was not out"));
        }
        if let Some(change) = change {
            self.notify(change);
        }
        self.engine_list.exclusions.write();
        match self.engine_list.excluded_engines().is_excluded(engine_id(id)) {
            true => AdminResponse::new(409, format!("the whole fleet leaves {id} out")),
            false => AdminResponse::new(200, format!("{id} is back")),
        }
    }

    fn override_engine(&mut self, now: u64, id: &str, excluded: bool) -> Outcome {
        match self.publish_override(now, id, excluded) {
            Ok(version) => Outcome::AwaitPeers(version),
            Err(reply) => Outcome::AdminResponse(reply),
        }
    }

    fn describe_fleet(&mut self, now: u64) -> AdminResponse {
        match (&self.fleet, self.router.limits()) {
            (Some(fleet), Some(limits)) => AdminResponse::new(200, fleet.view(now, limits)),
            _ => AdminResponse::new(404, "this router talks to no fleet"),
        }
    }

    fn describe_health(&mut self, now: u64) -> AdminResponse {
        match (&self.fleet, self.router.health()) {
            (Some(fleet), Some(health)) => AdminResponse::new(200, fleet.view_health(now, health)),
            _ => AdminResponse::new(404, "this router shares no verdicts"),
        }
    }

    fn drain(&mut self, now: u64) -> AdminResponse {
        if self.stop.phase.stopping_since().is_some() {
            return AdminResponse::new(409, "stopping");
        }
        self.stop.phase.drain(now);
        AdminResponse::new(200, "drained")
    }

    fn undrain(&mut self) -> AdminResponse {
        if self.stop.phase.stopping_since().is_some() {
            return AdminResponse::new(409, "stopping");
        }
        self.stop.phase.undrain();
        AdminResponse::new(200, "serving")
    }
}

fn refusal_reply(refusal: ExclusionError, id: &str) -> AdminResponse {
    match refusal {
        ExclusionError::Unknown => AdminResponse::new(404, format!("no engine {id}")),
        ExclusionError::Malformed => AdminResponse::new(400, "the body is not an engine's id"),
        ExclusionError::Full => AdminResponse::new(409, "as many engines are out as may be"),
    }
}
