//! Learns how long tasks take, compared with the estimates of clients.
//!
//! For each queue and image, a linear regression of the logarithm of the duration on that of the estimate, in which old
//! runs count less and less. The error of the estimates of one queue is large and that of another one small, so a
//! prediction lies between the estimate and the mean of the queue as the runs of the queue show.

use std::collections::BTreeMap;

/// Half-life of the weight of a run.
const HALF_LIFE_MS: f64 = 30_000.0;
/// Number of runs that the estimate itself counts as, beside those that were seen.
const ESTIMATE_WEIGHT: f64 = 8.0;
/// Spread of the logarithms of estimates that counts as known before any run was seen. Keeps the slope of a queue with
/// equal estimates at 1.
const PRIOR_VARIANCE: f64 = 0.05;
/// Bounds of the logarithm of the duration in ms relative to the estimate. A run beyond them counts as at the bound.
const MAX_ERROR_LOG2: f64 = 4.0;
/// Number of pairs of queue and image that are distinguished. Clients choose the images.
const MAX_MODELS: usize = 256;

/// Predicts durations of tasks.
#[derive(Debug, Default)]
pub struct Durations {
    /// By queue and image.
    models: BTreeMap<String, BTreeMap<String, Regression>>,
    model_count: usize,
}

/// Weighted sums of a regression of y on x.
#[derive(Debug, Default)]
struct Regression {
    weight: f64,
    mean_x: f64,
    mean_y: f64,
    /// Weighted sums of squares and products of the differences from the means.
    xx: f64,
    xy: f64,
    updated_ms: u64,
}

impl Regression {
    fn add(&mut self, x: f64, y: f64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        let kept_share = (-elapsed_ms / HALF_LIFE_MS).exp2();
        self.updated_ms = now_ms;
        self.weight = self.weight * kept_share + 1.0;
        let (dx, dy) = (x - self.mean_x, y - self.mean_y);
        self.mean_x += dx / self.weight;
        self.mean_y += dy / self.weight;
        self.xx = self.xx * kept_share + dx * (x - self.mean_x);
        self.xy = self.xy * kept_share + dx * (y - self.mean_y);
    }

    /// The slope, shrunk towards 1.
    fn slope(&self) -> f64 {
        let prior = ESTIMATE_WEIGHT * PRIOR_VARIANCE;
        ((self.xy + prior) / (self.xx + prior)).clamp(0.0, 1.5)
    }

    fn predict(&self, x: f64) -> f64 {
        let y = self.mean_y + self.slope() * (x - self.mean_x);
        let share = self.weight / (self.weight + ESTIMATE_WEIGHT);
        x + (y - x) * share
    }
}

impl Durations {
    /// Learns from a run that took `duration_ms` on a worker of mean speed.
    pub fn observe(
        &mut self,
        queue: &str,
        image: &str,
        estimate_ms: u64,
        duration_ms: u64,
        now_ms: u64,
    ) {
        if self.model(queue, image).is_none() {
            if self.model_count >= MAX_MODELS {
                return;
            }
            self.model_count += 1;
            let images = self.models.entry(queue.to_owned()).or_default();
            images.insert(image.to_owned(), Regression::default());
        }
        let images = self.models.get_mut(queue);
        let Some(model) = images.and_then(|images| images.get_mut(image)) else { return };
        let x = log2_ms(estimate_ms);
        let y = log2_ms(duration_ms).clamp(x - MAX_ERROR_LOG2, x + MAX_ERROR_LOG2);
        model.add(x, y, now_ms);
    }

    /// Predicts how long a task takes on a worker of mean speed, in ms. Returns the estimate while no runs of the queue
    /// and image were seen.
    pub fn predict_ms(&self, queue: &str, image: &str, estimate_ms: u64) -> u64 {
        let Some(model) = self.model(queue, image) else { return estimate_ms };
        model.predict(log2_ms(estimate_ms)).exp2().round() as u64
    }

    fn model(&self, queue: &str, image: &str) -> Option<&Regression> {
        self.models.get(queue)?.get(image)
    }
}

fn log2_ms(time_ms: u64) -> f64 {
    (time_ms.max(1) as f64).log2()
}
