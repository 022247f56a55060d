//! Counters, gauges and histograms of one daemon, rendered in Prometheus' text format. Both
//! paths use it; names get the prefix `willowarch_`. Updates cannot fail and touch no I/O.

use std::{
    cell::RefCell,
    collections::BTreeMap,
    fmt::{Arguments, Write},
    rc::Rc,
    time::Duration,
};

use hdrhistogram::Histogram;

/// Quantiles rendered for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.95, 0.99, 0.999];
/// Significant digits of histograms: quantiles are exact to 1%.
const PRECISION: u8 = 2;
/// Largest duration in histograms, in microseconds: an hour, longer than any request. Longer
/// durations are recorded as this.
const HIGHEST_US: u64 = 3_600_000_000;

#[derive(Debug, Default)]
struct MetricsState {
    counters: BTreeMap<String, u64>,
    gauges: BTreeMap<String, f64>,
    histograms: BTreeMap<&'static str, Histogram<u64>>,
}

/// Handle to the daemon's metrics; clones share them.
#[derive(Clone, Debug, Default)]
pub struct MetricsHandle {
    state: Rc<RefCell<MetricsState>>,
}

impl MetricsHandle {
    /// Adds to a counter.
    pub fn count(&self, name: &str, amount: u64) {
        let mut state = self.state.borrow_mut();
        match state.counters.get_mut(name) {
            Some(counter) => *counter += amount,
            None => {
                state.counters.insert(name.to_owned(), amount);
            }
        }
    }

    /// Adds to a counter with one label.
    pub fn count_labelled(&self, name: &str, label: &str, value: &str) {
        self.count(&format!("{name}{{{label}=\"{value}\"}}"), 1);
    }

    /// Sets a gauge.
    pub fn gauge(&self, name: &str, value: f64) {
        self.state.borrow_mut().gauges.insert(name.to_owned(), value);
    }

    /// Records a duration, in microseconds.
    pub fn duration(&self, name: &'static str, value: Duration) {
        let mut state = self.state.borrow_mut();
        let histogram = state.histograms.entry(name).or_insert_with(new_histogram);
        histogram.saturating_record(value.as_micros() as u64);
    }

    /// Renders all metrics as text.
    pub fn render(&self) -> String {
        let state = self.state.borrow();
        let mut text = String::new();
        for (name, value) in &state.counters {
            push_line(&mut text, format_args!("willowarch_{name} {value}"));
        }
        for (name, value) in &state.gauges {
            push_line(&mut text, format_args!("willowarch_{name} {value}"));
        }
        for (name, histogram) in &state.histograms {
            for quantile in QUANTILES {
                let micros = histogram.value_at_quantile(quantile);
                push_line(
                    &mut text,
                    format_args!("willowarch_{name}_us{{quantile=\"{quantile}\"}} {micros}"),
                );
            }
            push_line(&mut text, format_args!("willowarch_{name}_us_count {}", histogram.len()));
        }
        text
    }
}

fn push_line(text: &mut String, line: Arguments<'_>) {
    // Writing to a string cannot fail.
    let _ = text.write_fmt(line);
    text.push('\n');
}

fn new_histogram() -> Histogram<u64> {
    // The arguments are constants within the allowed bounds.
    Histogram::new_with_max(HIGHEST_US, PRECISION).expect("constant histogram bounds")
}
