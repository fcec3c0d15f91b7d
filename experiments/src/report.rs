//! Medians and ranges over seeds, as tables, CSV and plots.

use std::{error::Error, fmt::Write, path::Path};

use plotters::prelude::*;

use crate::world::Outcome;

/// Runs of one setting, one for each seed.
#[derive(Clone, Debug)]
pub struct Cell {
    /// Name of the scenario.
    pub scenario: String,
    /// Name of the policy.
    pub policy: String,
    /// Value on the x axis, such as the load.
    pub x: f64,
    /// Outcomes of the runs.
    pub runs: Vec<Outcome>,
}

/// Median and range of a value.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Median.
    pub median: f64,
    /// Minimum.
    pub low: f64,
    /// Maximum.
    pub high: f64,
}

impl Cell {
    /// Returns the median and range of a value over the seeds.
    #[must_use]
    pub fn spread(&self, value_of: impl Fn(&Outcome) -> f64) -> Spread {
        let mut values: Vec<_> = self.runs.iter().map(value_of).collect();
        values.sort_by(f64::total_cmp);
        let value_at = |i: usize| values.get(i).copied().unwrap_or(0.0);
        Spread { median: value_at(values.len() / 2), low: value_at(0), high: value_at(values.len().saturating_sub(1)) }
    }
}

/// Returns the goodput as a fraction of the upper bound.
#[must_use]
pub fn goodput_ratio(outcome: &Outcome) -> f64 {
    outcome.goodput / outcome.bound.max(f64::MIN_POSITIVE)
}

/// Returns a Markdown table.
#[must_use]
pub fn table(cells: &[Cell]) -> String {
    let mut out = String::from(
        "| scenario | policy | goodput/bound | range | long prompts in time | short prompts in time | refused | late | \
         wasted | changes |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n",
    );
    for cell in cells {
        let goodput = cell.spread(goodput_ratio);
        let median = |value_of: fn(&Outcome) -> f64| cell.spread(value_of).median;
        let _ = writeln!(
            out,
            "| {} | {} | {:.3} | {:.3} to {:.3} | {:.4} | {:.4} | {:.0} | {:.0} | {:.3} | {:.0} |",
            cell.scenario,
            cell.policy,
            goodput.median,
            goodput.low,
            goodput.high,
            median(|o| o.in_time[0]),
            median(|o| o.in_time[1]),
            median(|o| o.refused as f64),
            median(|o| o.late as f64),
            median(|o| o.wasted),
            median(|o| o.changes as f64),
        );
    }
    out
}

/// Returns CSV with one line for each run.
#[must_use]
pub fn csv(cells: &[Cell]) -> String {
    let mut out = String::from(
        "scenario,policy,x,seed,goodput,bound,offered,in_time_long,in_time_short,refused,late,wasted,changes\n",
    );
    for cell in cells {
        for (seed, o) in cell.runs.iter().enumerate() {
            let _ = writeln!(
                out,
                "{},{},{},{seed},{:.1},{:.1},{:.1},{:.4},{:.4},{},{},{:.4},{}",
                cell.scenario,
                cell.policy,
                cell.x,
                o.goodput,
                o.bound,
                o.offered,
                o.in_time[0],
                o.in_time[1],
                o.refused,
                o.late,
                o.wasted,
                o.changes,
            );
        }
    }
    out
}

/// Plots the goodput over `x` as SVG, with one line for each policy.
///
/// # Errors
/// If the file cannot be written.
pub fn plot(path: &Path, title: &str, cells: &[Cell]) -> Result<(), Box<dyn Error>> {
    let root = SVGBackend::new(path, (720, 440)).into_drawing_area();
    root.fill(&WHITE)?;
    let xs = || cells.iter().map(|c| c.x);
    let (low, high) = (xs().fold(f64::MAX, f64::min), xs().fold(f64::MIN, f64::max));
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(48)
        .build_cartesian_2d(low..high, 0.0..1.05)?;
    chart.configure_mesh().x_desc("load/capacity").y_desc("goodput/bound").draw()?;
    let mut policies: Vec<_> = cells.iter().map(|c| c.policy.clone()).collect();
    policies.dedup();
    policies.sort();
    policies.dedup();
    for (n, policy) in policies.iter().enumerate() {
        let color = Palette99::pick(n).mix(1.0);
        let points_of_policy = cells.iter().filter(|c| c.policy == *policy);
        let points: Vec<_> = points_of_policy.map(|c| (c.x, c.spread(goodput_ratio).median)).collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))?
            .label(policy.as_str())
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], color.stroke_width(2)));
    }
    chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    root.present()?;
    Ok(())
}
