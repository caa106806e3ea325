//! The report as one HTML page with plots.

use std::fmt::Display;

use crank_engine::burn::{ALARMS, ServiceEvaluation};
use plotters::prelude::{ChartBuilder, Circle, IntoDrawingArea, LineSeries, SVGBackend};
use plotters::style::{BLUE, Color, IntoFont, RED, ShapeStyle, WHITE};

use crate::text::{alarm, heard, objective, span};
use crate::{Error, Report};

const PLOT_PIXELS: (u32, u32) = (720, 260);
const LABEL_PIXELS: u32 = 48;
const MARGIN_PIXELS: u32 = 12;
const FONT_PIXELS: u32 = 14;
const HEADROOM: f64 = 1.1;
const MIN_AXIS_TOP: f64 = 1.0;

/// Renders the report as one self-contained HTML page.
///
/// Each plot shows the burn rate over each window. Red dots show the alarm thresholds of the long
/// windows that lie within the scale.
///
/// # Errors
/// Returns [`Error::Plot`] if a plot cannot be drawn.
///
/// ```
/// let report = crank_report::Report::new(&[], Vec::new(), None);
/// assert!(crank_report::page(&report)?.starts_with("<!DOCTYPE html>"));
/// # Ok::<(), crank_report::Error>(())
/// ```
pub fn page(report: &Report) -> Result<String, Error> {
    let mut body = String::new();
    for service in &report.services {
        body += &section(service)?;
    }
    Ok(format!(
        "<!DOCTYPE html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <title>Service-level burn</title>\n</head>\n<body>\n<h1>Service-level burn</h1>\n\
         {body}<h2>Heard</h2>\n<pre>{}</pre>\n</body>\n</html>\n",
        escaped(&heard(report)),
    ))
}

fn section(service: &ServiceEvaluation) -> Result<String, Error> {
    let mut text = format!(
        "<h2>{}</h2>\n<p>{}</p>\n",
        service.service,
        escaped(&objective(service.objective))
    );
    for sounding in &service.alarms {
        text += &format!("<p><strong>{}</strong></p>\n", escaped(&alarm(sounding)));
    }
    if service.rates.iter().all(|rate| rate.burn.is_none()) {
        return Ok(text + "<p>Nothing to plot: no requests, or no objective.</p>\n");
    }
    Ok(text + &plot(service)? + "\n")
}

fn plot(service: &ServiceEvaluation) -> Result<String, Error> {
    let mut svg = String::new();
    let drawn = draw(service, &mut svg);
    drawn.map_err(|detail| Error::Plot {
        service: service.service.clone().into(),
        detail: detail.to_string().into(),
    })?;
    Ok(svg)
}

fn draw(service: &ServiceEvaluation, svg: &mut String) -> Result<(), impl Display + use<>> {
    let points = points(service);
    let burns = points.iter().map(|(_, burn)| *burn);
    let top = burns.fold(MIN_AXIS_TOP, f64::max) * HEADROOM;
    let last = service.rates.len().saturating_sub(1) as f64;
    let area = SVGBackend::with_string(svg, PLOT_PIXELS).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .margin(MARGIN_PIXELS)
        .x_label_area_size(LABEL_PIXELS)
        .y_label_area_size(LABEL_PIXELS)
        .build_cartesian_2d(0.0..last, 0.0..top)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(service.rates.len())
        .x_label_formatter(&|place| window(service, *place))
        .x_desc("window")
        .y_desc("burn rate")
        .label_style(("sans-serif", FONT_PIXELS).into_font())
        .draw()?;
    chart.draw_series(LineSeries::new(points, BLUE.stroke_width(2)))?;
    let dots = thresholds(service)
        .into_iter()
        .filter(|(_, rate)| *rate <= top);
    chart.draw_series(dots.map(|place| Circle::new(place, 4, ShapeStyle::from(RED).filled())))?;
    area.present()
}

fn points(service: &ServiceEvaluation) -> Vec<(f64, f64)> {
    let rates = service.rates.iter().enumerate();
    rates
        .filter_map(|(index, rate)| Some((index as f64, rate.burn?)))
        .collect()
}

fn thresholds(service: &ServiceEvaluation) -> Vec<(f64, f64)> {
    let place = |window| service.rates.iter().position(|rate| rate.window == window);
    ALARMS
        .iter()
        .filter_map(|alarm| Some((place(alarm.long)? as f64, alarm.rate)))
        .collect()
}

fn window(service: &ServiceEvaluation, place: f64) -> String {
    let index = place.round();
    let rate = service.rates.get(index as usize);
    match rate {
        Some(rate) if (place - index).abs() < f64::EPSILON => span(rate.window),
        _ => String::new(),
    }
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
