//! Validation of a whole document: names, references, ranges and addresses.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::resource::{Document, EndpointClass, Versioned};

/// An invalid field.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Path of the field.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

/// Maximum priority of a kind.
const MAX_PRIORITY: u8 = 15;
/// Maximum deadline of a kind, in milliseconds.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Maximum length of a resource name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// Returns all invalid fields of a document.
#[must_use]
pub fn problems(doc: &Document) -> Vec<Problem> {
    let mut problems = Problems::default();
    check_names(doc, &mut problems);
    check_pools(doc, &mut problems);
    check_models(doc, &mut problems);
    check_kinds(doc, &mut problems);
    check_endpoints(doc, &mut problems);
    check_roles(doc, &mut problems);
    check_teams(doc, &mut problems);
    problems.0
}

#[derive(Default)]
struct Problems(Vec<Problem>);

impl Problems {
    fn expect(&mut self, ok: bool, path: impl FnOnce() -> String, expected: &str) {
        if !ok {
            self.0.push(Problem { path: path(), expected: expected.to_owned() });
        }
    }

    fn expect_exists<T>(&mut self, targets: &BTreeMap<String, Versioned<T>>, name: &str, path: String, what: &str) {
        let expected = format!("the name of a {what} that exists, not {name:?}");
        self.expect(targets.contains_key(name), || path, &expected);
    }
}

fn check_names(doc: &Document, problems: &mut Problems) {
    for kind in crate::resource::ResourceKind::ALL {
        for (name, _) in doc.names(*kind) {
            let ok = !name.is_empty()
                && name.len() <= MAX_NAME_BYTES
                && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
            let path = || format!("{}.{name}", kind.plural());
            problems.expect(ok, path, "a name of 1 to 128 letters, digits, '-', '_' or '.'");
        }
    }
}

fn check_pools(doc: &Document, problems: &mut Problems) {
    for (name, pool) in &doc.pools {
        for model in &pool.spec.models {
            problems.expect_exists(&doc.models, model, format!("pools.{name}.models"), "model");
        }
        let rates = pool.spec.rates;
        let at = |field: &str| format!("pools.{name}.rates.{field}");
        problems.expect(rates.prefill > 0.0, || at("prefill"), "a number above 0");
        problems.expect(rates.step > 0.0, || at("step"), "a number above 0");
        problems.expect(rates.step_per_seq >= 0.0, || at("step_per_seq"), "a number from 0");
        problems.expect(rates.slots > 0, || at("slots"), "a whole number from 1");
    }
}

fn check_models(doc: &Document, problems: &mut Problems) {
    for (name, model) in &doc.models {
        problems.expect_exists(&doc.versions, &model.spec.version, format!("models.{name}.version"), "version");
    }
    for (name, version) in &doc.versions {
        problems.expect_exists(&doc.models, &version.spec.model, format!("versions.{name}.model"), "model");
    }
    for (name, adapter) in &doc.adapters {
        problems.expect_exists(&doc.models, &adapter.spec.model, format!("adapters.{name}.model"), "model");
    }
}

fn check_kinds(doc: &Document, problems: &mut Problems) {
    for (name, kind) in &doc.kinds {
        let at = |field: &str| format!("kinds.{name}.{field}");
        let spec = &kind.spec;
        problems.expect(spec.priority <= MAX_PRIORITY, || at("priority"), "a whole number from 0 to 15");
        let weight_ok = spec.weight.is_finite() && spec.weight > 0.0;
        problems.expect(weight_ok, || at("weight"), "a number above 0");
        let deadline_ok = (1..=MAX_DEADLINE_MS).contains(&spec.deadline_ms);
        problems.expect(deadline_ok, || at("deadline_ms"), "milliseconds from 1 to 3600000");
        problems.expect(spec.output_tokens > 0, || at("output_tokens"), "a whole number from 1");
        let key_ok = !(spec.key_required && spec.repeatable);
        problems.expect(key_ok, || at("key_required"), "false for a repeatable kind");
    }
}

fn check_endpoints(doc: &Document, problems: &mut Problems) {
    for (name, endpoint) in &doc.endpoints {
        let spec = &endpoint.spec;
        let at = |field: &str| format!("endpoints.{name}.{field}");
        problems.expect_exists(&doc.pools, &spec.pool, at("pool"), "pool");
        let address_ok = spec.address.parse::<SocketAddr>().is_ok();
        problems.expect(address_ok, || at("address"), "an IP number and a port, as in 10.0.0.1:8000");
        let Some(pool) = doc.pools.get(&spec.pool) else { continue };
        let is_plain = spec.role == dahliaseam_core::endpoint::Role::Plain;
        let role_ok = is_plain == (pool.spec.endpoints == EndpointClass::Plain);
        problems.expect(role_ok, || at("role"), "'plain' in a pool of plain services, and only there");
        for item in &spec.load {
            let known = doc.versions.contains_key(item) || doc.adapters.contains_key(item);
            problems.expect(known, || at("load"), "names of versions or adapters that exist");
        }
    }
}

fn check_roles(doc: &Document, problems: &mut Problems) {
    for (name, role) in &doc.roles {
        problems.expect_exists(&doc.pools, name, format!("roles.{name}"), "pool");
        for endpoint in role.spec.fixed.keys() {
            problems.expect_exists(&doc.endpoints, endpoint, format!("roles.{name}.fixed"), "endpoint");
        }
        let planner = role.spec.planner;
        let at = |field: &str| format!("roles.{name}.planner.{field}");
        problems.expect(planner.price >= 0.0, || at("price"), "a number from 0");
        problems.expect(planner.horizon_seconds > 0.0, || at("horizon_seconds"), "a number above 0");
        problems.expect(planner.change_seconds >= 0.0, || at("change_seconds"), "a number from 0");
    }
}

fn check_teams(doc: &Document, problems: &mut Problems) {
    for (name, team) in &doc.teams {
        let ok = team.spec.rate.is_finite() && team.spec.rate > 0.0;
        problems.expect(ok, || format!("teams.{name}.rate"), "requests a second above 0");
    }
}
