//! Reloads the configuration while requests are open.
//!
//! Applies the address of the list service, new membership events, pacing, limits and weights. If a
//! file is not valid, nothing changes.

use std::net::SocketAddr;

use log::{info, warn};
use marljunction_discovery::Source;
use marljunction_fair_queue::settings::FairQueueConfig;
use marljunction_language::value::{Value, ValueKind};

use super::relayed_list::apply_cell;
use super::wiring::parse_address;
use super::{AppliedConfig, Daemon};
use crate::config::{Config, LoadedConfig, StartConfig};
use crate::effects::effects;
use crate::error::DaemonError;
use crate::logger;

impl Daemon {
    /// Reads the files again and applies them; an invalid file leaves the configuration in force.
    pub(super) fn reload(&mut self, now: u64) {
        match self.read_files() {
            Ok((read, address)) => {
                self.router.counters.reloads += 1;
                self.apply_files(now, read, address);
            }
            Err(error) => {
                self.router.counters.reloads_failed += 1;
                warn!("reload failed, the configuration is unchanged: {error}");
            }
        }
    }

    /// Reads the files, and the address of the list service if its kind is unchanged.
    fn read_files(&self) -> Result<(LoadedConfig, Option<SocketAddr>), DaemonError> {
        let read = self.config.files.read()?;
        let consul = read.postgres.as_ref().and_then(|postgres| postgres.consul.as_ref());
        let address = match (&self.engine_list.source, consul, &read.config.coordinator) {
            (Some(Source::Consul(_)), Some(consul), _) => Some(consul.address.as_str()),
            (Some(Source::Stream(_)), _, Some(coordinator)) => Some(coordinator.as_str()),
            _ => None,
        };
        let address = address.map(parse_address).transpose()?;
        Ok((read, address))
    }

    fn apply_files(&mut self, now: u64, read: LoadedConfig, address: Option<SocketAddr>) {
        let LoadedConfig { mut config, fair_queue, mut start, fleet, operator, level, .. } = read;
        let identity = config.identity();
        apply_cell(&mut config, &mut start, fleet.as_ref(), &identity);
        self.log_effects(operator.as_ref());
        logger::set_level(level);
        self.config.operator_file = operator;
        self.apply_pacing(&config, &start);
        if let (Some(runtime), Some(limits)) = (&mut self.fleet, self.router.limits()) {
            runtime.reload(now, fleet.as_ref(), &config.settings, &config.names, limits);
        }
        let known = std::mem::take(&mut config.known);
        let changes = match (&mut self.engine_list.source, address) {
            (Some(source), Some(address)) => source.reload(now, &mut self.net, address, known),
            _ => Vec::new(),
        };
        info!("configuration reloaded with {} new membership events", changes.len());
        for change in changes {
            self.apply_list_change(change);
        }
        if let Some(fair_queue) = fair_queue {
            self.apply_fair_queue(fair_queue, &config);
        }
        if self.engine_list.source.is_some() && address.is_none() {
            warn!("a change of the source of membership events needs a restart");
        }
        if AppliedConfig::of(&config) != self.config.applied {
            warn!("changes of listen, limits or settings need a restart");
        }
    }

    fn log_effects(&self, operator_file: Option<&Value>) {
        let nothing = Value::new(ValueKind::Record(Default::default()), Default::default());
        let before = self.config.operator_file.as_ref().unwrap_or(&nothing);
        for effect in effects(before, operator_file.unwrap_or(&nothing)) {
            info!("the operator's file: {effect}");
        }
    }

    fn apply_pacing(&mut self, config: &Config, start: &StartConfig) {
        let pace = start.pace(config.settings.router_count, config.settings.router_index);
        if let Some(source) = &mut self.engine_list.source {
            source.set_pace(pace, start.stale_ns);
        }
        let connection_budget = start.connection_budget(pace);
        self.engines.set_connection_budget(
            connection_budget.map(|connection_budget| (connection_budget, config.router_seed())),
        );
    }

    fn apply_fair_queue(&mut self, settings: FairQueueConfig, config: &Config) {
        let Some(fair_queue) = self.router.fair_queue() else { return };
        let weights = config.weights(&settings);
        let restart = fair_queue.reload(settings, &weights);
        info!("fair queues: weights are {weights:?}");
        if !restart.is_empty() {
            warn!("fair queues: changes of {} need a restart", restart.join(", "));
        }
    }
}
