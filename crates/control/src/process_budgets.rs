//! The part of its router's budgets that one process may use: all processes of an upgrade stay
//! within one budget. Types, events and actions are defined in `src/interface.rs`. It reads no
//! clock: the time is an argument.

use crate::interface::RouterProcesses;

/// The processes of this router over time.
#[derive(Default)]
pub(crate) struct ProcessHistory {
    /// Each state, with the time from which it applied (ns).
    changes: Vec<(u64, RouterProcesses)>,
}

impl ProcessHistory {
    /// Records a change. States that ended more than `longest_window_ns` ago are forgotten.
    pub(crate) fn record(&mut self, now: u64, processes: RouterProcesses, longest_window_ns: u64) {
        let since_ns = now.saturating_sub(longest_window_ns);
        let ended = self.changes.windows(2).take_while(|pair| pair[1].0 < since_ns).count();
        self.changes.drain(..ended);
        self.changes.push((now, processes));
    }

    /// Returns the most processes that ran at a time within the window, whose use of a budget still
    /// counts, and whether this one was the oldest throughout.
    pub(crate) fn within(&self, now: u64, window_ns: u64) -> RouterProcesses {
        let since_ns = now.saturating_sub(window_ns);
        let ends = self.changes.iter().skip(1).map(|(at, _)| *at).chain([u64::MAX]);
        let states = self.changes.iter().zip(ends).filter(|(_, end_ns)| *end_ns >= since_ns);
        states.fold(RouterProcesses::default(), |all, ((_, state), _)| RouterProcesses {
            running: all.running.max(state.running),
            is_oldest: all.is_oldest && state.is_oldest,
        })
    }
}
