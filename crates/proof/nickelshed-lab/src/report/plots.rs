//! The plots of a day, as SVG.
use super::series::{Answer, Series, Stretch};
use plotters::coord::Shift;
use plotters::prelude::*;

const WIDE: u32 = 960;
const HIGH: u32 = 230;
/// Rows of stretches that one plot shows at most: a day of drains has thousands.
const ROWS: usize = 40;
const ROW: u32 = 18;

const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(255, 127, 14),
    RGBColor(148, 103, 189),
    RGBColor(23, 190, 207),
];

/// A line of a plot: its name and a figure for each bucket.
struct Line {
    name: String,
    values: Vec<f64>,
}

impl Line {
    fn new(name: impl Into<String>, values: &[u32], times: f64) -> Line {
        Line { name: name.into(), values: values.iter().map(|v| f64::from(*v) * times).collect() }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn drawn(high: u32, draw: impl FnOnce(&Area) -> Result<(), String>) -> Result<String, String> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, (WIDE, high)).into_drawing_area();
        draw(&area)?;
        area.present().map_err(|e| e.to_string())?;
    }
    Ok(text)
}

fn lines(title: &str, bucket: f64, lines: &[Line]) -> Result<String, String> {
    let length = lines.iter().map(|l| l.values.len()).max().unwrap_or(0);
    let end = (length as f64 * bucket).max(bucket);
    let most = lines.iter().flat_map(|l| &l.values).copied().fold(1.0, f64::max);
    drawn(HIGH, |area| {
        let mut chart = ChartBuilder::on(area)
            .caption(title, ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..end, 0.0..most * 1.08)
            .map_err(|e| e.to_string())?;
        chart.configure_mesh().light_line_style(WHITE).x_desc("seconds").draw().map_err(|e| e.to_string())?;
        for (number, line) in lines.iter().enumerate() {
            let colour = COLOURS[number % COLOURS.len()];
            // As steps: a figure holds for its whole bucket.
            let points = line.values.iter().enumerate().flat_map(|(at, v)| {
                let from = at as f64 * bucket;
                [(from, *v), (from + bucket, *v)]
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

/// Handed in and delivered, in messages a second.
pub fn load(series: &Series) -> Result<String, String> {
    let bucket = series.bucket as f64 / 1e6;
    let a_second = 1.0 / bucket;
    let all = [
        Line::new("handed in", &series.handed_in, a_second),
        Line::new("delivered", &series.delivered, a_second),
    ];
    lines("Messages a second", bucket, &all)
}

fn by_sender(title: &str, series: &Series, values: &[Vec<u32>]) -> Result<String, String> {
    let line = |(sender, values): (usize, &Vec<u32>)| Line::new(format!("sender {sender}"), values, 1.0);
    let all: Vec<Line> = values.iter().enumerate().map(line).collect();
    lines(title, series.bucket as f64 / 1e6, &all)
}

/// For each sender.
pub fn calls_out(series: &Series) -> Result<String, String> {
    by_sender("Calls out, the most in each stretch", series, &series.out)
}

/// For each sender.
pub fn held(series: &Series) -> Result<String, String> {
    by_sender("Messages held: taken on, not out, not over", series, &series.held)
}

pub fn answers(series: &Series) -> Result<String, String> {
    let bucket = series.bucket as f64 / 1e6;
    let line = |answer: Answer| Line::new(answer.name(), &series.answers[answer as usize], 1.0 / bucket);
    lines("Calls ended a second, by how", bucket, &Answer::ALL.map(line))
}

/// Outages, stops and closed endpoints; with how many rows were left out.
pub fn stretches(series: &Series) -> Result<Option<(String, usize)>, String> {
    let mut names: Vec<&str> = Vec::new();
    for stretch in &series.stretches {
        if !names.contains(&stretch.what.as_str()) {
            names.push(&stretch.what);
        }
    }
    if names.is_empty() {
        return Ok(None);
    }
    let left_out = names.len().saturating_sub(ROWS);
    names.truncate(ROWS);
    let end = (series.handed_in.len() as f64 * series.bucket as f64 / 1e6).max(1e-6);
    let rows = names.len();
    let picture = drawn(60 + ROW * rows as u32, |area| {
        let name = |row: &SegmentValue<usize>| match row {
            SegmentValue::CenterOf(row) => names.get(*row).map_or(String::new(), |n| n.to_string()),
            _ => String::new(),
        };
        let mut chart = ChartBuilder::on(area)
            .caption("What went wrong, and when", ("sans-serif", 15))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(210)
            .build_cartesian_2d(0.0..end, (0..rows).into_segmented())
            .map_err(|e| e.to_string())?;
        let mut mesh = chart.configure_mesh();
        mesh.light_line_style(WHITE).y_labels(rows).y_label_formatter(&name).x_desc("seconds");
        mesh.draw().map_err(|e| e.to_string())?;
        let bars = series.stretches.iter().filter_map(|s| {
            let row = names.iter().position(|n| *n == s.what)?;
            Some(bar(s, row, end))
        });
        chart.draw_series(bars).map_err(|e| e.to_string())?;
        Ok(())
    })?;
    Ok(Some((picture, left_out)))
}

fn bar(stretch: &Stretch, row: usize, end: f64) -> Rectangle<(f64, SegmentValue<usize>)> {
    let from = stretch.from as f64 / 1e6;
    // What took no time is seen all the same.
    let to = stretch.to.map_or(end, |to| to as f64 / 1e6).max(from + end / 300.0);
    let colour = if stretch.what.starts_with("destination") { COLOURS[1] } else { COLOURS[0] };
    let corners = [(from, SegmentValue::Exact(row)), (to.min(end), SegmentValue::Exact(row + 1))];
    let mut bar = Rectangle::new(corners, colour.mix(0.7).filled());
    bar.set_margin(3, 3, 0, 0);
    bar
}
