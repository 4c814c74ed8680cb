//! Formats the counters for the log.

use log::info;
use marljunction_control::interface::TenantId;

use super::Daemon;

impl Daemon {
    /// Formats all counters as one line.
    pub(super) fn counters_line(&mut self) -> String {
        let now = self.clock.now_ns();
        let mut parts = vec![
            self.router.counters.line(),
            self.admin.server.counters.line(),
            format!("forgotten_ids={}", self.router.forgotten_names()),
            format!("list_engines={}", self.engine_list.exclusions.excluded_engines.listed().len()),
        ];
        parts.extend(self.engine_list.source.as_ref().map(|source| source.line(now)));
        if let (Some(fleet), Some(limits)) = (&self.fleet, self.router.limits()) {
            parts.push(fleet.line(now, limits));
        }
        parts.extend(self.router.health().map(|health| health.line()));
        parts.join(" ")
    }

    /// Logs all counters, and those of the fair queues by tenant and client.
    pub(super) fn log_counters(&mut self) {
        let line = self.counters_line();
        info!("{line}");
        let Some(fair_queue) = self.router.fair_queue() else { return };
        let concurrency_limit = fair_queue.concurrency_limit();
        info!(
            "door queued={} used={:.1} served={:.1}",
            fair_queue.queued(),
            concurrency_limit.used(),
            concurrency_limit.estimated_capacity()
        );
        for (tenant, counters) in fair_queue.counters().enumerate() {
            let fields: Vec<String> = counters.fields().iter().map(|(key, n)| format!("{key}={n}")).collect();
            let name = self.config.directory.tenant_name(TenantId(tenant));
            info!("door tenant={} {}", if name.is_empty() { "-" } else { name }, fields.join(" "));
        }
        for (flow, share) in fair_queue.heaviest() {
            info!("door client={flow:016x} asked_for={share:.3}");
        }
    }
}
