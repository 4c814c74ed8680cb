//! The router daemon: a single-threaded event loop and the components that it drives.
//!
//! Each iteration reads ready connections, passes their events to the decision module in one batch,
//! executes the resulting commands, and flushes pending writes to engines. Invariants:
//!
//! - Listeners, connections and datagram sockets are used by the loop's thread only.
//! - All input of an iteration reaches the decision module before the iteration writes to engines.
//! - Only the daemon reads the clock; components get the time as an argument.

mod admin;
mod clients;
mod counters;
mod engine_list;
mod exclusions;
mod input_limit;
mod iteration;
mod listeners;
mod overrides;
mod relayed_list;
mod reload;
mod snapshot;
mod stop;
mod wiring;

use marljunction_control::interface::Settings;
use marljunction_core::Router;
use marljunction_engine::Backend;
use marljunction_fleet::FleetRuntime;
use marljunction_front::msgpack::MsgpackFront;
use marljunction_front::postgres::PostgresFront;
use marljunction_front::Directory;
use marljunction_handover::SharedState;
use marljunction_language::value::Value;
use marljunction_net::clock::Clock;
use marljunction_net::Net;

use crate::config::{Config, ConfigFiles, Limits};

use admin::Admin;
use engine_list::EngineList;
use iteration::EventLoop;
use listeners::Listeners;
use stop::StopState;

/// Configured values that only take effect at a start.
#[derive(PartialEq)]
struct AppliedConfig {
    listen: String,
    limits: Limits,
    settings: String,
}

impl AppliedConfig {
    fn of(config: &Config) -> AppliedConfig {
        AppliedConfig {
            listen: config.listen.clone(),
            limits: config.limits,
            settings: config.settings_text.clone(),
        }
    }
}

/// The configuration files, and the configuration in force.
struct ConfigState {
    files: ConfigFiles,
    applied: AppliedConfig,
    /// The operator's file as last applied.
    operator_file: Option<Value>,
    settings: Settings,
    directory: Directory,
}

impl ConfigState {
    fn new(
        files: ConfigFiles,
        config: Config,
        operator_file: Option<Value>,
        directory: Directory,
    ) -> ConfigState {
        let applied = AppliedConfig::of(&config);
        ConfigState { files, applied, operator_file, settings: config.settings, directory }
    }
}

/// The client protocols.
struct Fronts {
    msgpack: MsgpackFront,
    postgres: Option<PostgresFront>,
}

impl Fronts {
    /// Returns whether messages remain in a connection's input that no event will announce.
    fn has_more(&self, conn: u64) -> bool {
        self.msgpack.has_more(conn) || self.postgres.as_ref().is_some_and(|front| front.has_more(conn))
    }

    /// Returns the connections of which [`has_more`](Self::has_more) is true.
    fn unread(&self) -> impl Iterator<Item = u64> + '_ {
        self.msgpack.unread().chain(self.postgres.iter().flat_map(|front| front.unread()))
    }
}

/// The router daemon.
pub struct Daemon {
    clock: Clock,
    event_loop: EventLoop,
    net: Net,
    router: Router,
    config: ConfigState,
    listeners: Listeners,
    stop: StopState,
    fronts: Fronts,
    engines: Box<dyn Backend>,
    engine_list: EngineList,
    admin: Admin,
    /// What the processes of an upgrade share; `None` without a directory for it.
    handover: Option<SharedState>,
    /// Number of attempts sent to cold engines that the other process was told of.
    told_cold_sends: u64,
    /// Count of the changes of used names that the other process of an upgrade has been told of.
    told_used_names: u64,
    /// Communication with the other routers; `None` outside of a fleet.
    fleet: Option<FleetRuntime>,
}
