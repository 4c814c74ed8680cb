//! Admits requests under all of their limits and keys, or under none.

use crate::ledger::Ledger;
use crate::params::Kind;
use crate::sketch::Sketch;

/// Minimum delay before a refused request is worth retrying.
const MIN_RETRY_NS: u64 = 1_000_000;

/// Refusal of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Index of the limit.
    pub limit: usize,
    /// Delay after which a retry is worthwhile.
    pub retry_after_ns: u64,
}

/// Proof of admission, to be returned when the request ends.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Permit(Vec<Admitted>);

/// One limit and key that admitted the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Admitted {
    limit: u16,
    key: u64,
    /// The key was not tracked and the sketch admitted it.
    by_sketch: bool,
}

/// Decision of one limit: usable units (`None` if the key is not tracked), or the refusal.
type Decision = Result<Option<u32>, Refused>;

impl Ledger {
    /// Admits a request under all of its limits and keys, or under none.
    pub(crate) fn admit(&mut self, now: u64, limit_keys: &[(u16, u64)]) -> Result<Permit, Refused> {
        // Every limit records the demand, even if another one refuses the request.
        let decisions: Vec<Decision> =
            limit_keys.iter().map(|(limit, key)| self.check(now, *limit, *key)).collect();
        let usable = decisions.into_iter().collect::<Result<Vec<_>, Refused>>()?;
        let mut permit = Permit(Vec::with_capacity(limit_keys.len()));
        for ((limit, key), usable) in limit_keys.iter().copied().zip(usable) {
            self.commit(now, limit, key, usable);
            permit.0.push(Admitted { limit, key, by_sketch: usable.is_none() });
        }
        Ok(permit)
    }

    /// Whether a limit admits a request for a key. Records the demand in any case.
    fn check(&mut self, now: u64, limit: u16, key: u64) -> Decision {
        let default_retry_ns = 2 * self.params.request_interval_ns();
        let refused = |retry_after_ns| Refused { limit: usize::from(limit), retry_after_ns };
        if !self.track(now, limit, key) {
            let admits = self.admit_by_sketch(now, limit, key, false);
            return if admits { Ok(None) } else { Err(refused(default_retry_ns)) };
        }
        let kind = self.kind(limit);
        let usable = self.refresh(now, limit, key);
        let Some(entry) = self.keys.get_mut(&(limit, key)) else { return Ok(Some(usable)) };
        let admits = entry.meter.admits(kind, usable);
        entry.demand.record_request(kind, &self.params, entry.meter.in_flight(), admits);
        if admits {
            return Ok(Some(usable));
        }
        let retry_after_ns = entry.meter.retry_after_ns(kind, usable).unwrap_or(default_retry_ns);
        Err(refused(retry_after_ns.max(MIN_RETRY_NS)))
    }

    /// Records an admission.
    fn commit(&mut self, now: u64, limit: u16, key: u64, usable: Option<u32>) {
        let kind = self.kind(limit);
        let until_ns = now.saturating_add(kind.window_charge_ns(&self.params));
        match (usable, self.keys.get_mut(&(limit, key))) {
            (Some(usable), Some(entry)) => drop(entry.meter.admit(until_ns, kind, usable)),
            _ => drop(self.admit_by_sketch(now, limit, key, true)),
        }
    }

    /// Whether the sketch admits an untracked key on the router's own share. Records the admission
    /// if `commit` is set.
    fn admit_by_sketch(&mut self, now: u64, limit: u16, key: u64, commit: bool) -> bool {
        let kind = self.kind(limit);
        let of = (kind, self.owned(limit, key), self.params.drift);
        let slot = &mut self.slots[usize::from(limit)];
        if now < slot.grace_until_ns || matches!(kind, Kind::Window { .. }) {
            return false;
        }
        let sketch = slot.sketch.get_or_insert_with(|| Sketch::new(now));
        match commit {
            true => sketch.admit(now, key, of),
            false => sketch.used(now, key, of) + 1.0 <= f64::from(of.1),
        }
    }

    /// Ends an admitted request.
    pub(crate) fn release(&mut self, permit: Permit) {
        for Admitted { limit, key, by_sketch } in permit.0 {
            let kind = self.kind(limit);
            let sketch = self.slots[usize::from(limit)].sketch.as_mut().filter(|_| by_sketch);
            match (sketch, self.keys.get_mut(&(limit, key))) {
                (Some(sketch), _) => sketch.release(key, kind),
                (None, Some(entry)) => entry.meter.release(),
                _ => {}
            }
        }
    }
}
