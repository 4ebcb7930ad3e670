//! Validation of the roster and of the former one that it replaces.

use crate::fleet::FleetDocument;
use crate::fleet::SeatRoster;
use crate::json::DocumentFault;

use super::name_checks::check_address;
use super::name_checks::check_name;
use super::name_checks::check_unique;

/// The maximum number of seats: a claim asks a majority of them, so each additional
/// seat adds messages to every request.
pub(crate) const MAX_SEATS: usize = 8;

/// Checks the roster and the former one.
pub(super) fn check(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    check_roster("roster", &document.roster, faults);
    match &document.former {
        Some(former) => check_former(document, former, faults),
        None => check_initial(document, faults),
    }
}

fn check_former(document: &FleetDocument, former: &SeatRoster, faults: &mut Vec<DocumentFault>) {
    check_roster("former", former, faults);
    if former.number >= document.roster.number {
        let message = format!(
            "must be below `roster.number` ({}), since roster numbers only increase",
            document.roster.number
        );
        faults.push(DocumentFault::new("former.number", message));
    }
}

fn check_initial(document: &FleetDocument, faults: &mut Vec<DocumentFault>) {
    if document.former_lost {
        faults.push(DocumentFault::new(
            "former_lost",
            "states that the former roster is lost, but `former` is absent",
        ));
    }
}

fn check_roster(path: &str, roster: &SeatRoster, faults: &mut Vec<DocumentFault>) {
    if roster.number == 0 {
        faults.push(DocumentFault::new(
            format!("{path}.number"),
            "must be 1 or more",
        ));
    }
    let count = roster.seats.len();
    if !(1..=MAX_SEATS).contains(&count) {
        let message = format!("has {count} seats, but must have 1 to {MAX_SEATS}");
        faults.push(DocumentFault::new(format!("{path}.seats"), message));
    }
    for (index, seat) in roster.seats.iter().enumerate() {
        let seat_path = format!("{path}.seats[{index}]");
        check_name(&format!("{seat_path}.host"), &seat.host, faults);
        check_name(
            &format!("{seat_path}.availability_zone"),
            &seat.availability_zone,
            faults,
        );
        check_address(&format!("{seat_path}.address"), seat.address, faults);
    }
    check_unique_seats(path, roster, faults);
}

fn check_unique_seats(path: &str, roster: &SeatRoster, faults: &mut Vec<DocumentFault>) {
    let hosts = roster.seats.iter().map(|seat| seat.host.as_str());
    check_unique(hosts, |index| format!("{path}.seats[{index}].host"), faults);
    let addresses: Vec<String> = roster
        .seats
        .iter()
        .map(|seat| seat.address.to_string())
        .collect();
    check_unique(
        addresses.iter().map(String::as_str),
        |index| format!("{path}.seats[{index}].address"),
        faults,
    );
}
