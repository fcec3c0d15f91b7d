//! Checks of a whole document: references, ranges and addresses.

use std::{collections::BTreeMap, net::SocketAddr};

use serde::{Deserialize, Serialize};

use crate::resource::{Document, EndpointClass, Versioned};

/// A field that is wrong.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Where it is.
    pub path: String,
    /// What was expected there.
    pub expected: String,
}

/// Highest priority of a kind.
const MAX_PRIORITY: u8 = 15;
/// Longest deadline of a kind.
const MAX_DEADLINE_MS: u64 = 3_600_000;
/// Longest name of a resource, in bytes.
const MAX_NAME: usize = 128;

/// All that is wrong in a document.
#[must_use]
pub fn problems(doc: &Document) -> Vec<Problem> {
    let mut found = Found::default();
    names(doc, &mut found);
    pools(doc, &mut found);
    models(doc, &mut found);
    kinds(doc, &mut found);
    endpoints(doc, &mut found);
    roles(doc, &mut found);
    teams(doc, &mut found);
    found.0
}

#[derive(Default)]
struct Found(Vec<Problem>);

impl Found {
    fn expect(&mut self, holds: bool, path: impl FnOnce() -> String, expected: &str) {
        if !holds {
            self.0.push(Problem { path: path(), expected: expected.to_owned() });
        }
    }

    fn reference<T>(&mut self, to: &BTreeMap<String, Versioned<T>>, name: &str, path: String, what: &str) {
        let expected = format!("the name of a {what} that exists, not {name:?}");
        self.expect(to.contains_key(name), || path, &expected);
    }
}

fn names(doc: &Document, found: &mut Found) {
    for kind in crate::resource::ResourceKind::ALL {
        for (name, _) in doc.names(*kind) {
            let ok = !name.is_empty()
                && name.len() <= MAX_NAME
                && name.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
            let path = || format!("{}.{name}", kind.plural());
            found.expect(ok, path, "a name of 1 to 128 letters, digits, '-', '_' or '.'");
        }
    }
}

fn pools(doc: &Document, found: &mut Found) {
    for (name, pool) in &doc.pools {
        for model in &pool.spec.models {
            found.reference(&doc.models, model, format!("pools.{name}.models"), "model");
        }
        let rates = pool.spec.rates;
        let at = |field: &str| format!("pools.{name}.rates.{field}");
        found.expect(rates.prefill > 0.0, || at("prefill"), "a number above 0");
        found.expect(rates.step > 0.0, || at("step"), "a number above 0");
        found.expect(rates.step_per_seq >= 0.0, || at("step_per_seq"), "a number from 0");
        found.expect(rates.slots > 0, || at("slots"), "a whole number from 1");
    }
}

fn models(doc: &Document, found: &mut Found) {
    for (name, model) in &doc.models {
        found.reference(&doc.versions, &model.spec.version, format!("models.{name}.version"), "version");
    }
    for (name, version) in &doc.versions {
        found.reference(&doc.models, &version.spec.model, format!("versions.{name}.model"), "model");
    }
    for (name, adapter) in &doc.adapters {
        found.reference(&doc.models, &adapter.spec.model, format!("adapters.{name}.model"), "model");
    }
}

fn kinds(doc: &Document, found: &mut Found) {
    for (name, kind) in &doc.kinds {
        let at = |field: &str| format!("kinds.{name}.{field}");
        let spec = &kind.spec;
        found.expect(spec.priority <= MAX_PRIORITY, || at("priority"), "a whole number from 0 to 15");
        let weighs = spec.weight.is_finite() && spec.weight > 0.0;
        found.expect(weighs, || at("weight"), "a number above 0");
        let timed = (1..=MAX_DEADLINE_MS).contains(&spec.deadline_ms);
        found.expect(timed, || at("deadline_ms"), "milliseconds from 1 to 3600000");
        found.expect(spec.output_tokens > 0, || at("output_tokens"), "a whole number from 1");
        let keyed = !(spec.key_required && spec.repeatable);
        found.expect(keyed, || at("key_required"), "false for a repeatable kind");
    }
}

fn endpoints(doc: &Document, found: &mut Found) {
    for (name, endpoint) in &doc.endpoints {
        let spec = &endpoint.spec;
        let at = |field: &str| format!("endpoints.{name}.{field}");
        found.reference(&doc.pools, &spec.pool, at("pool"), "pool");
        let addressed = spec.address.parse::<SocketAddr>().is_ok();
        found.expect(addressed, || at("address"), "an IP number and a port, as in 10.0.0.1:8000");
        let Some(pool) = doc.pools.get(&spec.pool) else { continue };
        let plain = spec.role == dahliaseam_core::endpoint::Role::Plain;
        let fits = plain == (pool.spec.endpoints == EndpointClass::Plain);
        found.expect(fits, || at("role"), "'plain' in a pool of plain services, and only there");
        for item in &spec.load {
            let known = doc.versions.contains_key(item) || doc.adapters.contains_key(item);
            found.expect(known, || at("load"), "names of versions or adapters that exist");
        }
    }
}

fn roles(doc: &Document, found: &mut Found) {
    for (name, role) in &doc.roles {
        found.reference(&doc.pools, name, format!("roles.{name}"), "pool");
        for endpoint in role.spec.fixed.keys() {
            found.reference(&doc.endpoints, endpoint, format!("roles.{name}.fixed"), "endpoint");
        }
        let planner = role.spec.planner;
        let at = |field: &str| format!("roles.{name}.planner.{field}");
        found.expect(planner.price >= 0.0, || at("price"), "a number from 0");
        found.expect(planner.horizon_seconds > 0.0, || at("horizon_seconds"), "a number above 0");
        found.expect(planner.change_seconds >= 0.0, || at("change_seconds"), "a number from 0");
    }
}

fn teams(doc: &Document, found: &mut Found) {
    for (name, team) in &doc.teams {
        let ok = team.spec.rate.is_finite() && team.spec.rate > 0.0;
        found.expect(ok, || format!("teams.{name}.rate"), "requests a second above 0");
    }
}
