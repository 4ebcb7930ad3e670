//! What may be spent over all hosts: accounts' allowances and repeats.
//!
//! Both hold without a store: hosts tell each other what they spent, and a host
//! that hears nothing keeps within a part that all hosts together may spend.

mod allowance_ledger;
mod retry_ledger;
mod token_bucket;

pub use allowance_ledger::AccountSpending;
pub use allowance_ledger::AllowanceLedger;
pub use allowance_ledger::SpendTolerance;
pub use allowance_ledger::SpendVerdict;
pub use retry_ledger::RetryBounds;
pub use retry_ledger::RetryLedger;
