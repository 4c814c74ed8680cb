//! Faults of the stand-in engines of a fleet.

use serde_json::json;

use super::Fleet;
use crate::engine::ColdStart;
use crate::link::Shape;
use crate::server::Engine;
use crate::test_bed::{engine_entry, COLD_START};

impl Fleet {
    /// Crashes an engine without notifying the routers.
    pub fn crash_engine(&mut self, engine: usize) {
        self.engines[engine].crash(&mut self.net);
    }

    /// Shapes the link to an engine in both directions, if there is one.
    pub fn shape(&mut self, engine: usize, to_engine: Shape, from_engine: Shape) {
        let now = self.clock.now_ns();
        self.engine_links.get_mut(engine).into_iter().for_each(|link| link.set(now, to_engine, from_engine));
    }

    /// Publishes the drain of an engine, which keeps answering.
    pub fn drain(&mut self, engine: usize) {
        self.publish_departure(engine, "terminating");
    }

    /// Restarts the warmup of all engines and publishes their new start times. Running queries
    /// continue.
    pub fn restart_engines_cold(&mut self) {
        let now = self.clock.now_ns();
        self.cool_engines(now);
        self.republish_list();
    }

    /// Restarts the warmup of all engines.
    pub(super) fn cool_engines(&mut self, now: u64) {
        for engine in &mut self.engines {
            engine.cold = Some(cold_start(now, self.setup.cores));
        }
    }

    /// Crashes an engine, and starts another one at its address. The list names neither change yet.
    /// Returns the new engine's index.
    ///
    /// # Errors
    /// If the address cannot be bound.
    pub fn replace_engine(&mut self, engine: usize) -> Result<usize, String> {
        let address = self.engines[engine].address;
        self.crash_engine(engine);
        let new = self.engines.len();
        let now = self.clock.now_ns();
        let registry = self.poll.registry().try_clone().map_err(|e| format!("poll: {e}"))?;
        let uid = format!("e{new}");
        let mut started = Engine::at(&registry, new, &uid, address, now, self.setup.cores)
            .map_err(|e| format!("engine: {e}"))?;
        started.sends = Some(Vec::new());
        started.cold = self.setup.cold.then(|| cold_start(now, self.setup.cores));
        self.engines.push(started);
        self.states.push("terminated");
        self.drain_started_ns.push(None);
        Ok(new)
    }

    /// Publishes that an engine is in service.
    pub fn announce_engine(&mut self, engine: usize) {
        self.publish_state(engine, "in_service", &[]);
    }

    /// Publishes that an engine is gone.
    pub fn remove_engine(&mut self, engine: usize) {
        self.publish_departure(engine, "terminated");
    }

    fn publish_departure(&mut self, engine: usize, state: &'static str) {
        let now = self.clock.now_ns();
        self.drain_started_ns[engine].get_or_insert(now);
        let uid = self.engines[engine].uid.clone();
        self.publish_state(engine, state, &[uid]);
    }

    fn publish_state(&mut self, engine: usize, state: &'static str, leaving: &[String]) {
        self.states[engine] = state;
        let now = self.clock.now_ns();
        let change = json!({"rev": 2, "all": false, "targets": [engine_entry(&self.engines[engine], state)]});
        self.list.publish(now, &mut self.net, &change, leaving);
    }
}

/// Warmup of an engine with this many cores that starts at `now`.
fn cold_start(now: u64, cores: f64) -> ColdStart {
    let (initial_capacity, warmup_ns, overload_multiple, overload_window_ns) = COLD_START;
    ColdStart::new(now, cores, initial_capacity, warmup_ns, overload_multiple, overload_window_ns)
}
