//! Predicted run time of a request at an endpoint.
//!
//! Prefill time comes from the prompt tokens that are not cached, decode time
//! from the batch size and the expected response length, and queue wait from the
//! requests beyond the endpoint's slots and the past run times. Response lengths and
//! run times are moving averages over attempts with a complete response.

use std::collections::BTreeMap;

use super::policy::{
    Policy,
    fraction, //
};
use crate::types::{
    Millis,
    Target,
    Tokens, //
};

/// Size of a request for a prediction.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens to prefill.
    pub prompt_tokens: Tokens,
    /// Maximum number of generated tokens.
    pub max_output_tokens: Tokens,
}

/// Predicted parts of one run, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Prediction {
    /// Wait at the endpoint before the run starts.
    pub wait_ms: f64,
    /// From the start of the run to the first token; zero for a service call.
    pub prefill_ms: f64,
    /// From the first token to the last; the entire run of a service call.
    pub decode_ms: f64,
}

impl Prediction {
    /// From now to the complete response.
    pub fn finish_ms(&self) -> f64 {
        self.wait_ms + self.run_ms()
    }

    /// From the start of the run to the complete response.
    pub fn run_ms(&self) -> f64 {
        self.prefill_ms + self.decode_ms
    }
}

/// Moving averages over the attempts of one target.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Averages {
    output: f64,
    run_ms: f64,
}

/// Predicts run times from the policy's constants and past attempts.
#[derive(Debug, Default)]
pub struct Predictor {
    averages: BTreeMap<Target, Averages>,
}

impl Predictor {
    /// Creates a predictor that uses the initial estimates of the policy.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a complete attempt to the averages. `run_ms` is its duration, including
    /// its wait at the endpoint.
    pub fn learn(&mut self, policy: &Policy, target: &Target, output: Tokens, run_ms: Millis) {
        let weight = fraction(policy.learn_permille);
        let mut averages = self.averages(policy, target);
        averages.output += weight * (output.0 as f64 - averages.output);
        averages.run_ms += weight * (run_ms.0 as f64 - averages.run_ms);
        self.averages.insert(target.clone(), averages);
    }

    /// Returns the average run time of requests for `target`, in milliseconds.
    pub fn typical_run_ms(&self, policy: &Policy, target: &Target) -> f64 {
        self.averages(policy, target).run_ms.max(1.0)
    }

    /// Predicts a run at an endpoint that has `load` requests and `slots` slots.
    pub fn predict(
        &self,
        policy: &Policy,
        target: &Target,
        work: Work,
        load: f64,
        slots: f64,
    ) -> Prediction {
        let wait_ms = self.wait_ms(policy, target, load, slots);
        match target {
            Target::Service(_) => Prediction {
                wait_ms,
                prefill_ms: 0.0,
                decode_ms: self.typical_run_ms(policy, target),
            },
            Target::Model(_) => Prediction {
                wait_ms,
                prefill_ms: prefill_ms(policy, work.prompt_tokens),
                decode_ms: self.expected_output(policy, target, work.max_output_tokens)
                    * token_ms(policy, (load + 1.0).min(slots)),
            },
        }
    }

    fn wait_ms(&self, policy: &Policy, target: &Target, load: f64, slots: f64) -> f64 {
        let beyond = load + 1.0 - slots;
        if beyond <= 0.0 {
            return 0.0;
        }
        beyond / slots.max(1.0) * self.typical_run_ms(policy, target)
    }

    fn expected_output(&self, policy: &Policy, target: &Target, max_output_tokens: Tokens) -> f64 {
        let expected = self.averages(policy, target).output;
        expected.min(max_output_tokens.0 as f64)
    }

    fn averages(&self, policy: &Policy, target: &Target) -> Averages {
        let averages = self.averages.get(target).copied();
        averages.unwrap_or_else(|| initial_averages(policy, target))
    }
}

/// Returns the time to prefill `uncached` prompt tokens, in milliseconds.
pub fn prefill_ms(policy: &Policy, uncached: Tokens) -> f64 {
    uncached.0 as f64 * 1_000.0 / f64::from(policy.prefill_tokens_per_s.max(1))
}

/// Returns the time between two tokens in a batch of `batch` requests, in
/// milliseconds.
pub fn token_ms(policy: &Policy, batch: f64) -> f64 {
    let micros = f64::from(policy.decode_base_us) + f64::from(policy.decode_per_request_us) * batch;
    micros / 1_000.0
}

fn initial_averages(policy: &Policy, target: &Target) -> Averages {
    match target {
        Target::Service(_) => Averages {
            output: 0.0,
            run_ms: policy.service_call_ms.0 as f64,
        },
        Target::Model(_) => {
            let output = policy.output.0 as f64;
            let batch = f64::from(policy.default_slots) / 2.0;
            Averages {
                output,
                run_ms: output * token_ms(policy, batch),
            }
        }
    }
}

/// Rounds a predicted time up to whole milliseconds.
pub fn ceil_ms(ms: f64) -> Millis {
    Millis(ms.max(0.0).ceil() as u64)
}
