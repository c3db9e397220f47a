//! Draws the plots of a run as SVG.
use super::series::{CallOutcome, Interval, TimeSeries};
use plotters::coord::Shift;
use plotters::prelude::*;

const WIDTH_PX: u32 = 960;
const HEIGHT_PX: u32 = 230;
/// Maximum number of rows in the plot of intervals: a run with many drains has thousands of intervals.
const MAX_ROWS: usize = 40;
const ROW_HEIGHT_PX: u32 = 18;

const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(23, 190, 207),
];

/// A line of a chart: its name and one value for each bucket.
struct Line {
    name: String,
    values: Vec<f64>,
}

impl Line {
    fn new(name: impl Into<String>, values: &[u32], scale: f64) -> Line {
        Line { name: name.into(), values: values.iter().map(|v| f64::from(*v) * scale).collect() }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn render_svg(height: u32, draw: impl FnOnce(&Area) -> Result<(), String>) -> Result<String, String> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, height)).into_drawing_area();
        draw(&area)?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(svg)
}

fn line_chart(title: &str, bucket_s: f64, lines: &[Line]) -> Result<String, String> {
    let buckets = lines.iter().map(|l| l.values.len()).max().unwrap_or(0);
    let end = (buckets as f64 * bucket_s).max(bucket_s);
    let highest = lines.iter().flat_map(|l| &l.values).copied().fold(1.0, f64::max);
    render_svg(HEIGHT_PX, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, 0.0..highest * 1.08)
            .map_err(|e| e.to_string())?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw().map_err(|e| e.to_string())?;
        for (number, line) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            // Drawn as steps, because a value applies to its whole bucket.
            let points = line.values.iter().enumerate().flat_map(|(at, v)| {
                let from = at as f64 * bucket_s;
                [(from, *v), (from + bucket_s, *v)]
            });
            chart
                .draw_series(LineSeries::new(points, &colour))
                .map_err(|e| e.to_string())?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 14, y)], colour));
        }
        let labels = &mut chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).border_style(BLACK.mix(0.3));
        labels.draw().map_err(|e| e.to_string())
    })
}

/// Plots messages submitted and delivered per second.
pub fn load(series: &TimeSeries) -> Result<String, String> {
    let bucket = series.bucket as f64 / 1e6;
    let per_second = 1.0 / bucket;
    let chart_lines = [
        Line::new("submitted", &series.submitted, per_second),
        Line::new("delivered", &series.delivered, per_second),
    ];
    line_chart("Messages per second", bucket, &chart_lines)
}

fn per_sender(title: &str, series: &TimeSeries, values: &[Vec<u32>]) -> Result<String, String> {
    let line = |(sender, values): (usize, &Vec<u32>)| Line::new(format!("sender {sender}"), values, 1.0);
    let chart_lines: Vec<Line> = values.iter().enumerate().map(line).collect();
    line_chart(title, series.bucket as f64 / 1e6, &chart_lines)
}

/// Plots the calls in flight of each sender.
pub fn calls_in_flight(series: &TimeSeries) -> Result<String, String> {
    per_sender("Calls in flight, highest in each bucket", series, &series.calls_in_flight)
}

/// Plots the queued messages of each sender.
pub fn queued(series: &TimeSeries) -> Result<String, String> {
    per_sender("Messages queued: accepted, not in flight, not finished", series, &series.queued)
}

/// Plots the calls that ended per second, by outcome.
pub fn call_outcomes(series: &TimeSeries) -> Result<String, String> {
    let bucket = series.bucket as f64 / 1e6;
    let line =
        |outcome: CallOutcome| Line::new(outcome.name(), &series.outcomes[outcome as usize], 1.0 / bucket);
    line_chart("Calls ended per second, by outcome", bucket, &CallOutcome::ALL.map(line))
}

/// Plots outages, stalls, restarts and endpoints that are not ready. Returns the plot with the number of rows
/// left out, or None if there is nothing to plot.
pub fn intervals(series: &TimeSeries) -> Result<Option<(String, usize)>, String> {
    let mut labels: Vec<&str> = Vec::new();
    for interval in &series.intervals {
        if !labels.contains(&interval.label.as_str()) {
            labels.push(&interval.label);
        }
    }
    if labels.is_empty() {
        return Ok(None);
    }
    let left_out = labels.len().saturating_sub(MAX_ROWS);
    labels.truncate(MAX_ROWS);
    let end = (series.submitted.len() as f64 * series.bucket as f64 / 1e6).max(1e-6);
    let rows = labels.len();
    let svg = render_svg(60 + ROW_HEIGHT_PX * rows as u32, |area| {
        let row_label = |row: &SegmentValue<usize>| match row {
            SegmentValue::CenterOf(row) => labels.get(*row).map_or(String::new(), |label| label.to_string()),
            _ => String::new(),
        };
        let mut chart = ChartBuilder::on(area)
            .caption("Faults and restarts", ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(210)
            .build_cartesian_2d(0.0..end, (0..rows).into_segmented())
            .map_err(|e| e.to_string())?;
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(WHITE).y_labels(rows).y_label_formatter(&row_label).x_desc("seconds");
        mesh.draw().map_err(|e| e.to_string())?;
        let bars = series.intervals.iter().filter_map(|interval| {
            let row = labels.iter().position(|label| *label == interval.label)?;
            Some(interval_bar(interval, row, end))
        });
        chart.draw_series(bars).map_err(|e| e.to_string())?;
        Ok(())
    })?;
    Ok(Some((svg, left_out)))
}

fn interval_bar(interval: &Interval, row: usize, end: f64) -> Rectangle<(f64, SegmentValue<usize>)> {
    let from = interval.from as f64 / 1e6;
    // An interval without length still needs a visible bar.
    let to = interval.to.map_or(end, |to| to as f64 / 1e6).max(from + end / 300.0);
    let colour = if interval.label.starts_with("destination") { COLOURS[1] } else { COLOURS[0] };
    let corners = [(from, SegmentValue::Exact(row)), (to.min(end), SegmentValue::Exact(row + 1))];
    let mut bar = Rectangle::new(corners, colour.mix(0.7).filled());
    bar.set_margin(3, 3, 0, 0);
    bar
}
