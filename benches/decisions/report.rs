//! Tables (Markdown) and plots (SVG) of an experiment.

use std::{fmt::Write, fs, path::PathBuf};

use plotters::prelude::*;

/// Results of one way over all seeds: the value of each measure, by seed.
pub struct WayResults {
    pub way: &'static str,
    pub values: Vec<Vec<f64>>,
}

fn folder() -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs/measurements");
    fs::create_dir_all(&folder).expect("docs/measurements can be made");
    folder
}

fn median(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted[sorted.len() / 2]
}

/// Writes the table: median and worst (the largest) of each measure for each way. Prints
/// it too.
pub fn write_table(name: &str, about: &str, measures: &[&str], ways: &[WayResults]) {
    let seeds = ways.first().map_or(0, |way| way.values.len());
    let mut text = format!("# {name}\n\n{about}\n\n");
    let _ = writeln!(
        text,
        "`cargo bench --bench decisions -- {name}`, {seeds} seeds; median (worst).\n"
    );
    let _ = writeln!(text, "| way | {} |", measures.join(" | "));
    let _ = writeln!(text, "|---|{}", "---|".repeat(measures.len()));
    for way in ways {
        let cells: Vec<String> = (0..measures.len())
            .map(|measure| {
                let values: Vec<f64> = way.values.iter().map(|seed| seed[measure]).collect();
                let worst = values.iter().copied().fold(f64::MIN, f64::max);
                format!("{:.2} ({worst:.2})", median(&values))
            })
            .collect();
        let _ = writeln!(text, "| {} | {} |", way.way, cells.join(" | "));
    }
    let _ = writeln!(text, "\n![{name}]({name}.svg)");
    println!("{text}");
    fs::write(folder().join(format!("{name}.md")), text).expect("the table is written");
}

/// Plots one measure of each way, seed by seed.
pub fn plot_seeds(name: &str, measure: &str, index: usize, ways: &[WayResults]) {
    let series: Vec<(&str, Vec<(f64, f64)>)> = ways
        .iter()
        .map(|way| {
            let points = way.values.iter().enumerate();
            let points = points.map(|(seed, values)| (seed as f64 + 1.0, values[index])).collect();
            (way.way, points)
        })
        .collect();
    plot_lines(name, "seed", measure, &series);
}

/// Plots lines.
pub fn plot_lines(name: &str, x_label: &str, y_label: &str, series: &[(&str, Vec<(f64, f64)>)]) {
    let path = folder().join(format!("{name}.svg"));
    let points = || series.iter().flat_map(|(_, points)| points.iter());
    let most = |pick: fn(&(f64, f64)) -> f64| points().map(pick).fold(1e-9, f64::max);
    let (x_most, y_most) = (most(|point| point.0), most(|point| point.1) * 1.1);
    let area = SVGBackend::new(&path, (760, 380)).into_drawing_area();
    area.fill(&WHITE).expect("the plot is drawn");
    let mut chart = ChartBuilder::on(&area)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..x_most, 0.0..y_most)
        .expect("the plot is drawn");
    chart.configure_mesh().x_desc(x_label).y_desc(y_label).draw().expect("the plot is drawn");
    for (index, (label, points)) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(points.iter().copied(), color.stroke_width(2)))
            .expect("the plot is drawn")
            .label(*label)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .expect("the plot is drawn");
    area.present().expect("the plot is written");
}
