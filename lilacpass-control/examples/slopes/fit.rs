//! Least-squares lines through measured points, as rows of a table.

/// Measured values over a size.
#[derive(Clone, Debug)]
pub(crate) struct Series {
    what: String,
    unit: &'static str,
    size: &'static str,
    points: Vec<(f64, f64)>,
}

/// A line through the points of a series.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Fit {
    /// Value at size 0.
    pub(crate) intercept: f64,
    /// Growth of the value per unit of size.
    pub(crate) slope: f64,
    /// Largest relative error of the line at a measured point.
    pub(crate) worst: f64,
}

impl Series {
    /// No points yet of `what`, in `unit`, over `size`.
    pub(crate) fn new(what: &str, unit: &'static str, size: &'static str) -> Self {
        Self { what: what.to_owned(), unit, size, points: Vec::new() }
    }

    /// Adds a measured value.
    pub(crate) fn add(&mut self, size: usize, value: f64) {
        self.points.push((size as f64, value));
    }

    /// The line with the least sum of squared relative errors, since sizes span decades.
    pub(crate) fn fit(&self) -> Fit {
        let weights = |y: f64| 1.0 / (y * y).max(f64::MIN_POSITIVE);
        let (mut w0, mut wx, mut wy, mut wxx, mut wxy) = (0.0, 0.0, 0.0, 0.0, 0.0);
        for &(x, y) in &self.points {
            let w = weights(y);
            w0 += w;
            wx += w * x;
            wy += w * y;
            wxx += w * x * x;
            wxy += w * x * y;
        }
        let slope = (w0 * wxy - wx * wy) / (w0 * wxx - wx * wx);
        let intercept = (wy - slope * wx) / w0;
        let errors = self.points.iter().map(|&(x, y)| ((intercept + slope * x - y) / y).abs());
        Fit { intercept, slope, worst: errors.fold(0.0, f64::max) }
    }

    /// Prints the row of the series.
    pub(crate) fn print(&self) {
        let Fit { intercept, slope, worst } = self.fit();
        let points: Vec<String> =
            self.points.iter().map(|(x, y)| format!("{x}: {}", short(*y))).collect();
        println!(
            "| {} | {} | {} | {} | {} | {} | {:.0} % |",
            self.what,
            self.unit,
            self.size,
            points.join(", "),
            short(intercept),
            short(slope),
            worst * 100.0
        );
    }
}

/// Prints the head of a table of series.
pub(crate) fn head(title: &str) {
    println!("\n### {title}\n");
    println!("| what | unit | over | measured | at 0 | per one more | largest error |");
    println!("|---|---|---|---|---|---|---|");
}

/// Three digits that count, or all before the point.
fn short(value: f64) -> String {
    if value == 0.0 {
        return "0".to_owned();
    }
    let digits = (2.0 - value.abs().log10().floor()).max(0.0) as usize;
    format!("{value:.digits$}")
}
