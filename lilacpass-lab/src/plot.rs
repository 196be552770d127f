//! Plots of a comparison over time: use of processors, waiting steps, lost worth. One line a policy, means
//! over the seeds.

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

const SIZE_PX: (u32, u32) = (900, 420);
const MARGIN_PX: i32 = 12;
const LABELS_PX: i32 = 48;
/// Length of the line beside a name in the legend.
const LEGEND_PX: i32 = 16;

/// Draws the plots into a folder, which must exist.
pub fn draw(comparison: &Comparison, folder: &Path) -> Result<()> {
    let name = &comparison.scenario;
    draw_one(comparison, &folder.join(format!("{name}-use.svg")), "processors in use", |play| {
        play.use_by_s.clone()
    })?;
    draw_one(comparison, &folder.join(format!("{name}-waiting.svg")), "waiting steps", |play| {
        play.waiting_by_s.iter().map(|&steps| steps as f64).collect()
    })?;
    draw_one(comparison, &folder.join(format!("{name}-lost.svg")), "lost worth", |play| {
        play.lost_by_s.clone()
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
        .map(|(policy, plays)| (policy, mean_by_s(&plays, &values)))
        .filter(|(_, line)| !line.is_empty())
        .collect();
    let longest_s = lines.iter().map(|(_, line)| line.len()).max().unwrap_or(1);
    let most = lines.iter().flat_map(|(_, line)| line).copied().fold(0.0, f64::max).max(1e-9);
    let failed = |err: &dyn std::fmt::Display| Error::Plot(err.to_string());
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(|err| failed(&err))?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PX)
        .x_label_area_size(LABELS_PX)
        .y_label_area_size(LABELS_PX)
        .build_cartesian_2d(0..longest_s, 0.0..most * 1.05)
        .map_err(|err| failed(&err))?;
    chart.configure_mesh().x_desc("seconds").y_desc(caption).draw().map_err(|err| failed(&err))?;
    for (number, (policy, line)) in lines.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        chart
            .draw_series(LineSeries::new(line.into_iter().enumerate(), &color))
            .map_err(|err| failed(&err))?
            .label(policy)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + LEGEND_PX, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|err| failed(&err))?;
    area.present().map_err(|err| failed(&err))
}

fn mean_by_s(plays: &[&Outcome], values: impl Fn(&Outcome) -> Vec<f64>) -> Vec<f64> {
    let lines: Vec<Vec<f64>> = plays.iter().map(|play| values(play)).collect();
    let shortest = lines.iter().map(Vec::len).min().unwrap_or(0);
    let mean = |s: usize| lines.iter().map(|line| line[s]).sum::<f64>() / lines.len() as f64;
    (0..shortest).map(mean).collect()
}
