//! The burn report as an HTML page with plots.

use anyhow::anyhow;
use plotters::prelude::*;
use siskinstile_core::burn::{Cause, Snapshot, window::WINDOWS};

/// Width and height of a plot, in pixels.
const PLOT_SIZE_PX: (u32, u32) = (760, 340);
/// Fraction of a group's width that its bars cover together.
const GROUP_FILL: f64 = 0.8;
/// Ratio of the plot's width to that of all groups, which leaves space for the legend on the right.
const LEGEND_SCALE: f64 = 1.25;
/// Burn rate that consumes the error budget exactly by the end of its period.
const BREAK_EVEN_RATE: f64 = 1.0;

/// A group of bars, with the height of each bar.
struct Group {
    name: String,
    values: Vec<f64>,
}

/// Returns the report as an HTML page with inline SVG plots.
///
/// # Errors
///
/// Returns an error if a plot cannot be drawn.
pub(super) fn page(report: &Snapshot) -> anyhow::Result<String> {
    let windows: Vec<&str> = WINDOWS.iter().map(|it| it.name).collect();
    let burn_rates: Vec<Group> = report
        .services
        .iter()
        .map(|service| {
            let total = report.total(&service.service);
            let rates = total.windows.iter().map(|it| it.burn_rate(service.objective_percent));
            Group { name: service.service.to_string(), values: rates.collect() }
        })
        .collect();
    let causes: Vec<Group> = report
        .services
        .iter()
        .map(|service| {
            let total = report.total(&service.service);
            let count = |cause| total.causes.get(&cause).copied().unwrap_or(0.0);
            Group {
                name: service.service.to_string(),
                values: Cause::ALL.into_iter().map(count).collect(),
            }
        })
        .collect();
    let cause_names: Vec<&str> = Cause::ALL.iter().map(|it| it.as_str()).collect();
    let burn_rates =
        bars("Burn rate by service and window", &burn_rates, &windows, Some(BREAK_EVEN_RATE))?;
    let causes = bars("Requests that burned the budget, by cause", &causes, &cause_names, None)?;
    let mut table = Vec::new();
    super::text::write(&mut table, report)?;
    let table = escape(&String::from_utf8_lossy(&table));
    Ok(format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Burn report</title>\
         <body style=\"font-family: sans-serif; margin: 2em\"><h1>Burn report</h1>\
         {burn_rates}{causes}<pre>{table}</pre></body></html>\n"
    ))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// Returns an SVG bar chart, with one colour per name and a horizontal line at `reference`.
fn bars(
    title: &str,
    groups: &[Group],
    names: &[&str],
    reference: Option<f64>,
) -> anyhow::Result<String> {
    let mut svg = String::new();
    draw(&mut svg, title, groups, names, reference).map_err(|error| anyhow!("plot: {error}"))?;
    Ok(svg)
}

fn draw(
    svg: &mut String,
    title: &str,
    groups: &[Group],
    names: &[&str],
    reference: Option<f64>,
) -> Result<(), Box<dyn std::error::Error>> {
    let root = SVGBackend::with_string(svg, PLOT_SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let highest = groups.iter().flat_map(|it| &it.values).copied().fold(BREAK_EVEN_RATE, f64::max);
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 18))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(50)
        .build_cartesian_2d(0.0..groups.len().max(1) as f64 * LEGEND_SCALE, 0.0..highest * 1.25)?;
    let label = |x: &f64| {
        let middle = (x.fract() - 0.5).abs() < 0.01;
        let group = groups.get(*x as usize).filter(|_| middle);
        group.map_or_else(String::new, |it| it.name.clone())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .max_light_lines(0)
        .x_labels(groups.len() * 2 * 2 + 1)
        .x_label_formatter(&label)
        .draw()?;
    let width = GROUP_FILL / names.len().max(1) as f64;
    for (index, name) in names.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let bar = |(group, it): (usize, &Group)| {
            let left = group as f64 + (1.0 - GROUP_FILL) / 2.0 + index as f64 * width;
            let height = it.values.get(index).copied().unwrap_or(0.0);
            Rectangle::new([(left, 0.0), (left + width * 0.9, height)], colour.filled())
        };
        chart
            .draw_series(groups.iter().enumerate().map(bar))?
            .label(*name)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], colour.filled()));
    }
    if let Some(reference) = reference {
        let line = [(0.0, reference), (groups.len().max(1) as f64, reference)];
        chart.draw_series(LineSeries::new(line, &BLACK))?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    root.present()?;
    Ok(())
}
