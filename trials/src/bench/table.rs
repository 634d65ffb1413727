//! The table of a run.

use std::fmt;

/// Figures with their names and units.
#[derive(Clone, Debug, Default)]
pub struct Table {
    rows: Vec<Row>,
}

/// One figure.
#[derive(Clone, Debug)]
pub struct Row {
    /// What was measured.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// Its unit.
    pub unit: &'static str,
}

impl Row {
    /// Returns a figure.
    pub fn new(name: impl Into<String>, value: f64, unit: &'static str) -> Row {
        Row {
            name: name.into(),
            value,
            unit,
        }
    }
}

impl Table {
    /// Adds figures at the end.
    pub fn add(&mut self, rows: Vec<Row>) {
        self.rows.extend(rows);
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "| measured | value | unit |\n| --- | ---: | --- |")?;
        for Row { name, value, unit } in &self.rows {
            writeln!(f, "| {name} | {value:.3} | {unit} |")?;
        }
        Ok(())
    }
}
