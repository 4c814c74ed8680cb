//! Operators' fleet-wide overrides of engine health: publishes, applies and confirms them.

use log::info;
use marljunction_front::admin::{AdminRequest, AdminResponse};
use marljunction_health::version::Version;

use super::Daemon;

/// Longest wait for peers to acknowledge an override; shorter than the admin API's client timeout.
const CONFIRM_TIMEOUT_NS: u64 = 1_500_000_000;

/// A call to the admin API whose override peers have yet to acknowledge.
pub(super) struct PendingConfirmation {
    conn: u64,
    call: AdminRequest,
    version: Version,
    /// Time at which it is answered in any case.
    deadline_ns: u64,
}

impl Daemon {
    /// Returns whether the fleet's overrides have been received, or no peer was found in time.
    pub(super) fn overrides_synced(&mut self, now: u64) -> bool {
        self.router.health().is_none_or(|health| health.node().is_synced(now))
    }

    /// Publishes an override to the fleet and returns its version, or an error reply.
    pub(super) fn publish_override(
        &mut self,
        now: u64,
        id: &str,
        excluded: bool,
    ) -> Result<Version, AdminResponse> {
        let listed = self.engine_list.excluded_engines().is_listed(id);
        let Some(health) = self.router.health() else {
            return Err(AdminResponse::new(404, "this router shares no verdicts"));
        };
        if !listed && health.node().overrides().get(id).is_none() {
            return Err(AdminResponse::new(404, format!("no engine {id}")));
        }
        let version = health.node().set_override(now, id, excluded);
        self.apply_overrides(now);
        version.ok_or_else(|| AdminResponse::new(409, "as many engines are out as may be"))
    }

    /// Applies the engines that the fleet's overrides exclude.
    pub(super) fn apply_overrides(&mut self, now: u64) {
        let Some(health) = self.router.health() else { return };
        let exclusions = &mut self.engine_list.exclusions;
        let revision = health.node().revision();
        if revision == exclusions.applied_revision {
            return;
        }
        exclusions.applied_revision = revision;
        let excluded: Vec<String> = health.node().overrides().excluded().map(str::to_owned).collect();
        if excluded == exclusions.fleet_excluded {
            return;
        }
        info!("engines excluded fleet-wide: {}", excluded.join(" "));
        let changes =
            exclusions.excluded_engines.set_fleet_excluded(excluded.iter().map(String::as_str), now);
        exclusions.fleet_excluded = excluded;
        for change in changes {
            self.notify(change);
        }
    }

    /// Leaves a call pending until the peers have acknowledged its override.
    pub(super) fn await_confirmation(&mut self, now: u64, conn: u64, call: AdminRequest, version: Version) {
        let deadline_ns = now + CONFIRM_TIMEOUT_NS;
        self.admin.pending.push(PendingConfirmation { conn, call, version, deadline_ns });
    }

    /// Answers the pending calls that all peers have acknowledged, or that timed out.
    pub(super) fn confirm_overrides(&mut self, now: u64) {
        for pending in std::mem::take(&mut self.admin.pending) {
            let Some(health) = self.router.health() else { continue };
            let (acked, peers) = (health.node().acks(pending.version), health.node().peers());
            if acked < peers && now < pending.deadline_ns {
                self.admin.pending.push(pending);
                continue;
            }
            let PendingConfirmation { conn, call, .. } = pending;
            let (id, state) = match &call {
                AdminRequest::DisableForAll(id) => (id, "out"),
                AdminRequest::EnableForAll(id) => (id, "back"),
                _ => continue,
            };
            let text = format!("{id} is {state}; heard by {acked} of {peers} other routers");
            self.admin.server.answer(now, &mut self.net, conn, &call, AdminResponse::new(200, text));
        }
    }
}
