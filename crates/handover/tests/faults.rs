//! Random schedules of three processes that take, finish, are killed, and find the list locked: at
//! most one request of a key runs at a time, in the order in which the processes took them.

use std::collections::BTreeMap;

use marljunction_control::interface::{KeyTurn, RequestId};
use marljunction_core::serial::SerialChange;
use marljunction_handover::{SharedState, ORPHANED_ATTEMPT_NS};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

mod common;
use common::{finished, taken, Directory, MS, T0};

const PROCESSES: usize = 3;
const KEYS: u64 = 2;

#[derive(Clone, Copy, Debug)]
enum Step {
    Take {
        process: usize,
        key: u64,
    },
    /// Ends the running request of a key with a pause (ms); 0 without one.
    Finish {
        key: u64,
        pause_ms: u64,
    },
    Kill {
        process: usize,
    },
    Wait {
        ms: u64,
    },
    /// Another process holds the lock of the list, or releases it.
    Lock,
    Unlock,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let process = 0..PROCESSES;
    let step = prop_oneof![
        6 => (process.clone(), 0..KEYS).prop_map(|(process, key)| Step::Take { process, key }),
        6 => (0..KEYS, prop_oneof![Just(0), Just(300)])
            .prop_map(|(key, pause_ms)| Step::Finish { key, pause_ms }),
        1 => process.prop_map(|process| Step::Kill { process }),
        4 => (1..400_u64).prop_map(|ms| Step::Wait { ms }),
        1 => Just(Step::Lock),
        2 => Just(Step::Unlock),
    ];
    proptest::collection::vec(step, 1..80)
}

/// A request as the test follows it.
struct Followed {
    process: usize,
    request: u64,
    key: u64,
    /// Place in the order of the list; `None` until it has a turn.
    place: Option<u64>,
    sendable_ns: Option<u64>,
}

struct Schedule {
    directory: Directory,
    processes: Vec<SharedState>,
    starts: u32,
    now: u64,
    next: u64,
    open: Vec<Followed>,
    /// The running request of each key, with its process.
    running: BTreeMap<u64, (usize, u64)>,
    /// Place of the last request that was sent, by key.
    last_sent: BTreeMap<u64, u64>,
    /// Time until which an attempt may run whose process ended or does not know its end, by key.
    may_run_until: BTreeMap<u64, u64>,
}

impl Schedule {
    fn new() -> Schedule {
        let directory = Directory::new(&format!("faults-{:?}", std::thread::current().id()));
        let processes = (0..PROCESSES).map(|n| directory.open(n as u32)).collect();
        Schedule {
            directory,
            processes,
            starts: PROCESSES as u32,
            now: T0,
            next: 0,
            open: Vec::new(),
            running: BTreeMap::new(),
            last_sent: BTreeMap::new(),
            may_run_until: BTreeMap::new(),
        }
    }

    fn exchange(&mut self, process: usize, changes: Vec<SerialChange>) {
        for (RequestId(request), turn) in self.processes[process].exchange(self.now, changes) {
            let is_this = |o: &&mut Followed| o.process == process && o.request == request;
            let followed = self.open.iter_mut().find(is_this).expect("a turn of an open request");
            self.next += 1;
            followed.place.get_or_insert(self.next);
            if let KeyTurn::From(resume_ns) = turn {
                followed.sendable_ns = Some(resume_ns);
            }
        }
    }

    /// Sends what may be sent, as the decision module does: by process and key in order.
    fn send(&mut self) {
        for process in 0..PROCESSES {
            for key in 0..KEYS {
                let of_key = |o: &&Followed| o.process == process && o.key == key;
                let Some(first) = self.open.iter().find(of_key) else { continue };
                let is_running = self.running.get(&key) == Some(&(process, first.request));
                if is_running || first.sendable_ns.is_none_or(|at| at > self.now) {
                    continue;
                }
                let place = first.place.expect("a request with a turn has a place");
                assert_eq!(self.running.get(&key), None, "two requests of a key run at once");
                assert!(self.may_run_until.get(&key).is_none_or(|until| *until <= self.now), "key paused");
                assert!(self.last_sent.get(&key).is_none_or(|last| *last < place), "sent out of order");
                self.running.insert(key, (process, first.request));
                self.last_sent.insert(key, place);
            }
        }
    }

    fn finish(&mut self, key: u64, pause_ms: u64) {
        let Some((process, request)) = self.running.remove(&key) else { return };
        self.open.retain(|o| (o.process, o.request) != (process, request));
        let until_ns = if pause_ms > 0 { self.now + pause_ms * MS } else { 0 };
        self.may_run_until.insert(key, until_ns);
        // The module of this process pauses the key for its own requests at once.
        for own in self.open.iter_mut().filter(|o| o.process == process && o.key == key) {
            own.sendable_ns = own.sendable_ns.map(|at| at.max(until_ns));
        }
        self.exchange(process, vec![finished(request, key, until_ns)]);
    }

    fn kill(&mut self, process: usize) {
        for key in 0..KEYS {
            if self.running.get(&key).is_some_and(|(running, _)| *running == process) {
                self.running.remove(&key);
                self.may_run_until.insert(key, self.now + ORPHANED_ATTEMPT_NS);
            }
        }
        self.open.retain(|o| o.process != process);
        self.starts += 1;
        self.processes[process] = self.directory.open(self.starts);
    }

    fn take(&mut self, process: usize, key: u64) {
        self.next += 1;
        let request = self.next;
        self.open.push(Followed { process, request, key, place: None, sendable_ns: None });
        self.exchange(process, vec![taken(request, key)]);
    }

    fn run(mut self, steps: Vec<Step>) {
        let mut lock = None;
        for step in steps {
            match step {
                Step::Take { process, key } => self.take(process, key),
                Step::Finish { key, pause_ms } => self.finish(key, pause_ms),
                Step::Kill { process } => self.kill(process),
                Step::Wait { ms } => self.now += ms * MS,
                Step::Lock if lock.is_none() => lock = Some(self.directory.lock()),
                Step::Lock => {}
                Step::Unlock => lock = None,
            }
            (0..PROCESSES).for_each(|process| self.exchange(process, vec![]));
            self.send();
        }
        drop(lock);
        self.finish_all();
    }

    /// Without further faults, every request gets its turn.
    fn finish_all(&mut self) {
        for _ in 0..200 {
            self.now += 250 * MS;
            (0..PROCESSES).for_each(|process| self.exchange(process, vec![]));
            self.send();
            (0..KEYS).for_each(|key| self.finish(key, 0));
        }
        assert!(self.open.is_empty(), "{} requests got no turn", self.open.len());
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 48,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    })]

    #[test]
    fn requests_of_a_key_run_one_at_a_time_in_order(steps in steps()) {
        Schedule::new().run(steps);
    }
}
