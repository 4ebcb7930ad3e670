//! Label selectors, which restrict which targets may serve which requests.

mod label_selector;
mod selector_error;
mod selector_parser;
mod selector_requirement;

pub use label_selector::LabelSelector;
pub use selector_error::SelectorError;
pub use selector_requirement::LabelCondition;
pub use selector_requirement::SelectorRequirement;

pub(crate) use selector_parser::is_label_char;
