//! Forecasts as text tables.

use std::fmt;

use super::{Forecast, Range};

impl fmt::Display for Forecast {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = ["data centre", "class", "service"];
        let figures = [
            "hours", "price", "low", "middle", "high", "reclaims", "growth",
        ];
        write!(f, "{:<14} {:<12} {:<16}", header[0], header[1], header[2])?;
        for figure in figures {
            write!(f, " {figure:>10}")?;
        }
        writeln!(f)?;
        for line in &self.lines {
            let class = line.slot.class.name();
            write!(
                f,
                "{:<14} {class:<12} {:<16}",
                line.slot.data_centre, line.service
            )?;
            write!(f, " {:>10.1} {:>10.4}", line.hours.middle, line.price)?;
            write_range(f, line.spend)?;
            writeln!(f, " {:>10.2} {:>+10.2}", line.reclaim_losses, line.growth)?;
        }
        for (slot, spend) in self.by_slot() {
            let class = slot.class.name();
            write!(
                f,
                "{:<14} {class:<12} {:<16} {:21}",
                slot.data_centre, "all", ""
            )?;
            write_range(f, spend)?;
            writeln!(f)?;
        }
        write!(f, "{:<14} {:<12} {:<16} {:21}", "total", "", "all", "")?;
        write_range(f, self.total())?;
        writeln!(f)
    }
}

fn write_range(f: &mut fmt::Formatter<'_>, range: Range) -> fmt::Result {
    let Range { low, middle, high } = range;
    write!(f, " {low:>10.2} {middle:>10.2} {high:>10.2}")
}
