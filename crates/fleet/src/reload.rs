//! Takes a changed configuration while the router runs: keys and limits, nothing else.
//!
//! What can't be read or needs a restart leaves all as it was, and is logged.

use log::{info, warn};
use marljunction_control::interface::Settings;
use marljunction_core::limits::{FleetLimits, LimitRule};
use marljunction_limits::bound::resize_bound;
use marljunction_limits::{Limit, Terms};
use marljunction_settings::Names;

use crate::config::{longest_request_ns, read_keys, FleetConfig, LimitConfig};
use crate::error::FleetError;
use crate::runtime::FleetRuntime;

impl FleetRuntime {
    /// Reads the keys again, and goes by the limits that the operator's file now has: a reload may have changed both.
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
            Err(fault) => warn!("the fleet's keys stay as they were: {fault}"),
        }
        let Some(config) = config else { return warn!("a fleet that is there no more needs a restart") };
        let mut config = config.clone();
        // What follows from the calls of the list service is as it was at the start.
        if let (Some(list), Some(before)) = (&mut config.list, &self.config.list) {
            list.timing = before.timing;
        }
        let same_limits = FleetConfig { limits: self.config.limits.clone(), ..config.clone() };
        if same_limits != self.config {
            return warn!("changes of the fleet other than its limits need a restart");
        }
        if config.limits != self.config.limits {
            self.resize(now, config, settings, names, limits);
        }
    }

    /// Goes by other limits from here on, and logs what that means until all routers do.
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
            Err(fault) => return warn!("the limits stay as they were: {fault}"),
        };
        let terms = config.terms(longest_request_ns(settings));
        for (limit, _) in &resized {
            let mut known = self.config.limits.iter().map(|entry| &entry.limit);
            let before = known.find(|before| before.id() == limit.id());
            log_resize(before, limit, &terms);
        }
        limits.resize(now, resized);
        self.config = config;
    }
}

fn log_resize(before: Option<&Limit>, limit: &Limit, terms: &Terms) {
    let Some(before) = before else {
        return info!("limit {}: new, its shares are used once all that peers may hold is over", limit.name);
    };
    if before.version() != limit.version() {
        let bound = resize_bound(before, limit, terms);
        info!(
            "limit {}: changed; over by {:.1}% at most until all routers know it and for {:.1} s more",
            limit.name,
            bound.max_overshoot * 100.0,
            bound.overshoot_ns as f64 / 1e9
        );
    }
}
