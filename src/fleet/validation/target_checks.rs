//! Validation of the targets.

use crate::fleet::FleetDocument;
use crate::fleet::FleetTarget;
use crate::fleet::reserved_labels::RESERVED_TARGET_KEYS;
use crate::json::DocumentFault;
use crate::selector::LabelSelector;

use super::name_checks::check_address;
use super::name_checks::check_labels;
use super::name_checks::check_name;
use super::name_checks::check_selector;
use super::name_checks::check_unique;

/// Most slots that a target can have. Hosts lend slots one by one, and the sum of the slots of 60,000
/// targets fits a `u32`.
const MAX_SLOTS: u32 = 65_536;

/// Checks every target.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    for (index, target) in document.targets.iter().enumerate() {
        let path = format!("targets[{index}]");
        check_target(&path, target, faults);
        check_host_name(&path, document, target, faults);
        let accepts_path = format!("{path}.accepts");
        if let Some(accepts) = check_selector(&accepts_path, &target.accepts, faults) {
            check_ambiguous_keys(&accepts_path, document, &accepts, faults);
        }
    }
    let names = document.targets.iter().map(|target| target.name.as_str());
    check_unique(names, |index| format!("targets[{index}].name"), faults);
    check_unique_addresses(document, faults);
}

fn check_target(path: &str, target: &FleetTarget, faults: &mut Vec<DocumentFault>) {
    check_name(&format!("{path}.name"), &target.name, faults);
    check_name(
        &format!("{path}.availability_zone"),
        &target.availability_zone,
        faults,
    );
    check_address(&format!("{path}.address"), target.address, faults);
    check_labels(
        &format!("{path}.labels"),
        &target.labels,
        RESERVED_TARGET_KEYS,
        faults,
    );
    if target.slots == 0 {
        faults.push(DocumentFault::new(
            format!("{path}.slots"),
            "must be 1 or more; use `\"state\": \"leaving\"` for a target without new work",
        ));
    }
    if target.slots > MAX_SLOTS {
        faults.push(DocumentFault::new(
            format!("{path}.slots"),
            format!("must be {MAX_SLOTS} or less"),
        ));
    }
}

/// Checks that addresses are unique: two targets with the same address would allow
/// twice as many requests there as it has slots for.
fn check_unique_addresses(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    let addresses: Vec<String> = document
        .targets
        .iter()
        .map(|target| target.address.to_string())
        .collect();
    check_unique(
        addresses.iter().map(String::as_str),
        |index| format!("targets[{index}].address"),
        faults,
    );
}

/// Checks that no seat's host has the target's name. Targets and entry hosts share
/// one namespace in the platform's host list, so one that leaves would mark the
/// other as leaving too.
fn check_host_name(
    path: &str,
    document: &FleetDocument,
    target: &FleetTarget,
    faults: &mut Vec<DocumentFault>,
) {
    let mut seats = document.roster.seats.iter();
    if seats.any(|seat| seat.host == target.name) {
        let message = format!("`{}` is also the name of a seat's host", target.name);
        faults.push(DocumentFault::new(format!("{path}.name"), message));
    }
}

/// Rejects a selector over a key that both classes and accounts have, since it is
/// ambiguous which of the two values it refers to.
fn check_ambiguous_keys(
    path: &str,
    document: &FleetDocument,
    accepts: &LabelSelector,
    faults: &mut Vec<DocumentFault>,
) {
    for requirement in accepts.requirements() {
        let class = document
            .classes
            .iter()
            .find(|class| class.labels.contains_key(&requirement.key));
        let account = document
            .accounts
            .iter()
            .find(|account| account.labels.contains_key(&requirement.key));
        if let (Some(class), Some(account)) = (class, account) {
            let message = format!(
                "label `{}` is set on class `{}` and on account `{}`; use another key for one of them",
                requirement.key, class.name, account.name
            );
            faults.push(DocumentFault::new(path, message));
        }
    }
}
