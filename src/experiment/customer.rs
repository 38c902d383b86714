//! The two customers at their real sizes.

use std::time::Duration;

use clap::ValueEnum;

use crate::{
    decision::policy::Weight,
    standin::model::ModelOptions,
    types::{
        MbitPerSecond,
        Tokens, //
    }, //
};

/// Requests that one engine runs at the same time.
pub const ENGINE_SLOTS: u32 = 16;
/// Calls that one service replica runs at the same time.
pub const SERVICE_SLOTS: u32 = 32;
/// Length of a prefix block, the same in the engines and in the decisions.
pub const BLOCK: Tokens = Tokens(256);

/// Whose system is replayed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum CustomerName {
    /// Drevotón Vzorky, which weighs cost most.
    Drevoton,
    /// Consorcio Marcos del Plata, which weighs tail latency most.
    Consorcio,
}

impl CustomerName {
    /// What the customer weighs most.
    pub fn weight(self) -> Weight {
        match self {
            Self::Drevoton => Weight::Cost,
            Self::Consorcio => Weight::Latency,
        }
    }
}

/// One region of a customer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RegionPlan {
    /// Name.
    pub name: &'static str,
    /// Entry hosts.
    pub hosts: usize,
    /// Replicas of the model.
    pub replicas: usize,
    /// Share of the customer's callers whose home it is.
    pub callers: f64,
    /// When its daily peak is, as a part of the day.
    pub peak: f64,
}

/// A range from which a size is drawn, with more small ones than large ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Sizes {
    /// Smallest size.
    pub least: u64,
    /// Largest size.
    pub most: u64,
}

/// What a customer's requests look like.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WorkPlan {
    /// Mean rate of requests of all regions together, in one second.
    pub requests_per_s: f64,
    /// By how much the rate of a region swings around its mean, as a part of it.
    pub swing: f64,
    /// Callers.
    pub callers: usize,
    /// Exponent of the Zipf distribution over callers and their documents.
    pub skew: f64,
    /// Documents, such as catalogues, of each caller.
    pub documents: usize,
    /// Tokens that all requests of a caller share.
    pub caller_prompt: Sizes,
    /// Tokens of a document.
    pub document: Sizes,
    /// Tokens that no other request shares.
    pub own_prompt: Sizes,
    /// Generated tokens.
    pub output: Sizes,
    /// Bytes of the photo that comes with a request that has one.
    pub photo_bytes: Sizes,
    /// Share of requests with a photo.
    pub with_photo: f64,
    /// Share of requests from the counter.
    pub counter: f64,
    /// Share of background requests.
    pub background: f64,
    /// Share of calls of the order service.
    pub orders: f64,
    /// Share of callers bound to their home region.
    pub bound: f64,
}

/// A customer.
#[derive(Debug, Clone, PartialEq)]
pub struct Customer {
    /// Which one.
    pub name: CustomerName,
    /// Its regions.
    pub regions: [RegionPlan; 3],
    /// One-way latency between data centres of a region.
    pub data_centre_latency: Duration,
    /// One-way latency between regions.
    pub region_latency: Duration,
    /// One-way latency to callers.
    pub caller_latency: Duration,
    /// Rate of a link between two regions in each direction.
    pub link: MbitPerSecond,
    /// Its requests.
    pub work: WorkPlan,
}

impl Customer {
    /// The customer with this name.
    pub fn new(name: CustomerName) -> Self {
        match name {
            CustomerName::Drevoton => drevoton(),
            CustomerName::Consorcio => consorcio(),
        }
    }
}

fn region(name: &'static str, replicas: usize, callers: f64, peak: f64) -> RegionPlan {
    RegionPlan {
        name,
        hosts: 3,
        replicas,
        callers,
        peak,
    }
}

fn sizes(least: u64, most: u64) -> Sizes {
    Sizes { least, most }
}

fn drevoton() -> Customer {
    Customer {
        name: CustomerName::Drevoton,
        regions: [
            region("stred", 8, 0.45, 0.3),
            region("zapad", 6, 0.33, 0.5),
            region("sever", 4, 0.22, 0.7),
        ],
        data_centre_latency: Duration::from_micros(500),
        region_latency: Duration::from_millis(80),
        caller_latency: Duration::from_millis(3),
        link: MbitPerSecond(2_000),
        work: WorkPlan {
            requests_per_s: 40.0,
            swing: 0.6,
            callers: 120,
            skew: 0.9,
            documents: 6,
            caller_prompt: sizes(512, 2_048),
            document: sizes(512, 4_096),
            own_prompt: sizes(64, 1_024),
            output: sizes(40, 400),
            photo_bytes: sizes(200_000, 2_000_000),
            with_photo: 0.4,
            counter: 0.2,
            background: 0.3,
            orders: 0.1,
            bound: 0.18,
        },
    }
}

fn consorcio() -> Customer {
    Customer {
        name: CustomerName::Consorcio,
        regions: [
            region("buenos-aires", 4, 0.46, 0.3),
            region("cordoba", 3, 0.32, 0.5),
            region("mendoza", 2, 0.22, 0.7),
        ],
        data_centre_latency: Duration::from_micros(1_500),
        region_latency: Duration::from_millis(80),
        caller_latency: Duration::from_millis(1),
        link: MbitPerSecond(140),
        work: WorkPlan {
            requests_per_s: 11.0,
            swing: 0.6,
            callers: 60,
            skew: 0.9,
            documents: 4,
            caller_prompt: sizes(512, 4_096),
            document: sizes(1_024, 8_192),
            own_prompt: sizes(64, 1_024),
            output: sizes(40, 600),
            photo_bytes: sizes(100_000, 1_000_000),
            with_photo: 0.2,
            counter: 0.45,
            background: 0.2,
            orders: 0.1,
            bound: 0.18,
        },
    }
}

/// Speed of a typical model replica; replicas differ around it.
pub fn engine_speed(speed: f64) -> ModelOptions {
    ModelOptions {
        slots: ENGINE_SLOTS,
        max_waiting: 4 * ENGINE_SLOTS,
        memory: Tokens(160_000),
        block: BLOCK,
        prefill_tokens_per_s: (8_000.0 * speed) as u32,
        step_prefill: Tokens(512),
        step: Duration::from_millis(10).div_f64(speed),
        step_per_sequence: Duration::from_micros(250).div_f64(speed),
    }
}

/// Speed of a replica of the order service: one step of 50 ms for each call.
pub fn service_speed() -> ModelOptions {
    ModelOptions {
        slots: SERVICE_SLOTS,
        max_waiting: SERVICE_SLOTS,
        memory: Tokens(1_000_000),
        block: BLOCK,
        prefill_tokens_per_s: 1_000_000,
        step_prefill: Tokens(SERVICE_SLOTS as u64),
        step: Duration::from_millis(50),
        step_per_sequence: Duration::ZERO,
    }
}
