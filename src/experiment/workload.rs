//! A seeded sequence of requests with the skews of a customer.

use std::time::Duration;

use rand::{
    RngExt,
    SeedableRng, //
};
use rand_pcg::Pcg64Mcg;

use super::customer::{
    BLOCK,
    Customer,
    Sizes, //
};
use crate::types::{
    Bytes,
    Tier,
    Tokens, //
};

/// Bytes of a request for each prompt token.
const BYTES_PER_TOKEN: u64 = 4;
/// Length of an order.
const ORDER_BYTES: u64 = 2_000;
/// How much more a caller asks for than the answer is likely to need.
const MAX_OUTPUT: Tokens = Tokens(800);

/// One caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPlan {
    /// Number of its home region.
    pub home: usize,
    /// Whether its data must stay there.
    pub is_bound: bool,
}

/// One request of the workload.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// When the caller sends it.
    pub at: Duration,
    /// Number of the caller.
    pub caller: usize,
    /// Whether it is a call of the order service.
    pub is_order: bool,
    /// Scheduling class.
    pub tier: Tier,
    /// Prompt length.
    pub prompt: Tokens,
    /// Hashes of the prompt's leading blocks.
    pub prefix_hashes: Vec<u64>,
    /// Tokens of the whole answer.
    pub output: Tokens,
    /// Most tokens that the caller asks for.
    pub max_output: Tokens,
    /// Length of the request.
    pub body: Bytes,
    /// Time within which the caller needs the whole answer.
    pub patience: Duration,
}

/// Callers and their requests in order of time.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Workload {
    /// Callers.
    pub callers: Vec<CallerPlan>,
    /// Requests.
    pub jobs: Vec<Job>,
}

impl Workload {
    /// The requests of `customer` in a day that is squeezed into `length`.
    pub fn new(customer: &Customer, seed: u64, length: Duration) -> Self {
        let mut maker = Maker::new(customer, seed);
        let mut jobs = Vec::new();
        for region in 0..customer.regions.len() {
            maker.region_jobs(region, length, &mut jobs);
        }
        jobs.sort_by_key(|job| job.at);
        Self {
            callers: maker.callers,
            jobs,
        }
    }
}

/// Time within which a whole answer is needed.
fn patience(tier: Tier, is_order: bool) -> Duration {
    match (tier, is_order) {
        (_, true) => Duration::from_secs(5),
        (Tier::Priority, _) => Duration::from_secs(15),
        (Tier::Default, _) => Duration::from_secs(30),
        (Tier::Flex, _) => Duration::from_secs(120),
    }
}

struct Maker<'a> {
    customer: &'a Customer,
    rng: Pcg64Mcg,
    callers: Vec<CallerPlan>,
    caller_prompts: Vec<u64>,
    documents: Vec<Vec<u64>>,
    next_unique: u64,
}

impl<'a> Maker<'a> {
    fn new(customer: &'a Customer, seed: u64) -> Self {
        let work = &customer.work;
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let callers = callers(customer, &mut rng);
        let caller_prompts = callers.iter();
        let caller_prompts = caller_prompts
            .map(|_| draw(&mut rng, work.caller_prompt))
            .collect();
        let documents = callers.iter();
        let documents = documents
            .map(|_| {
                let each = 0..work.documents;
                each.map(|_| draw(&mut rng, work.document)).collect()
            })
            .collect();
        Self {
            customer,
            rng,
            callers,
            caller_prompts,
            documents,
            next_unique: 0,
        }
    }

    fn region_jobs(&mut self, region: usize, length: Duration, jobs: &mut Vec<Job>) {
        let plan = self.customer.regions[region];
        let work = self.customer.work;
        let mean = work.requests_per_s * plan.callers;
        let here: Vec<usize> = (0..self.callers.len())
            .filter(|caller| self.callers[*caller].home == region)
            .collect();
        let most = mean * (1.0 + work.swing);
        let mut at = 0.0;
        // Thinning: candidates at the highest rate, kept by the rate at the time.
        loop {
            at += -(1.0 - self.rng.random::<f64>()).ln() / most;
            if at >= length.as_secs_f64() {
                return;
            }
            let phase = at / length.as_secs_f64() - plan.peak;
            let rate = mean * (1.0 + work.swing * (std::f64::consts::TAU * phase).cos());
            if self.rng.random::<f64>() * most < rate {
                let caller = here[zipf(&mut self.rng, here.len(), work.skew)];
                let job = self.job(Duration::from_secs_f64(at), caller);
                jobs.push(job);
            }
        }
    }

    fn job(&mut self, at: Duration, caller: usize) -> Job {
        let work = self.customer.work;
        if self.rng.random::<f64>() < work.orders {
            return Job {
                at,
                caller,
                is_order: true,
                tier: Tier::Priority,
                prompt: Tokens(1),
                prefix_hashes: Vec::new(),
                output: Tokens(1),
                max_output: Tokens(1),
                body: Bytes(ORDER_BYTES),
                patience: patience(Tier::Priority, true),
            };
        }
        let tier = self.tier();
        let document = zipf(&mut self.rng, work.documents, work.skew);
        let shared = self.caller_prompts[caller];
        let with_document = shared + self.documents[caller][document];
        let prompt = with_document + draw(&mut self.rng, work.own_prompt);
        let has_photo = self.rng.random::<f64>() < work.with_photo;
        let photo = if has_photo {
            draw(&mut self.rng, work.photo_bytes)
        } else {
            0
        };
        Job {
            at,
            caller,
            is_order: false,
            tier,
            prompt: Tokens(prompt),
            prefix_hashes: self.prefix_hashes(caller, document, shared, with_document, prompt),
            output: Tokens(draw(&mut self.rng, work.output)),
            max_output: MAX_OUTPUT,
            body: Bytes(prompt * BYTES_PER_TOKEN + photo),
            patience: patience(tier, false),
        }
    }

    fn tier(&mut self) -> Tier {
        let drawn = self.rng.random::<f64>();
        let work = self.customer.work;
        if drawn < work.counter {
            Tier::Priority
        } else if drawn < work.counter + work.background {
            Tier::Flex
        } else {
            Tier::Default
        }
    }

    fn prefix_hashes(
        &mut self,
        caller: usize,
        document: usize,
        shared: u64,
        with_document: u64,
        prompt: u64,
    ) -> Vec<u64> {
        self.next_unique += 1;
        let unique = self.next_unique;
        let blocks = prompt / BLOCK.0;
        let content = |block: u64| {
            let end = (block + 1) * BLOCK.0;
            if end <= shared {
                (caller, usize::MAX, 0, block)
            } else if end <= with_document {
                (caller, document, 0, block)
            } else {
                (caller, document, unique, block)
            }
        };
        let hash = |block| {
            let (caller, document, unique, block) = content(block);
            let parts = [caller as u64, document as u64, unique, block];
            xxhash_rust::xxh3::xxh3_64(&parts.map(u64::to_le_bytes).concat())
        };
        (0..blocks).map(hash).collect()
    }
}

fn callers(customer: &Customer, rng: &mut Pcg64Mcg) -> Vec<CallerPlan> {
    let mut callers = Vec::new();
    let mut until = 0.0;
    for (home, region) in customer.regions.iter().enumerate() {
        until += region.callers * customer.work.callers as f64;
        while (callers.len() as f64) < until - 0.5 {
            callers.push(CallerPlan {
                home,
                is_bound: rng.random::<f64>() < customer.work.bound,
            });
        }
    }
    callers
}

/// A size of the range, evenly drawn on a logarithmic scale.
fn draw(rng: &mut Pcg64Mcg, sizes: Sizes) -> u64 {
    let least = sizes.least as f64;
    let factor = sizes.most as f64 / least;
    (least * factor.powf(rng.random::<f64>())) as u64
}

/// An index below `count`; low ones are more frequent.
fn zipf(rng: &mut Pcg64Mcg, count: usize, skew: f64) -> usize {
    let weight = |index: usize| 1.0 / ((index + 1) as f64).powf(skew);
    let total = (0..count).map(weight).sum::<f64>();
    let mut left = rng.random::<f64>() * total;
    for index in 0..count {
        left -= weight(index);
        if left < 0.0 {
            return index;
        }
    }
    count.saturating_sub(1)
}
