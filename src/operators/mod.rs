//! The operators' interface of a running host: `/metrics`, `/status` and `/ready`.

mod host_status;
mod operator_service;

pub(crate) use host_status::HostStatus;
pub(crate) use operator_service::OperatorService;
