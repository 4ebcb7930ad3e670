//! The two deployments for which traces are generated.

use derive_more::Display;

use crate::fleet::TargetKind;
use crate::ids::TierRank;

use super::TargetPace;
use super::TraceTarget;

/// A deployment of the scheduler.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum TraceDeployment {
    /// Harmattan Polar Logistics: 8 hosts, 12 engines, 3 services.
    #[display("harmattan")]
    Harmattan,
    /// Vaalkloof Dosing Analytics: 7 hosts, 9 engines, 4 services.
    #[display("vaalkloof")]
    Vaalkloof,
}

/// The properties of requests of a class; the lengths are means.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClassShape {
    pub(super) name: &'static str,
    pub(super) tier: TierRank,
    pub(super) kind: TargetKind,
    /// The fraction of the engines' (or the services') capacity used at a load of 1.
    pub(super) capacity_share: f64,
    pub(super) prompt_tokens: u32,
    pub(super) output_tokens: u32,
    pub(super) deadline_ms: u64,
    pub(super) first_token_goal_ms: Option<u64>,
}

/// The batch size of every engine.
const ENGINE_SLOTS: u32 = 16;
/// The number of concurrent calls of every service.
const SERVICE_SLOTS: u32 = 8;

/// Step times of Harmattan's engines, in percent of the reference engine's.
const HARMATTAN_STEP_PERCENT: &[u64] = &[70, 70, 70, 100, 100, 100, 100, 150, 150, 150, 220, 220];
/// Step times of Vaalkloof's engines, in percent of the reference engine's.
const VAALKLOOF_STEP_PERCENT: &[u64] = &[70, 70, 100, 100, 100, 160, 160, 240, 240];

const HARMATTAN_CLASSES: &[ClassShape] = &[
    engine_class("weather-check", 0, 0.08, 300, 30, 5_000),
    engine_class("cargo-answer", 1, 0.30, 1_200, 250, 40_000),
    engine_class("manifest-briefing", 2, 0.62, 4_000, 3_000, 400_000),
    service_class("aircraft-booking", 0, 0.10),
    service_class("fuel-uplift", 0, 0.05),
];

const VAALKLOOF_CLASSES: &[ClassShape] = &[
    engine_class("compliance-verdict", 0, 0.08, 400, 25, 5_000),
    engine_class("service-schedule", 1, 0.37, 2_500, 1_200, 180_000),
    engine_class("log-digest", 2, 0.55, 12_000, 2_500, 400_000),
    service_class("pump-recalibration", 0, 0.10),
    service_class("setpoint-view", 1, 0.05),
];

const fn engine_class(
    name: &'static str,
    tier: TierRank,
    capacity_share: f64,
    prompt_tokens: u32,
    output_tokens: u32,
    deadline_ms: u64,
) -> ClassShape {
    ClassShape {
        name,
        tier,
        kind: TargetKind::Engine,
        capacity_share,
        prompt_tokens,
        output_tokens,
        deadline_ms,
        first_token_goal_ms: if tier == 0 { Some(1_200) } else { None },
    }
}

const fn service_class(name: &'static str, tier: TierRank, capacity_share: f64) -> ClassShape {
    ClassShape {
        name,
        tier,
        kind: TargetKind::Service,
        capacity_share,
        prompt_tokens: 1,
        output_tokens: 1,
        deadline_ms: 3_000,
        first_token_goal_ms: None,
    }
}

impl TraceDeployment {
    pub(super) const fn host_count(self) -> usize {
        match self {
            Self::Harmattan => 8,
            Self::Vaalkloof => 7,
        }
    }

    pub(super) const fn zone_count(self) -> usize {
        match self {
            Self::Harmattan => 3,
            Self::Vaalkloof => 4,
        }
    }

    const fn service_count(self) -> usize {
        match self {
            Self::Harmattan => 3,
            Self::Vaalkloof => 4,
        }
    }

    pub(super) const fn classes(self) -> &'static [ClassShape] {
        match self {
            Self::Harmattan => HARMATTAN_CLASSES,
            Self::Vaalkloof => VAALKLOOF_CLASSES,
        }
    }

    /// Returns the targets; engines of the same speed are distributed over the availability
    /// zones.
    pub(super) fn targets(self) -> Vec<TraceTarget> {
        let step_percents = match self {
            Self::Harmattan => HARMATTAN_STEP_PERCENT,
            Self::Vaalkloof => VAALKLOOF_STEP_PERCENT,
        };
        let zone = |index: usize| format!("zone-{}", index % self.zone_count() + 1);
        let engines = step_percents
            .iter()
            .enumerate()
            .map(|(index, percent)| TraceTarget {
                name: format!("engine-{:02}", index + 1),
                kind: TargetKind::Engine,
                slots: ENGINE_SLOTS,
                availability_zone: zone(index),
                pace: engine_pace(*percent),
            });
        let services = (0..self.service_count()).map(|index| TraceTarget {
            name: format!("service-{}", index + 1),
            kind: TargetKind::Service,
            slots: SERVICE_SLOTS,
            availability_zone: zone(index),
            pace: TargetPace::default(),
        });
        engines.chain(services).collect()
    }
}

fn engine_pace(percent: u64) -> TargetPace {
    let reference = TargetPace::default();
    TargetPace {
        step_us: reference.step_us * percent / 100,
        sequence_us: reference.sequence_us * percent / 100,
        prefill_us: reference.prefill_us * percent / 100,
        ..reference
    }
}
