//! The fleet document: the configuration that operators publish through the platform.

mod allowed_table;
mod compiled_entries;
mod document_parser;
mod fleet_digest;
mod fleet_document;
mod fleet_view;
mod reserved_labels;
mod route_matcher;
mod target_explanation;
mod token_table;
mod validation;

pub use crate::json::DocumentFault;
pub use compiled_entries::CompiledAccount;
pub use compiled_entries::CompiledClass;
pub use compiled_entries::CompiledTarget;
pub use document_parser::parse_document;
pub use fleet_digest::DocumentDigest;
pub use fleet_digest::document_digest;
pub use fleet_document::ClassRule;
pub use fleet_document::ClientAccount;
pub use fleet_document::FleetDocument;
pub use fleet_document::FleetLimits;
pub use fleet_document::FleetTarget;
pub use fleet_document::LabelMap;
pub use fleet_document::RouteRule;
pub use fleet_document::SeatAddress;
pub use fleet_document::SeatRoster;
pub use fleet_document::TargetKind;
pub use fleet_document::TargetState;
pub use fleet_view::FleetView;
pub use target_explanation::ExclusionReason;
pub use target_explanation::TargetExplanation;
pub(crate) use validation::DocumentChange;
pub(crate) use validation::compare_documents;
pub(crate) use validation::duplicate_names;
