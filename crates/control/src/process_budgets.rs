//! The reserve of a router's budgets, which one of its processes has: all processes of an upgrade
//! stay within one budget. Types, events and actions are defined in `src/interface.rs`. It reads no
//! clock: the time is an argument.

/// Whether this process had the reserve, over time. It has it if nothing is recorded.
#[derive(Default)]
pub(crate) struct ReserveHistory {
    /// Each state, with the time from which it applied (ns).
    changes: Vec<(u64, bool)>,
}

impl ReserveHistory {
    /// Records a change. States that ended more than `longest_window_ns` ago are forgotten.
    pub(crate) fn record(&mut self, now: u64, has_reserve: bool, longest_window_ns: u64) {
        let since_ns = now.saturating_sub(longest_window_ns);
        let ended = self.changes.windows(2).take_while(|pair| pair[1].0 < since_ns).count();
        self.changes.drain(..ended);
        self.changes.push((now, has_reserve));
    }

    /// Whether this process had the reserve throughout a budget's window: what another process used
    /// of it counts that long.
    pub(crate) fn throughout(&self, now: u64, window_ns: u64) -> bool {
        let since_ns = now.saturating_sub(window_ns);
        let ends = self.changes.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let mut states = self.changes.iter().zip(ends).filter(|(_, end_ns)| *end_ns >= since_ns);
        states.all(|((_, has_reserve), _)| *has_reserve)
    }
}
