//! Configuration of the fleet and the bounds that follow from it.
//!
//! Bounds are computed by functions of the state machines; tests compare measurements with the same
//! functions.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use marljunction_control::interface::{ClassId, Settings as ModuleSettings, TenantId};
use marljunction_core::limits::{LimitRule, LimitScope};
use marljunction_health::bound::{
    convergence_bound_ns, digest_interval_ns, evidence_expiry_bound_ns, propagation_bound_ns,
    MAX_ITEMS_PER_DIGEST,
};
use marljunction_health::HealthParams;
use marljunction_limits::bound::{bound, Bound, Fault, FAULTS};
use marljunction_limits::{Kind, Limit, LimitParams, Mode};
use marljunction_peers::{Keys, Settings as MembershipSettings};
use marljunction_settings::{index_of, Names};

use crate::error::{FleetError, KeyFileError, NameKind};
use crate::list::ListConfig;

/// How long an attempt of a request may outlive the request's deadline, in nanoseconds. A cancelled
/// attempt counts until its engine was notified, for at most 2 s.
const MAX_ATTEMPT_OVERRUN_NS: u64 = 2_500_000_000;
/// How long attempts of a router that died continue, in nanoseconds. Engines end requests that no
/// router waits for.
const ORPHANED_ATTEMPT_NS: u64 = 2_100_000_000;

/// A limit from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// The limited quantity, and what happens while peers are unreachable.
    pub limit: Limit,
    /// What each key of the limit stands for.
    pub scope: LimitScope,
    /// Applies to this tenant only; `None` for all.
    pub tenant: Option<String>,
    /// Applies to this class only; `None` for all.
    pub class: Option<String>,
}

/// How engine health is shared, from the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthConfig {
    /// Routers that must report the same fault.
    pub min_observers: u32,
    /// Largest share of the engines that evidence may exclude.
    pub max_excluded: f64,
    /// Lifetime of evidence that its observer does not renew, in nanoseconds.
    pub evidence_lifetime_ns: u64,
    /// Longest partition, in nanoseconds, after which a reverted override cannot return.
    pub override_memory_ns: u64,
}

/// The fleet section of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Address on which datagrams are received.
    pub listen: String,
    /// Address that peers send to, if it differs.
    pub advertise: Option<String>,
    /// File with the fleet's keys.
    pub key: PathBuf,
    /// Addresses of routers that are contacted first.
    pub seeds: Vec<String>,
    /// Number of routers among which limits are divided.
    pub routers: u32,
    /// Duration of a lease of units, in nanoseconds.
    pub lease_ns: u64,
    /// Largest drift of a clock, as a share of elapsed time.
    pub drift: f64,
    /// Limits.
    pub limits: Vec<LimitConfig>,
    /// Whether the warm-up budgets of cold engines are shared too.
    pub cold: bool,
    /// How engine health is shared; `None` if it is not.
    pub health: Option<HealthConfig>,
    /// Role of this process in distributing the engine list; `None` if it has none.
    pub list: Option<ListConfig>,
}

impl FleetConfig {
    /// Returns the seed for hashing client names. It is derived from the keys, so all routers
    /// of a fleet hash a client to the same key.
    ///
    /// # Errors
    /// Returns an error if the keys cannot be read.
    pub fn clients_seed(&self) -> Result<u64, KeyFileError> {
        read_keys(&self.key).map(|keys| keys.shared_seed())
    }

    /// Returns the parameters of the limits. `max_request_ns` is the longest time that a request
    /// has attempts in flight.
    pub fn limit_params(&self, max_request_ns: u64) -> LimitParams {
        let membership = MembershipSettings { routers: self.routers, ..MembershipSettings::default() };
        LimitParams {
            routers: self.routers,
            lease_ns: self.lease_ns,
            drift: self.drift,
            max_request_ns,
            orphan_ns: ORPHANED_ATTEMPT_NS,
            detection_ns: membership.max_detection_ns(),
        }
    }

    /// Returns the parameters of engine health, if it is shared.
    pub fn health_params(&self) -> Option<HealthParams> {
        let health = self.health.as_ref()?;
        Some(HealthParams {
            routers: self.routers,
            min_observers: health.min_observers,
            max_excluded: health.max_excluded,
            evidence_lifetime_ns: health.evidence_lifetime_ns,
            override_memory_ns: health.override_memory_ns,
            ..HealthParams::default()
        })
    }

    /// Formats the bounds of engine health, the engine list, and each limit under each fault.
    pub fn bounds(&self, max_request_ns: u64) -> Vec<String> {
        let params = self.limit_params(max_request_ns);
        let mut lines: Vec<String> = self.health_params().iter().map(describe_health_bounds).collect();
        lines.extend(self.list.iter().flat_map(|list| list.bounds(self.routers)));
        for LimitConfig { limit, .. } in &self.limits {
            let units = limit.kind.units();
            let idle =
                if units < self.routers { ", fewer than routers: some routers own no units" } else { "" };
            lines.push(format!("limit {}: {units} units over {} routers{idle}", limit.name, self.routers));
            for (fault, name) in FAULTS {
                lines.push(describe_bound(name, bound(limit, &params, fault)));
            }
        }
        lines
    }

    /// Parses the addresses of the seeds.
    pub(crate) fn seed_addresses(&self) -> Result<Vec<SocketAddr>, FleetError> {
        self.seeds.iter().map(|text| parse_address(text)).collect()
    }
}

impl LimitConfig {
    /// Returns the rule that selects the requests which the limit counts.
    ///
    /// # Errors
    /// Returns an error if the limit names a tenant or class that is not in the settings.
    pub fn rule(&self, names: &Names) -> Result<LimitRule, FleetError> {
        let tenant = self.resolve(NameKind::Tenant, &names.tenants, self.tenant.as_deref())?;
        let class = self.resolve(NameKind::Class, &names.classes, self.class.as_deref())?;
        Ok(LimitRule { scope: self.scope, tenant: tenant.map(TenantId), class: class.map(ClassId) })
    }

    fn resolve(
        &self,
        kind: NameKind,
        names: &[String],
        name: Option<&str>,
    ) -> Result<Option<usize>, FleetError> {
        let Some(name) = name else { return Ok(None) };
        let unknown =
            || FleetError::UnknownName { limit: self.limit.name.clone(), kind, name: name.to_owned() };
        index_of(names, name).map(Some).ok_or_else(unknown)
    }
}

/// Returns the longest time that a request may have attempts in flight, in nanoseconds, cancelled
/// attempts included.
pub fn max_request_ns(settings: &ModuleSettings) -> u64 {
    let longest_deadline_ns = settings.classes.iter().map(|class| class.deadline_ns).max().unwrap_or(0);
    longest_deadline_ns + MAX_ATTEMPT_OVERRUN_NS
}

/// Returns the kind of a limit: a rate per second with a burst, or a concurrency. `None` if both or
/// neither are given.
pub fn limit_kind(rate: Option<f64>, burst: Option<f64>, at_once: Option<f64>) -> Option<Kind> {
    match (rate, at_once) {
        (Some(per_s), None) => Some(Kind::Rate { per_s, burst: burst.unwrap_or(per_s).max(1.0) as u32 }),
        (None, Some(at_once)) => Some(Kind::Concurrency { at_once: at_once as u32 }),
        _ => None,
    }
}

/// Returns how a limit behaves while peers are unreachable: exceeded by a share for a time in
/// nanoseconds, or never if one of them is missing.
pub fn failure_mode(over: Option<f64>, for_ns: Option<f64>) -> Mode {
    match (over, for_ns) {
        (Some(over), Some(for_ns)) => Mode::Bounded { over, for_ns: for_ns as u64 },
        _ => Mode::Strict,
    }
}

/// Formats the bounds of a cold engine's budget.
pub(crate) fn describe_budget(limit: &Limit, params: &LimitParams) -> String {
    let stale_s = |fault| seconds(bound(limit, params, fault).max_idle_ns);
    format!(
        "{} units in any {:.1} s over {} routers, never exceeded; units unused for at most {:.1} s, {:.1} s in a partition, {:.1} s after all routers died",
        limit.kind.units(),
        seconds(limit.kind.orphan_ns(params)),
        params.routers,
        stale_s(Fault::None),
        stale_s(Fault::Partition),
        stale_s(Fault::AllRestarted),
    )
}

/// Reads a file with the fleet's keys.
pub(crate) fn read_keys(path: &Path) -> Result<Keys, KeyFileError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| KeyFileError::Unreadable { path: path.to_owned(), source })?;
    Keys::read(&text).map_err(|reason| KeyFileError::Malformed { path: path.to_owned(), reason })
}

pub(crate) fn parse_address(text: &str) -> Result<SocketAddr, FleetError> {
    text.parse().map_err(|source| FleetError::Address { address: text.to_owned(), source })
}

fn seconds(ns: u64) -> f64 {
    ns as f64 / 1e9
}

fn describe_health_bounds(params: &HealthParams) -> String {
    format!(
        "verdicts: a change reaches all reachable routers within {:.1} s; partitions agree within {:.1} s of healing, plus {:.1} s \
         per {MAX_ITEMS_PER_DIGEST} differing items; evidence expires within {:.1} s of its observer's last report",
        seconds(propagation_bound_ns(params)),
        seconds(convergence_bound_ns(params, 0)),
        seconds(digest_interval_ns(params)),
        seconds(evidence_expiry_bound_ns(params)),
    )
}

fn describe_bound(fault: &str, bound: Bound) -> String {
    let over = match (bound.max_overshoot > 0.0, bound.overshoot_ns) {
        (false, _) => "never exceeded".to_owned(),
        (true, u64::MAX) => {
            format!("exceeded by at most {:.1}%, until the fault is repaired", bound.max_overshoot * 100.0)
        }
        (true, ns) => {
            format!(
                "exceeded by at most {:.1}%, for at most {:.1} s",
                bound.max_overshoot * 100.0,
                seconds(ns)
            )
        }
    };
    format!("  {fault}: {over}; units unused for at most {:.1} s", seconds(bound.max_idle_ns))
}
