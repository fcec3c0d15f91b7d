//! Formatting of results.

use dahliaseam_wire::operator::{DeploymentStatus, RequestRecord, Resource, WatchEvent};
use serde::Serialize;
use serde_json::Value;

/// Output format of results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Output {
    /// Aligned columns, for people.
    #[default]
    Table,
    /// JSON, for programs.
    Json,
}

impl std::str::FromStr for Output {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "table" => Ok(Self::Table),
            "json" => Ok(Self::Json),
            _ => Err("expected table or json".to_owned()),
        }
    }
}

/// A result that can be formatted as a table.
pub trait Tabular: Serialize {
    /// Rows of the table; the first one is the header, if the table has one.
    fn rows(&self) -> Vec<Vec<String>>;
}

impl Output {
    /// Formats a result.
    #[must_use]
    pub fn text(self, result: &impl Tabular) -> String {
        match self {
            Self::Json => serde_json::to_string_pretty(result).unwrap_or_default() + "\n",
            Self::Table => align_columns(&result.rows()),
        }
    }

    /// Formats one event of a watch as a line without a line break.
    #[must_use]
    pub fn line(self, event: &WatchEvent) -> String {
        match (self, event) {
            (Self::Json, _) => serde_json::to_string(event).unwrap_or_default(),
            (Self::Table, WatchEvent::Put { resource }) => {
                format!("{} {} {}", resource.name, resource.resource_version, summary(&resource.status))
            }
            (Self::Table, WatchEvent::Delete { name, generation, .. }) => format!("{name} {generation} deleted"),
        }
    }
}

fn align_columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| rows.iter().filter_map(|row| row.get(i)).map(String::len).max().unwrap_or(0);
    let widths: Vec<_> = (0..count).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned() + "\n"
    };
    rows.iter().map(line).collect()
}

/// Summary of a status: its fields that are neither objects nor arrays nor null.
fn summary(status: &Value) -> String {
    let Some(fields) = status.as_object() else { return String::new() };
    let scalars = fields.iter().filter(|(_, v)| !v.is_object() && !v.is_array() && !v.is_null());
    let pairs = scalars.map(|(name, value)| match value {
        Value::String(text) => format!("{name}={text}"),
        other => format!("{name}={other}"),
    });
    pairs.collect::<Vec<_>>().join(" ")
}

fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| (*cell).to_owned()).collect()
}

impl Tabular for Vec<Resource> {
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![row(&["NAME", "VERSION", "STATUS"])];
        rows.extend(self.iter().map(|r| vec![r.name.clone(), r.resource_version.to_string(), summary(&r.status)]));
        rows
    }
}

impl Tabular for Resource {
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![row(&["name", &self.name]), row(&["version", &self.resource_version.to_string()])];
        for (section, value) in [("spec", &self.spec), ("status", &self.status)] {
            let fields = value.as_object().into_iter().flatten();
            rows.extend(fields.map(|(field, value)| vec![format!("{section}.{field}"), value.to_string()]));
        }
        rows
    }
}

impl Tabular for DeploymentStatus {
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows = vec![row(&["VM", "HALL", "READY", "STANDING", "GENERATION", "HELD", "WAITING", "SHARDS"])];
        rows.extend(self.vms.iter().map(|vm| {
            let shards = vm.shards.iter().map(|(name, epoch)| format!("{name}@{epoch}"));
            vec![
                vm.vm.clone(),
                vm.hall.clone(),
                vm.ready.to_string(),
                vm.standing.clone(),
                vm.generation.to_string(),
                vm.held.to_string(),
                vm.waiting.to_string(),
                shards.collect::<Vec<_>>().join(","),
            ]
        }));
        rows.extend(self.silent.iter().map(|vm| row(&[vm, "", "", "does not answer"])));
        rows
    }
}

impl Tabular for RequestRecord {
    fn rows(&self) -> Vec<Vec<String>> {
        let ms = |value: Option<f64>| value.map_or_else(|| "-".to_owned(), |ms| format!("{ms:.1} ms"));
        let mut rows = vec![
            row(&["request", &self.request]),
            row(&["kind", &self.kind, "team", &self.team, "pool", &self.pool]),
            vec!["outcome".into(), variant_name(&self.outcome), variant_name(&self.refusal)],
            vec![
                "took".into(),
                ms(self.took_ms.map(|ms| ms as f64)),
                "of".into(),
                format!("{} ms", self.deadline_ms),
                format!("{} prompt tokens", self.prompt_tokens),
            ],
        ];
        for a in &self.attempts {
            let via = a.prefill.as_ref().map(|p| format!("prefill at {p}")).unwrap_or_default();
            rows.push(vec![
                format!("attempt {}", a.attempt),
                a.endpoint.clone(),
                variant_name(&a.reason),
                format!("predicted {:.1} ms, first token {}", a.predicted_first_ms, ms(a.first_ms)),
                format!("{} tokens, {}", a.tokens, variant_name(&a.end)),
                via,
            ]);
            rows.extend(a.candidates.iter().map(candidate_row));
        }
        rows.extend(self.seen.iter().map(candidate_row));
        rows
    }
}

fn candidate_row(c: &dahliaseam_wire::operator::CandidateRecord) -> Vec<String> {
    let skipped = c.skipped.map(|s| format!("skipped: {}", variant_name(&s))).unwrap_or_default();
    vec![
        "  candidate".into(),
        c.endpoint.clone(),
        c.prefill.as_ref().map(|p| format!("prefill at {p}")).unwrap_or_default(),
        format!("first token in {:.1} ms, whole answer in {:.1} ms", c.first_ms, c.whole_ms),
        skipped,
    ]
}

/// Serialized name of a unit variant; `-` for any other value.
fn variant_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(Value::String(text)) => text,
        _ => "-".to_owned(),
    }
}
