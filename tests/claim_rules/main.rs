//! Focused tests of the claim rules; each describes the failure that it guards against.

mod fixture;
mod register;
mod rosters;
