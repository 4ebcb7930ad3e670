//! Poison requests, and poison parts of prompts: they crash the targets that run them.

mod history_gap;
mod loss_history;
mod part_entry;
mod part_guard;
mod part_table;
mod poison_entry;
mod poison_guard;
mod poison_table;
mod prompt_part;

pub use history_gap::HistoryGap;
pub use loss_history::CauseKey;
pub use loss_history::LossHistory;
pub use loss_history::LossScope;
pub(crate) use loss_history::MOMENT;
pub use part_entry::PartEntry;
pub use part_entry::PartLoss;
pub(crate) use part_guard::PartGuard;
pub use part_table::LossCount;
pub use part_table::PartTable;
pub use poison_entry::PoisonEntry;
pub use poison_entry::RequestFingerprint;
pub use poison_entry::TargetLoss;
pub use poison_entry::fingerprint_request;
pub(crate) use poison_guard::PoisonGuard;
pub(crate) use poison_guard::SuspectGuard;
pub(crate) use poison_table::LOSS_RETENTION;
pub use poison_table::LostRun;
pub use poison_table::PoisonTable;
use poison_table::TRIAL_TURN;
pub use poison_table::trial_host;
pub use prompt_part::AccountKey;
pub use prompt_part::PartKey;
pub use prompt_part::PromptPart;
pub use prompt_part::SharedParts;
pub use prompt_part::canonical_part;
pub use prompt_part::last_part;
