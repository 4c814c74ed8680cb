//! Reloads the configuration of a running router: keys and limits only.
//!
//! Changes that cannot be read or need a restart are logged and change nothing.

use log::{info, warn};
use marljunction_control::interface::Settings;
use marljunction_core::limits::{FleetLimits, LimitRule};
use marljunction_limits::bound::resize_bound;
use marljunction_limits::{Limit, LimitParams};
use marljunction_settings::Names;

use crate::config::{max_request_ns, read_keys, FleetConfig, LimitConfig};
use crate::error::FleetError;
use crate::runtime::FleetRuntime;

impl FleetRuntime {
    /// Reloads the keys, and applies changed limits.
    pub fn reload(
        &mut self,
        now: u64,
        config: Option<&FleetConfig>,
        settings: &Settings,
        names: &Names,
        limits: &mut FleetLimits,
    ) {
        match read_keys(&self.config.key) {
            Ok(keys) => self.members.set_keys(keys),
            Err(fault) => warn!("fleet: keys unchanged: {fault}"),
        }
        let Some(config) = config else { return warn!("fleet: removing the fleet needs a restart") };
        let mut config = config.clone();
        // The timing of the list service is set at start and does not change.
        if let (Some(list), Some(before)) = (&mut config.list, &self.config.list) {
            list.timing = before.timing;
        }
        let same_limits = FleetConfig { limits: self.config.limits.clone(), ..config.clone() };
        if same_limits != self.config {
            return warn!("fleet: changes other than to limits need a restart");
        }
        if config.limits != self.config.limits {
            self.resize(now, config, settings, names, limits);
        }
    }

    /// Applies new limits, and logs what holds until all routers apply them.
    fn resize(
        &mut self,
        now: u64,
        config: FleetConfig,
        settings: &Settings,
        names: &Names,
        limits: &mut FleetLimits,
    ) {
        let with_rule = |entry: &LimitConfig| entry.rule(names).map(|rule| (entry.limit.clone(), rule));
        let resized: Result<Vec<(Limit, LimitRule)>, FleetError> =
            config.limits.iter().map(with_rule).collect();
        let resized = match resized {
            Ok(resized) => resized,
            Err(fault) => return warn!("fleet: limits unchanged: {fault}"),
        };
        let params = config.limit_params(max_request_ns(settings));
        for (limit, _) in &resized {
            let mut known = self.config.limits.iter().map(|entry| &entry.limit);
            let before = known.find(|before| before.id() == limit.id());
            log_resize(before, limit, &params);
        }
        limits.resize(now, resized);
        self.config = config;
    }
}

fn log_resize(before: Option<&Limit>, limit: &Limit, params: &LimitParams) {
    let Some(before) = before else {
        return info!(
            "limit {}: added; its units are used once grants that peers may hold have expired",
            limit.name
        );
    };
    if before.version() != limit.version() {
        let bound = resize_bound(before, limit, params);
        info!(
            "limit {}: changed; exceeded by at most {:.1}% until all routers apply it, and for {:.1} s more",
            limit.name,
            bound.max_overshoot * 100.0,
            bound.overshoot_ns as f64 / 1e9
        );
    }
}
