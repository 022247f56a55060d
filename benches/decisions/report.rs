//! Writes the results of an experiment as a table (Markdown) and a plot (SVG).

use std::{fmt::Write, fs, path::PathBuf};

use plotters::prelude::*;

/// Results of one strategy: for each seed, the value of each measure.
pub struct StrategyResults {
    pub label: &'static str,
    pub values: Vec<Vec<f64>>,
}

fn folder() -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs/measurements");
    fs::create_dir_all(&folder).expect("docs/measurements can't be created");
    folder
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Writes and prints the table: median and worst (largest) value of each measure, for each
/// strategy.
pub fn write_table(name: &str, about: &str, measures: &[&str], strategies: &[StrategyResults]) {
    let seeds = strategies.first().map_or(0, |strategy| strategy.values.len());
    let mut text = format!("# {name}\n\n{about}\n\n");
    let _ = writeln!(
        text,
        "`cargo bench --bench decisions -- {name}`, {seeds} seeds; median (worst).\n"
    );
    let _ = writeln!(text, "| way | {} |", measures.join(" | "));
    let _ = writeln!(text, "|---|{}", "---|".repeat(measures.len()));
    for strategy in strategies {
        let cells: Vec<String> = (0..measures.len())
            .map(|measure| {
                let values: Vec<f64> = strategy.values.iter().map(|seed| seed[measure]).collect();
                let worst = values.iter().copied().fold(f64::MIN, f64::max);
                format!("{:.2} ({worst:.2})", median(&values))
            })
            .collect();
        let _ = writeln!(text, "| {} | {} |", strategy.label, cells.join(" | "));
    }
    let _ = writeln!(text, "\n![{name}]({name}.svg)");
    println!("{text}");
    fs::write(folder().join(format!("{name}.md")), text).expect("the table can't be written");
}

/// Plots one measure by seed, with a line for each strategy.
pub fn plot_seeds(name: &str, measure: &str, index: usize, strategies: &[StrategyResults]) {
    let series: Vec<(&str, Vec<(f64, f64)>)> = strategies
        .iter()
        .map(|strategy| {
            let points = strategy.values.iter().enumerate();
            let points = points.map(|(seed, values)| (seed as f64 + 1.0, values[index])).collect();
            (strategy.label, points)
        })
        .collect();
    plot_lines(name, "seed", measure, &series);
}

/// Writes a plot with a line for each series.
pub fn plot_lines(name: &str, x_label: &str, y_label: &str, series: &[(&str, Vec<(f64, f64)>)]) {
    let path = folder().join(format!("{name}.svg"));
    let points = || series.iter().flat_map(|(_, points)| points.iter());
    let max_of = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(1e-9, f64::max);
    let (x_max, y_max) = (max_of(|point| point.0), max_of(|point| point.1) * 1.1);
    let area = SVGBackend::new(&path, (760, 380)).into_drawing_area();
    area.fill(&WHITE).expect("the plot can't be drawn");
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_max, 0.0..y_max)
        .expect("the plot can't be drawn");
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw().expect("the plot can't be drawn");
    for (index, (label, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
            .expect("the plot can't be drawn")
            .label(*label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .expect("the plot can't be drawn");
    area.present().expect("the plot can't be written");
}
