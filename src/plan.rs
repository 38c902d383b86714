//! Plans: what an intent file would change, for whom, and whether it may.
//!
//! A plan names the revision of each object that it was made against and is
//! identified by the SHA-256 of its content, so an altered plan is noticed and
//! confirming the same plan twice is one change.
//!
//! A plan is refused if, in the configuration that it would make, one of the
//! callers it affects
//!
//! - has a home outside its regions, or a region that does not exist;
//! - uses a model or service that does not exist;
//! - shares its key with another caller, whose residency it would then have;
//! - has objectives, a deadline or a period outside their ranges;
//! - has a budget that does not cover one reference request at each of its
//!   targets: 1,000 uncached prompt tokens and 1,000 generated tokens of a
//!   model, or one call of a service.
//!
//! Prices do not depend on the scheduling class, so the class does not enter the
//! check of the budget.

use std::{
    collections::BTreeSet,
    fmt::{
        self,
        Write, //
    }, //
};

use compact_str::{
    CompactString,
    format_compact, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest,
    Sha256, //
};
use thiserror::Error;

use crate::{
    intent::{
        CallerIntent,
        ChangeId,
        Intents,
        Object,
        ObjectChange,
        ObjectName, //
    },
    types::{
        CallerId,
        CostMicros,
        Millis,
        RegionId,
        Revision,
        Target, //
    }, //
};

/// Longest deadline of a request; longer ones would outlive a host's drain.
pub const MAX_DEADLINE: Millis = Millis(3_600_000);
/// Shortest budget period; grants cover about five minutes.
pub const MIN_PERIOD: Millis = Millis(600_000);
/// Longest budget period.
pub const MAX_PERIOD: Millis = Millis(366 * 86_400_000);

/// What one object is and becomes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedChange {
    /// The object.
    pub name: ObjectName,
    /// Revision that last touched it; none if it does not exist.
    pub base: Option<Revision>,
    /// Its body at that revision.
    pub before: Option<Object>,
    /// Its new body; none removes it.
    pub after: Option<Object>,
}

/// A change that has not been accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// SHA-256 of the rest.
    pub id: ChangeId,
    /// Revision of the configuration that it was made against.
    pub planned_revision: Revision,
    /// Objects that would change, in order of their names.
    pub changes: Vec<PlannedChange>,
    /// Callers that would change or use a model or service that would change.
    pub affected: Vec<CallerId>,
}

/// What the checks need to know besides the configuration.
#[derive(Debug, Clone, Default)]
pub struct PlanRules {
    /// All regions of the installation; none accepts any region.
    pub regions: Vec<RegionId>,
}

/// One reason why a plan is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Violation {
    /// A caller's home may not see its data.
    #[error("residency: home {home} of caller {caller} is not one of its regions")]
    HomeOutsideRegions {
        /// The caller.
        caller: CallerId,
        /// Its home.
        home: RegionId,
    },
    /// A region does not exist.
    #[error("residency: region {region} of caller {caller} does not exist")]
    UnknownRegion {
        /// The caller.
        caller: CallerId,
        /// The region.
        region: RegionId,
    },
    /// Two callers have the same key.
    #[error("residency: callers {caller} and {other} have the same key")]
    SharedKey {
        /// The caller.
        caller: CallerId,
        /// The other caller.
        other: CallerId,
    },
    /// A target does not exist or would be removed.
    #[error("target {target} of caller {caller} does not exist")]
    UnknownTarget {
        /// The caller.
        caller: CallerId,
        /// The target.
        target: Target,
    },
    /// A caller may not use anything.
    #[error("caller {caller} has no targets")]
    NoTargets {
        /// The caller.
        caller: CallerId,
    },
    /// A budget is below the price of one reference request.
    #[error("fee: budget {budget} of caller {caller} is below {needed}, one request to {target}")]
    FeeNotCovered {
        /// The caller.
        caller: CallerId,
        /// Its budget.
        budget: CostMicros,
        /// The target.
        target: Target,
        /// Price of one reference request.
        needed: CostMicros,
    },
    /// A caller cannot spend anything.
    #[error("fee: budget of caller {caller} is zero")]
    ZeroBudget {
        /// The caller.
        caller: CallerId,
    },
    /// A number is outside its range.
    #[error("{key} of caller {caller} is {value}, expected {expected}")]
    OutOfRange {
        /// The caller.
        caller: CallerId,
        /// The key.
        key: CompactString,
        /// Its value.
        value: CompactString,
        /// The range.
        expected: CompactString,
    },
    /// An object to be removed does not exist.
    #[error("{name} cannot be removed because it does not exist")]
    NothingToRemove {
        /// The object.
        name: ObjectName,
    },
    /// The plan would change nothing.
    #[error("nothing would change")]
    NothingToChange,
    /// The content does not match the id.
    #[error("plan was altered: its content does not match its id")]
    Altered,
}

/// Why a plan is refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize, Deserialize)]
pub struct Refused {
    /// All reasons.
    pub violations: Vec<Violation>,
}

impl fmt::Display for Refused {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("plan refused")?;
        let mut separator = ": ";
        for violation in &self.violations {
            write!(f, "{separator}{violation}")?;
            separator = "; ";
        }
        Ok(())
    }
}

impl Refused {
    fn check(violations: Vec<Violation>) -> Result<(), Self> {
        if violations.is_empty() {
            return Ok(());
        }
        Err(Self { violations })
    }
}

#[derive(Debug, Serialize)]
struct PlanContent<'a> {
    planned_revision: Revision,
    changes: &'a [PlannedChange],
    affected: &'a [CallerId],
}

impl Plan {
    /// Plans `wanted` against the configuration in force and checks the result.
    pub fn new(
        intents: &Intents,
        wanted: Vec<ObjectChange>,
        rules: &PlanRules,
    ) -> Result<Self, Refused> {
        let mut changes = Vec::new();
        let mut violations = Vec::new();
        for ObjectChange { name, object } in wanted {
            let known = intents.objects.get(&name);
            let before = known.map(|known| known.object.clone());
            if before.is_none() && object.is_none() {
                violations.push(Violation::NothingToRemove { name });
            } else if before != object {
                changes.push(PlannedChange {
                    name,
                    base: known.map(|known| known.revision),
                    before,
                    after: object,
                });
            }
        }
        if changes.is_empty() && violations.is_empty() {
            violations.push(Violation::NothingToChange);
        }
        Refused::check(violations)?;
        changes.sort_by(|a, b| a.name.cmp(&b.name));
        let mut plan = Self {
            id: ChangeId::new([0; 32]),
            planned_revision: intents.revision,
            affected: affected(intents, &changes),
            changes,
        };
        plan.id = plan.digest();
        plan.check(intents, rules)?;
        Ok(plan)
    }

    fn digest(&self) -> ChangeId {
        let content = PlanContent {
            planned_revision: self.planned_revision,
            changes: &self.changes,
            affected: &self.affected,
        };
        // Structs without maps of other types always have a JSON form.
        let bytes = serde_json::to_vec(&content).unwrap_or_default();
        ChangeId::new(Sha256::digest(bytes).into())
    }

    /// What the plan makes of each object.
    pub fn object_changes(&self) -> Vec<ObjectChange> {
        self.changes
            .iter()
            .map(|change| ObjectChange {
                name: change.name.clone(),
                object: change.after.clone(),
            })
            .collect()
    }

    /// Checks the configuration that the plan would make out of `intents`.
    pub fn check(&self, intents: &Intents, rules: &PlanRules) -> Result<(), Refused> {
        if self.digest() != self.id {
            return Refused::check(vec![Violation::Altered]);
        }
        let result = intents.clone().with_changes(&self.object_changes());
        let mut violations = Vec::new();
        for caller in affected(intents, &self.changes) {
            if let Some(intent) = result.caller(&caller) {
                CallerCheck {
                    caller: &caller,
                    intent,
                    result: &result,
                    violations: &mut violations,
                }
                .check(rules);
            }
        }
        Refused::check(violations)
    }
}

/// Callers that change, or that use something that changes.
fn affected(intents: &Intents, changes: &[PlannedChange]) -> Vec<CallerId> {
    let mut callers = BTreeSet::new();
    let mut targets = Vec::new();
    for change in changes {
        match &change.name {
            ObjectName::Caller(id) => {
                callers.insert(id.clone());
            }
            ObjectName::Model(id) => targets.push(Target::Model(id.clone())),
            ObjectName::Service(id) => targets.push(Target::Service(id.clone())),
        }
    }
    for (id, caller) in intents.callers() {
        if caller.targets.iter().any(|target| targets.contains(target)) {
            callers.insert(id.clone());
        }
    }
    callers.into_iter().collect()
}

#[derive(Debug)]
struct CallerCheck<'a> {
    caller: &'a CallerId,
    intent: &'a CallerIntent,
    result: &'a Intents,
    violations: &'a mut Vec<Violation>,
}

impl CallerCheck<'_> {
    fn check(mut self, rules: &PlanRules) {
        self.check_residency(rules);
        self.check_key();
        self.check_targets();
        self.check_ranges();
    }

    fn check_residency(&mut self, rules: &PlanRules) {
        let caller = self.caller;
        if !self.intent.regions.contains(&self.intent.home) {
            self.violations.push(Violation::HomeOutsideRegions {
                caller: caller.clone(),
                home: self.intent.home.clone(),
            });
        }
        let is_unknown =
            |region: &&RegionId| !rules.regions.is_empty() && !rules.regions.contains(region);
        for region in self.intent.regions.iter().filter(is_unknown) {
            self.violations.push(Violation::UnknownRegion {
                caller: caller.clone(),
                region: region.clone(),
            });
        }
    }

    fn check_key(&mut self) {
        for (other, intent) in self.result.callers() {
            if other != self.caller && intent.key_sha256 == self.intent.key_sha256 {
                self.violations.push(Violation::SharedKey {
                    caller: self.caller.clone(),
                    other: other.clone(),
                });
            }
        }
    }

    fn check_targets(&mut self) {
        let caller = self.caller;
        let budget = self.intent.budget_micros;
        if budget == CostMicros(0) {
            let caller = caller.clone();
            self.violations.push(Violation::ZeroBudget { caller });
        }
        if self.intent.targets.is_empty() {
            let caller = caller.clone();
            self.violations.push(Violation::NoTargets { caller });
        }
        for target in &self.intent.targets {
            match self.reference_price(target) {
                None => self.violations.push(Violation::UnknownTarget {
                    caller: caller.clone(),
                    target: target.clone(),
                }),
                Some(needed) if needed > budget && budget > CostMicros(0) => {
                    self.violations.push(Violation::FeeNotCovered {
                        caller: caller.clone(),
                        budget,
                        target: target.clone(),
                        needed,
                    });
                }
                Some(_) => {}
            }
        }
    }

    fn reference_price(&self, target: &Target) -> Option<CostMicros> {
        match target {
            Target::Model(id) => self
                .result
                .model(id)
                .map(|model| model.prefill_micros_per_ktok + model.decode_micros_per_ktok),
            Target::Service(id) => self.result.service(id).map(|service| service.call_micros),
        }
    }

    fn check_ranges(&mut self) {
        let intent = self.intent;
        let first_token = intent.first_token_ms;
        let deadline = intent.deadline_ms;
        let period = intent.period_ms;
        self.check_range(
            "first_token_ms",
            first_token,
            Millis(1) <= first_token && first_token <= deadline,
            format_compact!("1ms to the deadline, {deadline}"),
        );
        self.check_range(
            "deadline_ms",
            deadline,
            Millis(1) <= deadline && deadline <= MAX_DEADLINE,
            format_compact!("1ms to {MAX_DEADLINE}"),
        );
        self.check_range(
            "period_ms",
            period,
            (MIN_PERIOD..=MAX_PERIOD).contains(&period),
            format_compact!("{MIN_PERIOD} to {MAX_PERIOD}"),
        );
        self.check_range(
            "objective_permille",
            intent.objective_permille,
            (1..=999).contains(&intent.objective_permille),
            CompactString::from("1 to 999"),
        );
    }

    fn check_range<Value>(
        &mut self,
        key: &str,
        value: Value,
        is_valid: bool,
        expected: CompactString,
    ) where
        Value: fmt::Display,
    {
        if !is_valid {
            self.violations.push(Violation::OutOfRange {
                caller: self.caller.clone(),
                key: CompactString::from(key),
                value: format_compact!("{value}"),
                expected,
            });
        }
    }
}

/// One key of an object with its value as it is written in an intent file.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Field {
    key: &'static str,
    value: CompactString,
}

impl Field {
    fn new<Value>(key: &'static str, value: Value) -> Self
    where
        Value: fmt::Display,
    {
        let value = format_compact!("{value}");
        Self { key, value }
    }
}

fn list<Item>(items: &[Item]) -> String
where
    Item: ToString,
{
    let texts: Vec<String> = items.iter().map(ToString::to_string).collect();
    texts.join(", ")
}

fn fields(object: &Object) -> Vec<Field> {
    match object {
        Object::Caller(caller) => vec![
            Field::new("key_sha256", &caller.key_sha256),
            Field::new("home", &caller.home),
            Field::new("regions", list(&caller.regions)),
            Field::new("targets", list(&caller.targets)),
            Field::new("tier", caller.tier),
            Field::new("first_token_ms", caller.first_token_ms),
            Field::new("deadline_ms", caller.deadline_ms),
            Field::new("objective_permille", caller.objective_permille),
            Field::new("budget_micros", caller.budget_micros),
            Field::new("period_ms", caller.period_ms),
        ],
        Object::Model(model) => vec![
            Field::new("version", &model.version),
            Field::new("prefill_micros_per_ktok", model.prefill_micros_per_ktok),
            Field::new("decode_micros_per_ktok", model.decode_micros_per_ktok),
        ],
        Object::Service(service) => vec![
            Field::new("repeatable_methods", list(&service.repeatable_methods)),
            Field::new("call_micros", service.call_micros),
        ],
    }
}

impl fmt::Display for PlannedChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.base, &self.after) {
            (None, _) => writeln!(f, "add {}", self.name)?,
            (Some(base), Some(_)) => writeln!(f, "change {} (revision {base})", self.name)?,
            (Some(base), None) => writeln!(f, "remove {} (revision {base})", self.name)?,
        }
        let before = self.before.as_ref().map(fields).unwrap_or_default();
        let after = self.after.as_ref().map(fields).unwrap_or_default();
        let keys = if after.is_empty() { &before } else { &after };
        let value = |fields: &[Field], key: &str| {
            let field = fields.iter().find(|field| field.key == key);
            field.map_or("(none)".into(), |field| field.value.clone())
        };
        for Field { key, .. } in keys {
            let (before, after) = (value(&before, key), value(&after, key));
            if before != after {
                writeln!(f, "  {key}: {before} -> {after}")?;
            }
        }
        Ok(())
    }
}

impl fmt::Display for Plan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "plan {}", self.id)?;
        writeln!(f, "made against revision {}", self.planned_revision)?;
        f.write_char('\n')?;
        for change in &self.changes {
            writeln!(f, "{change}")?;
        }
        let affected = match self.affected.as_slice() {
            [] => "none".to_owned(),
            callers => list(callers),
        };
        writeln!(f, "affected callers: {affected}")
    }
}
