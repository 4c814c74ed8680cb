//! What the operator's file says of the fleet, and the bounds that follow from it.
//!
//! Bounds are computed from the configuration by the machines' own functions, the same that their tests hold measurements against.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use marljunction_control::interface::{ClassId, Settings as ModuleSettings, TenantId};
use marljunction_core::limits::{By, Rule};
use marljunction_limits::bound::{bound, Bound, Fault, FAULTS};
use marljunction_limits::{Kind, Limit, Mode, Terms};
use marljunction_peers::{Keys, Settings as MembershipSettings};
use marljunction_settings::{index_of, Names};
use marljunction_verdicts::bound::{
    convergence_bound_ns, digest_interval_ns, evidence_expiry_bound_ns, propagation_bound_ns,
    MAX_ITEMS_PER_DIGEST,
};
use marljunction_verdicts::HealthParams;

use crate::error::{FleetError, KeyFileError, NameKind};
use crate::list::ListConfig;

/// How long a request may have attempts out behind its deadline (ns): a given-up attempt is out until its engine was told, or 2 s.
const MAX_ATTEMPT_OVERRUN_NS: u64 = 2_500_000_000;
/// How long attempts of a router that died run on (ns): engines end what nobody asks for.
const ORPHANED_ATTEMPT_NS: u64 = 2_100_000_000;

/// A limit of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitConfig {
    /// What is limited, and how it fails.
    pub limit: Limit,
    /// What each unit of the limit is for.
    pub scope: By,
    /// Only this tenant's requests; none for all.
    pub tenant: Option<String>,
    /// Only this class's requests; none for all.
    pub class: Option<String>,
}

/// How the fleet agrees on engines' health, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct HealthConfig {
    /// Routers that must have observed the same (count).
    pub min_observers: u32,
    /// Engines that evidence excludes at most (share).
    pub max_excluded: f64,
    /// How long evidence counts that its observer does not repeat (ns).
    pub evidence_lifetime_ns: u64,
    /// The longest cut after which no ended override comes back (ns).
    pub override_memory_ns: u64,
}

/// The fleet, as the operator's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Where datagrams are taken.
    pub listen: String,
    /// Where peers send them, where that is another address.
    pub advertise: Option<String>,
    /// The file of the fleet's keys.
    pub key: PathBuf,
    /// Routers that know others.
    pub seeds: Vec<String>,
    /// Routers that shares are fixed for (count).
    pub routers: u32,
    /// How long a lease of units lasts (ns).
    pub lease_ns: u64,
    /// How far a clock may run from true time (share).
    pub drift: f64,
    /// The limits.
    pub limits: Vec<LimitConfig>,
    /// Whether the warm-up budgets of cold engines are shared too.
    pub cold: bool,
    /// How engines' health is agreed on; none where it is not shared.
    pub health: Option<HealthConfig>,
    /// What this process has to do with the list of engines; none for nothing.
    pub list: Option<ListConfig>,
}

impl FleetConfig {
    /// The seed of clients' numbers: the same in all routers of the fleet, or a limit by client would be one to each router.
    ///
    /// # Errors
    /// Where the keys can't be read.
    pub fn clients_seed(&self) -> Result<u64, KeyFileError> {
        read_keys(&self.key).map(|keys| keys.shared_seed())
    }

    /// What the fleet agrees on for limits, where requests are out for `longest_ns` at most.
    pub fn terms(&self, longest_ns: u64) -> Terms {
        let membership = MembershipSettings { routers: self.routers, ..MembershipSettings::default() };
        Terms {
            routers: self.routers,
            lease_ns: self.lease_ns,
            drift: self.drift,
            longest_ns,
            run_on_ns: ORPHANED_ATTEMPT_NS,
            detect_ns: membership.detect_at_most_ns(),
        }
    }

    /// What the fleet agrees on for engines' health, where it is shared.
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

    /// What follows for each limit and fault, and for engines' health, as lines for operators.
    pub fn bounds(&self, longest_ns: u64) -> Vec<String> {
        let terms = self.terms(longest_ns);
        let mut lines: Vec<String> = self.health_params().iter().map(describe_health_bounds).collect();
        lines.extend(self.list.iter().flat_map(|list| list.bounds(self.routers)));
        for LimitConfig { limit, .. } in &self.limits {
            let units = limit.kind.units();
            let idle = if units < self.routers { ", fewer than routers: some own none of it" } else { "" };
            lines.push(format!("limit {}: {units} units over {} routers{idle}", limit.name, self.routers));
            for (fault, name) in FAULTS {
                lines.push(describe_bound(name, bound(limit, &terms, fault)));
            }
        }
        lines
    }

    /// The parsed addresses of the seeds.
    pub(crate) fn seed_addresses(&self) -> Result<Vec<SocketAddr>, FleetError> {
        self.seeds.iter().map(|text| parse_address(text)).collect()
    }
}

impl LimitConfig {
    /// Which requests the limit counts, by the numbers of the settings.
    ///
    /// # Errors
    /// Where it names a tenant or class that is not in the settings.
    pub fn rule(&self, names: &Names) -> Result<Rule, FleetError> {
        let tenant = self.resolve(NameKind::Tenant, &names.tenants, self.tenant.as_deref())?;
        let class = self.resolve(NameKind::Class, &names.classes, self.class.as_deref())?;
        Ok(Rule { by: self.scope, tenant: tenant.map(TenantId), class: class.map(ClassId) })
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

/// The longest that a request has attempts out, given-up ones included (ns).
pub fn longest_request_ns(settings: &ModuleSettings) -> u64 {
    let longest_deadline_ns = settings.classes.iter().map(|class| class.deadline_ns).max().unwrap_or(0);
    longest_deadline_ns + MAX_ATTEMPT_OVERRUN_NS
}

/// What a limit's fields say: a rate (a second) with its burst (count), or how many at once (count); none where neither or both.
pub fn limit_kind(rate: Option<f64>, burst: Option<f64>, at_once: Option<f64>) -> Option<Kind> {
    match (rate, at_once) {
        (Some(per_s), None) => Some(Kind::Rate { per_s, burst: burst.unwrap_or(per_s).max(1.0) as u32 }),
        (None, Some(at_once)) => Some(Kind::Concurrency { at_once: at_once as u32 }),
        _ => None,
    }
}

/// How a limit fails: over by a share for a time (ns), or never where one of them is not said.
pub fn failure_mode(over: Option<f64>, for_ns: Option<f64>) -> Mode {
    match (over, for_ns) {
        (Some(over), Some(for_ns)) => Mode::Bounded { over, for_ns: for_ns as u64 },
        _ => Mode::Strict,
    }
}

/// What follows for a cold engine's budget, as a line for operators.
pub(crate) fn describe_budget(limit: &Limit, terms: &Terms) -> String {
    let stale_s = |fault| seconds(bound(limit, terms, fault).stale_at_most_ns);
    format!(
        "{} units in any {:.1} s over {} routers, never over; idle for {:.1} s at most, {:.1} s in a cut, {:.1} s after all died",
        limit.kind.units(),
        seconds(limit.kind.run_on_ns(terms)),
        terms.routers,
        stale_s(Fault::None),
        stale_s(Fault::Cut),
        stale_s(Fault::AllDied),
    )
}

/// Reads a file of the fleet's keys.
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
        "verdicts: heard by all that can be reached within {:.1} s; sides of a cut agree within {:.1} s of its end and {:.1} s \
         for each {MAX_ITEMS_PER_DIGEST} things in which they differ; evidence fades within {:.1} s of its witness's last word",
        seconds(propagation_bound_ns(params)),
        seconds(convergence_bound_ns(params, 0)),
        seconds(digest_interval_ns(params)),
        seconds(evidence_expiry_bound_ns(params)),
    )
}

fn describe_bound(fault: &str, bound: Bound) -> String {
    let over = match (bound.over_at_most > 0.0, bound.over_for_ns) {
        (false, _) => "never over".to_owned(),
        (true, u64::MAX) => {
            format!("over by {:.1}% at most, until it is mended", bound.over_at_most * 100.0)
        }
        (true, ns) => {
            format!("over by {:.1}% at most, for {:.1} s at most", bound.over_at_most * 100.0, seconds(ns))
        }
    };
    format!("  {fault}: {over}; idle for {:.1} s at most", seconds(bound.stale_at_most_ns))
}
