//! Control of a fleet of hollow routers: a list service and hosts, each a separate process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use super::child::ChildProcess;
use super::protocol::{
    CellsSetup, ExpectedLists, FleetSetup, HostCommand, HostReport, HostSetup, ListSource, ListedState,
    PaceSetup, RouterReport, RouterStart, SentChange, ServiceCommand, ServiceCounters, ServiceReport,
    ServiceSetup,
};
use super::usage::Usage;
use super::HollowError;

/// Number of seed routers.
const SEEDS: u32 = 3;
/// Timeout of a report that does not await a condition.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Configuration of a fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    /// The program that runs the service and the hosts, by [`SERVICE`] and [`HOST`].
    pub program: PathBuf,
    /// Number of hollow routers.
    pub routers: u32,
    /// Number of real routers; the service has a listener for each of them too.
    pub real_routers: u32,
    /// Number of engines on the list.
    pub engines: u32,
    /// Number of hosts of hollow routers.
    pub hosts: u32,
    /// Calls per second that the list service accepts, which is also the fleet's call budget.
    pub calls_per_s: f64,
    /// Maximum number of full lists that the service writes at the same time.
    pub concurrent_snapshots: usize,
    /// Settings of the decision module.
    pub settings: String,
    /// Whether each router passes its list to its decision module.
    pub module: bool,
    /// Whether routers follow the list service, if the fleet has no cells.
    pub list: bool,
    /// Division into cells with relays; none if routers do not learn parts from relays.
    pub cells: Option<CellsPlan>,
    /// Communication between routers; none if they do not communicate.
    pub fleet: Option<FleetSetup>,
    /// Random seed.
    pub seed: u64,
}

/// Division of a fleet into cells, served by relays.
#[derive(Clone, Copy, Debug)]
pub struct CellsPlan {
    /// Cells per zone.
    pub cells: u32,
    /// Number of relays.
    pub relays: u32,
    /// Number of hosts of relays, beside those of routers.
    pub hosts: u32,
    /// Interval between a router's requests to a relay (ns).
    pub request_interval_ns: u64,
}

/// Command of the lab that runs a list service.
pub const SERVICE: &str = "hollow-service";
/// Command of the lab that runs a host.
pub const HOST: &str = "hollow-host";

type Host = ChildProcess<HostCommand, HostReport>;

/// A running fleet.
pub struct HollowFleet {
    plan: FleetPlan,
    service: ChildProcess<ServiceCommand, ServiceReport>,
    /// Hosts of routers, followed by hosts of relays.
    hosts: Vec<Host>,
    relays: Vec<SocketAddr>,
    list_service_addresses: Vec<SocketAddr>,
    running: BTreeSet<u32>,
}

impl HollowFleet {
    /// Starts the service and the hosts, without any routers.
    ///
    /// # Errors
    /// If a process can't be started.
    pub fn start(plan: FleetPlan) -> Result<HollowFleet, HollowError> {
        let mut service = ChildProcess::start(&plan.program, &[SERVICE], "the list service".to_owned())?;
        let setup = ServiceSetup {
            routers: plan.listeners(),
            engines: plan.engines,
            cells: plan.cells.map_or(0, |cells| cells.cells),
            calls_per_s: plan.calls_per_s,
            concurrent_snapshots: plan.concurrent_snapshots,
        };
        let ServiceReport::Started(list_service_addresses) =
            service.request(&ServiceCommand::Start(setup), RESPONSE_TIMEOUT)?
        else {
            return Err(unexpected(service.name(), "Started"));
        };
        let mut hosts = Vec::new();
        for number in 0..plan.hosts + plan.cells.map_or(0, |cells| cells.hosts) {
            hosts.push(Host::start(&plan.program, &[HOST], format!("host {number}"))?);
        }
        let mut fleet = HollowFleet {
            plan,
            service,
            hosts,
            relays: Vec::new(),
            list_service_addresses,
            running: BTreeSet::new(),
        };
        fleet.set_up_hosts()?;
        Ok(fleet)
    }

    fn set_up_hosts(&mut self) -> Result<(), HollowError> {
        let setup = HostSetup {
            fleet_routers: self.plan.routers + self.plan.real_routers,
            settings: self.plan.settings.clone(),
            pace: self.pace(),
            seed: self.plan.seed,
            module: self.plan.module,
            list: self.list_source(),
            fleet: self.plan.fleet.clone(),
        };
        for host in &mut self.hosts {
            host.send_command(&HostCommand::Setup(Box::new(setup.clone())))?;
        }
        self.expect_done()
    }

    /// Pacing of the fleet's calls: spread over the time that the service needs for all of them.
    pub fn pace(&self) -> PaceSetup {
        let routers = self.plan.routers + self.plan.real_routers;
        let window_ns = (f64::from(routers) / self.plan.calls_per_s * 1e9) as u64;
        PaceSetup {
            budget_per_s: self.plan.calls_per_s,
            routers,
            spread_ns: window_ns.max(100_000_000),
            longest_ns: (2 * window_ns).max(4_300_000_000),
        }
    }

    /// The configuration, with the seeds that were started.
    pub fn plan(&self) -> &FleetPlan {
        &self.plan
    }

    /// Address of the list service for a router. Real routers are numbered after hollow ones.
    pub fn list_service_address(&self, router: u32) -> Option<SocketAddr> {
        self.list_service_addresses.get(router as usize).copied()
    }

    /// Numbers of the running hollow routers and relays.
    pub fn running(&self) -> &BTreeSet<u32> {
        &self.running
    }

    /// Starts routers and restarts those that are running; returns their datagram addresses.
    ///
    /// # Errors
    /// If a host does not report.
    pub fn start_routers(&mut self, numbers: &[u32]) -> Result<Vec<(u32, Option<SocketAddr>)>, HollowError> {
        let routers_by_host = self.by_host(numbers);
        for (host, numbers) in self.hosts.iter_mut().zip(&routers_by_host) {
            let list =
                |number: &u32| self.list_service_addresses.get(*number as usize).map(|list| (*number, *list));
            let starts = numbers.iter().filter_map(list).map(|(number, list)| {
                let relay = number >= self.plan.first_relay();
                RouterStart { number, list, relay }
            });
            host.send_command(&HostCommand::Start(starts.collect()))?;
        }
        self.running.extend(numbers);
        let mut started = Vec::new();
        for host in &mut self.hosts {
            started.extend(expect_report(host, RESPONSE_TIMEOUT, "Started", |report| match report {
                HostReport::Started(routers) => Some(routers),
                _ => None,
            })?);
        }
        Ok(started)
    }

    /// Starts the relays and configures the hosts with their addresses.
    ///
    /// # Errors
    /// If a host does not report.
    pub fn start_relays(&mut self) -> Result<(), HollowError> {
        // Relays do not need the addresses of relays.
        let started = self.start_routers(&self.plan.relays())?;
        self.relays = started.into_iter().filter_map(|(_, address)| address).collect();
        self.set_up_hosts()
    }

    fn list_source(&self) -> ListSource {
        match self.plan.cells {
            None if self.plan.list => ListSource::Service,
            None => ListSource::Disabled,
            Some(CellsPlan { cells, request_interval_ns, .. }) => {
                ListSource::Relays(CellsSetup { cells, request_interval_ns, relays: self.relays.clone() })
            }
        }
    }

    /// Starts the seed routers and configures the hosts with their addresses.
    ///
    /// # Errors
    /// If a host does not report.
    pub fn start_seeds(&mut self) -> Result<(), HollowError> {
        let numbers: Vec<u32> = (0..SEEDS.min(self.plan.routers)).collect();
        let started = self.start_routers(&numbers)?;
        if let Some(fleet) = &mut self.plan.fleet {
            fleet.seeds = started.into_iter().filter_map(|(_, address)| address).collect();
        }
        self.set_up_hosts()
    }

    /// Reloads the key files of routers.
    ///
    /// # Errors
    /// If a host has exited.
    pub fn reload_keys(&mut self, numbers: &[u32]) -> Result<(), HollowError> {
        let routers_by_host = self.by_host(numbers);
        for (host, numbers) in self.hosts.iter_mut().zip(routers_by_host) {
            host.send_command(&HostCommand::ReloadKeys(numbers))?;
        }
        self.expect_done()
    }

    /// Stops routers abruptly.
    ///
    /// # Errors
    /// If a host has exited.
    pub fn stop_routers(&mut self, numbers: &[u32]) -> Result<(), HollowError> {
        let routers_by_host = self.by_host(numbers);
        for (host, numbers) in self.hosts.iter_mut().zip(routers_by_host) {
            host.send_command(&HostCommand::Stop(numbers))?;
        }
        self.expect_done()?;
        self.running.retain(|number| !numbers.contains(number));
        Ok(())
    }

    fn expect_done(&mut self) -> Result<(), HollowError> {
        for host in &mut self.hosts {
            expect_report(host, RESPONSE_TIMEOUT, "Done", |report| {
                matches!(report, HostReport::Done).then_some(())
            })?;
        }
        Ok(())
    }

    fn by_host(&self, numbers: &[u32]) -> Vec<Vec<u32>> {
        let mut all = vec![Vec::new(); self.hosts.len()];
        for number in numbers {
            let host = match (number.checked_sub(self.plan.first_relay()), self.plan.cells) {
                (Some(relay), Some(cells)) => self.plan.hosts + relay % cells.hosts,
                _ => number % self.plan.hosts,
            };
            all[host as usize].push(*number);
        }
        all
    }

    /// Publishes a state of engines to all followers.
    ///
    /// # Errors
    /// If the service has exited.
    pub fn change(&mut self, engines: Vec<u32>, state: ListedState) -> Result<SentChange, HollowError> {
        self.send_change(&ServiceCommand::Change { engines, state })
    }

    /// Replaces engines by ones with other names and publishes the change.
    ///
    /// # Errors
    /// If the service has exited.
    pub fn replace(&mut self, engines: Vec<u32>) -> Result<SentChange, HollowError> {
        self.send_change(&ServiceCommand::Replace { engines })
    }

    fn send_change(&mut self, command: &ServiceCommand) -> Result<SentChange, HollowError> {
        match self.service.request(command, RESPONSE_TIMEOUT)? {
            ServiceReport::ChangeSent(event) => Ok(event),
            _ => Err(unexpected(self.service.name(), "ChangeSent")),
        }
    }

    /// Injects a fault into the list service, or ends it.
    ///
    /// # Errors
    /// If the service has exited.
    pub fn inject_fault(&mut self, command: &ServiceCommand) -> Result<(), HollowError> {
        match self.service.request(command, RESPONSE_TIMEOUT)? {
            ServiceReport::Done => Ok(()),
            _ => Err(unexpected(self.service.name(), "Done")),
        }
    }

    /// Counters of the list service.
    ///
    /// # Errors
    /// If the service has exited.
    pub fn counters(&mut self) -> Result<ServiceCounters, HollowError> {
        match self.service.request(&ServiceCommand::Report, RESPONSE_TIMEOUT)? {
            ServiceReport::Counters(counters) => Ok(counters),
            _ => Err(unexpected(self.service.name(), "Counters")),
        }
    }

    /// Waits until all running routers have this list, or their part of it. Returns the number and
    /// the time of the last list change (Unix ns) of each; none if the limit expires.
    ///
    /// # Errors
    /// If a host has exited.
    pub fn await_list(
        &mut self,
        expected: &ExpectedLists,
        limit: Duration,
    ) -> Result<Option<Vec<(u32, u64)>>, HollowError> {
        let awaited = |report| match report {
            HostReport::ListReached(reached, reached_ns) if reached == expected.full_list => Some(reached_ns),
            _ => None,
        };
        let all = self.await_all(&HostCommand::AwaitList(expected.clone()), limit, awaited)?;
        Ok(all.map(|hosts| hosts.into_iter().flatten().collect()))
    }

    /// Waits until every running router has this number of peers. Returns the time at which the
    /// last host observed it (Unix ns); none if the limit expires.
    ///
    /// # Errors
    /// If a host has exited.
    pub fn await_peers(&mut self, peers: u32, limit: Duration) -> Result<Option<u64>, HollowError> {
        let awaited = |report| match report {
            HostReport::PeersReached(reached, reached_ns) if reached == peers => Some(reached_ns),
            _ => None,
        };
        let all = self.await_all(&HostCommand::AwaitPeers(peers), limit, awaited)?;
        Ok(all.and_then(|hosts| hosts.into_iter().max()))
    }

    fn await_all<T>(
        &mut self,
        command: &HostCommand,
        limit: Duration,
        awaited: impl Fn(HostReport) -> Option<T>,
    ) -> Result<Option<Vec<T>>, HollowError> {
        let deadline = Instant::now() + limit;
        for host in &mut self.hosts {
            host.send_command(command)?;
        }
        let mut all = Vec::new();
        for host in &mut self.hosts {
            match await_report(host, deadline, &awaited)? {
                Some(answer) => all.push(answer),
                None => return Ok(None),
            }
        }
        Ok(Some(all))
    }

    /// State of each hollow router, sorted by number.
    ///
    /// # Errors
    /// If a host has exited.
    pub fn reports(&mut self) -> Result<Vec<RouterReport>, HollowError> {
        for host in &mut self.hosts {
            host.send_command(&HostCommand::Report)?;
        }
        let mut all = Vec::new();
        for host in &mut self.hosts {
            all.extend(expect_report(host, RESPONSE_TIMEOUT, "Routers", |report| match report {
                HostReport::Routers(routers) => Some(routers),
                _ => None,
            })?);
        }
        all.sort_by_key(|report| report.number);
        Ok(all)
    }

    /// Total resource usage of the routers' hosts so far.
    pub fn hosts_usage(&self) -> Usage {
        total_usage(&self.hosts[..self.plan.hosts as usize])
    }

    /// Total resource usage of the relays' hosts so far.
    pub fn relays_usage(&self) -> Usage {
        total_usage(&self.hosts[self.plan.hosts as usize..])
    }

    /// Resource usage of the list service so far.
    pub fn service_usage(&self) -> Usage {
        self.service.usage()
    }

    /// Process IDs of the hosts.
    pub fn host_pids(&self) -> Vec<u32> {
        self.hosts.iter().map(ChildProcess::id).collect()
    }

    /// Number of processes of the fleet.
    pub fn processes(&self) -> usize {
        self.hosts.len() + 1
    }
}

impl FleetPlan {
    /// Number of the first relay. Relays are numbered after hollow and real routers.
    pub fn first_relay(&self) -> u32 {
        self.routers + self.real_routers
    }

    /// Numbers of the relays.
    pub fn relays(&self) -> Vec<u32> {
        (self.first_relay()..self.listeners()).collect()
    }

    fn listeners(&self) -> u32 {
        self.first_relay() + self.cells.map_or(0, |cells| cells.relays)
    }
}

fn total_usage(hosts: &[Host]) -> Usage {
    hosts.iter().map(ChildProcess::usage).fold(Usage::default(), |sum, one| Usage {
        processor_ns: sum.processor_ns + one.processor_ns,
        resident_kb: sum.resident_kb + one.resident_kb,
        peak_kb: sum.peak_kb + one.peak_kb,
    })
}

fn unexpected(child: &str, awaited: &'static str) -> HollowError {
    HollowError::UnexpectedReport { child: child.to_owned(), awaited }
}

/// Waits for a report of a kind. Late reports of earlier commands may precede it and are skipped.
fn expect_report<T>(
    host: &mut Host,
    limit: Duration,
    kind: &'static str,
    awaited: impl Fn(HostReport) -> Option<T>,
) -> Result<T, HollowError> {
    await_report(host, Instant::now() + limit, &awaited)?.ok_or_else(|| unexpected(host.name(), kind))
}

fn await_report<T>(
    host: &mut Host,
    deadline: Instant,
    awaited: &impl Fn(HostReport) -> Option<T>,
) -> Result<Option<T>, HollowError> {
    loop {
        match host.receive(deadline.saturating_duration_since(Instant::now()))? {
            Some(report) => {
                if let Some(answer) = awaited(report) {
                    return Ok(Some(answer));
                }
            }
            None => return Ok(None),
        }
    }
}
