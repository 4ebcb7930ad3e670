//! A small model of hosts that claim ids, for generated interleavings. Messages are
//! lost, duplicated, delayed and reordered; hosts pause, restart with empty memory and
//! get replaced; rosters change, are skipped and shrink; platform reads are stale.

mod choice_source;
mod id_record;
mod model_callers;
mod model_host;
mod model_operators;
mod model_world;
mod walk_profile;

pub(crate) use choice_source::ChoiceSource;
pub(crate) use choice_source::SeededChoice;
pub(crate) use id_record::ModelFault;
pub(crate) use model_world::ModelWorld;
pub(crate) use walk_profile::WalkProfile;
pub(crate) use walk_profile::WalkStart;
