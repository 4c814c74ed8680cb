//! The running router: one event loop, and all that it drives.
//!
//! An iteration gathers what is ready, hands it to the decision module in one go, executes the commands that come back, and
//! flushes what waits for engines. Invariants:
//!
//! - Every listener, connection and datagram socket belongs to the loop's one thread.
//! - What comes in within an iteration is known to the module before anything of that iteration goes out to engines.
//! - The clock is read here and passed in; nothing below the loop reads it.

mod admin;
mod clients;
mod counters;
mod engine_list;
mod exclusions;
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
use marljunction_language::value::Value;
use marljunction_net::clock::Clock;
use marljunction_net::Net;

use crate::config::{Config, ConfigFiles, Limits};

use admin::Admin;
use engine_list::EngineList;
use iteration::EventLoop;
use listeners::Listeners;
use stop::StopState;

/// What the configuration said of keys that only a restart applies.
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

/// The files that the process is set up by, and what of them is in force.
struct ConfigState {
    files: ConfigFiles,
    applied: AppliedConfig,
    /// What the operator's file said when it was last applied.
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

/// What speaks to clients, by protocol.
struct Fronts {
    msgpack: MsgpackFront,
    postgres: Option<PostgresFront>,
}

/// A running router.
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
    /// What talks to the fleet's other routers; none where nothing does.
    fleet: Option<FleetRuntime>,
}
