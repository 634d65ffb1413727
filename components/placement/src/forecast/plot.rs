//! Plots of forecasts.

use plotters::prelude::*;
use quick_error::quick_error;

use super::{Forecast, Range};
use crate::Slot;

/// Width and height in pixels.
const SIZE: (u32, u32) = (960, 480);
const MARGIN: u32 = 24;
const LABEL_WIDTH: u32 = 72;
const LABEL_HEIGHT: u32 = 40;
const FONT: &str = "sans-serif";
const FONT_SIZE: u32 = 14;
const TITLE_SIZE: u32 = 20;
/// Half the width of a bar, where bars are one unit apart.
const BAR_HALF_WIDTH: f64 = 0.3;

quick_error! {
    /// Error of drawing a plot.
    #[derive(Debug)]
    pub enum Failure {
        /// The drawing library failed.
        Draw(what: String) {
            display("cannot draw the plot of a forecast: {what}")
        }
    }
}

/// Returns a forecast as an SVG document with a bar for each data centre and class. A bar shows the
/// expected spend, a line over it the range from the low to the high one.
///
/// # Errors
/// Returns [`Failure::Draw`] if the drawing library fails.
pub fn plot(forecast: &Forecast) -> Result<String, Failure> {
    let mut svg = String::new();
    draw(forecast, &mut svg).map_err(|error| Failure::Draw(error.to_string()))?;
    Ok(svg)
}

fn draw(forecast: &Forecast, svg: &mut String) -> Result<(), Box<dyn std::error::Error>> {
    let bars: Vec<(Slot, Range)> = forecast.by_slot().into_iter().collect();
    let highest = bars.iter().map(|(_, spend)| spend.high).fold(1.0, f64::max);
    let title = format!("Spend of {} days by data centre and class", forecast.days);
    let last = bars.len().max(1) as f64 - 0.5;
    let root = SVGBackend::with_string(svg, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, (FONT, TITLE_SIZE))
        .margin(MARGIN)
        .x_label_area_size(LABEL_HEIGHT)
        .y_label_area_size(LABEL_WIDTH)
        .build_cartesian_2d(-0.5..last, 0.0..highest * 1.1)?;
    let label = |x: &f64| {
        let at = x.round();
        let bar = bars.get(at as usize).filter(|_| (x - at).abs() < 0.01);
        bar.map_or(String::new(), |(slot, _)| slot.to_string())
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(bars.len().max(1) * 2 + 1)
        .x_label_formatter(&label)
        .label_style((FONT, FONT_SIZE))
        .draw()?;
    let at = |(n, (_, spend)): (usize, &(Slot, Range))| (n as f64, *spend);
    chart.draw_series(bars.iter().enumerate().map(at).map(|(x, spend)| {
        let corners = [
            (x - BAR_HALF_WIDTH, 0.0),
            (x + BAR_HALF_WIDTH, spend.middle),
        ];
        Rectangle::new(corners, BLUE.mix(0.4).filled())
    }))?;
    chart.draw_series(bars.iter().enumerate().map(at).map(|(x, spend)| {
        let line = vec![(x, spend.low), (x, spend.high)];
        PathElement::new(line, BLACK.stroke_width(2))
    }))?;
    root.present()?;
    Ok(())
}
