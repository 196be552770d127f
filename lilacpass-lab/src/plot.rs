//! Plots of a comparison over time: processor use, waiting steps and lost worth, which is the part of the jobs' worth
//! that they did not earn, because they ended late or not at all. Each policy is one line, which shows the mean over
//! the seeds.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
};
use plotters::style::{BLACK, WHITE};

use crate::{
    error::{Error, Result},
    outcome::Outcome,
    report::Comparison,
};

/// Width and height of a plot.
const SIZE_PX: (u32, u32) = (900, 420);
const MARGIN_PX: i32 = 12;
const LABELS_PX: i32 = 48;
/// Length of the sample line next to each name in the legend.
const LEGEND_PX: i32 = 16;

/// Draws the plots into an existing folder.
pub fn draw(comparison: &Comparison, folder: &Path) -> Result<()> {
    let name = &comparison.scenario;
    draw_one(
        comparison,
        &folder.join(format!("{name}-use.svg")),
        "processors in use",
        |outcome| outcome.use_by_s.clone(),
    )?;
    draw_one(
        comparison,
        &folder.join(format!("{name}-waiting.svg")),
        "waiting steps",
        |outcome| outcome.waiting_by_s.iter().map(|&steps| steps as f64).collect(),
    )?;
    draw_one(comparison, &folder.join(format!("{name}-lost.svg")), "lost worth", |outcome| {
        outcome.lost_by_s.clone()
    })
}

fn draw_one(
    comparison: &Comparison,
    path: &Path,
    caption: &str,
    values: impl Fn(&Outcome) -> Vec<f64>,
) -> Result<()> {
    let lines: Vec<(&str, Vec<f64>)> = comparison
        .by_policy()
        .into_iter()
        .map(|(policy, outcomes)| (policy, mean_over_seeds(&outcomes, &values)))
        .filter(|(_, line)| !line.is_empty())
        .collect();
    let max_length_s = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(1);
    let max_value = lines.iter().flat_map(|(_, line)| line).copied().fold(0.0, f64::max).max(1e-9);
    let plot_error = |err: &dyn std::fmt::Display| Error::Plot(err.to_string());
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|err| plot_error(&err))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PX)
        .x_label_area_size(LABELS_PX)
        .y_label_area_size(LABELS_PX)
        .build_cartesian_2d(0..max_length_s, 0.0..max_value * 1.05)
        .map_err(|err| plot_error(&err))?;
    chart
        .configure_mesh()
        .x_desc("seconds")
        .y_desc(caption)
        .draw()
        .map_err(|err| plot_error(&err))?;
    for (number, (policy, line)) in lines.into_iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.into_iter().enumerate(), &colour))
            .map_err(|err| plot_error(&err))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_PX, y)], colour));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|err| plot_error(&err))?;
    area.present().map_err(|err| plot_error(&err))
}

fn mean_over_seeds(outcomes: &[&Outcome], values: impl Fn(&Outcome) -> Vec<f64>) -> Vec<f64> {
    let lines: Vec<Vec<f64>> = outcomes.iter().map(|outcome| values(outcome)).collect();
    let min_length = lines.iter().map(Vec::len).min().unwrap_or(0);
    let mean = |s: usize| lines.iter().map(|line| line[s]).sum::<f64>() / lines.len() as f64;
    (0..min_length).map(mean).collect()
}
