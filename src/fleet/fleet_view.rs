//! The validated, compiled form of a fleet document.

use std::sync::Arc;

use crate::ids::TargetName;
use crate::json::DocumentFault;

use super::FleetDocument;
use super::TargetState;
use super::allowed_table::AllowedTable;
use super::compiled_entries::CompiledAccount;
use super::compiled_entries::CompiledClass;
use super::compiled_entries::CompiledTarget;
use super::fleet_digest::DocumentDigest;
use super::fleet_digest::document_digest;
use super::reserved_labels::RequestLabels;
use super::reserved_labels::target_labels;
use super::route_matcher::has_ambiguous_segment;
use super::route_matcher::route_matches;
use super::route_matcher::without_query;
use super::target_explanation::ExclusionReason;
use super::target_explanation::TargetExplanation;
use super::token_table::TokenTable;
use super::validation::document_warnings;
use super::validation::validate_document;

/// A validated fleet document with parsed selectors and the precomputed allowed
/// targets of each class and account.
///
/// It is immutable: the request path reads it through `arc-swap`, and each new
/// document is compiled into a new view.
#[derive(Clone, Debug)]
pub struct FleetView {
    document: FleetDocument,
    digest: DocumentDigest,
    warnings: Vec<DocumentFault>,
    targets: Vec<CompiledTarget>,
    classes: Vec<CompiledClass>,
    accounts: Vec<CompiledAccount>,
    tokens: TokenTable,
    allowed: AllowedTable,
}

impl FleetView {
    /// Validates a document and compiles it.
    ///
    /// # Errors
    ///
    /// Returns every fault. A single fault rejects the whole document.
    pub fn compile(document: FleetDocument) -> Result<Self, Vec<DocumentFault>> {
        let faults = validate_document(&document);
        if !faults.is_empty() {
            return Err(faults);
        }
        let targets = compile_targets(&document);
        let classes = compile_classes(&document);
        let accounts = compile_accounts(&document);
        let allowed = AllowedTable::build(&targets, &classes, &accounts);
        let warnings = document_warnings(&document);
        Ok(Self {
            digest: document_digest(&document),
            warnings,
            tokens: TokenTable::build(&accounts),
            targets,
            classes,
            accounts,
            allowed,
            document,
        })
    }

    /// Returns the document that the view was compiled from.
    pub fn document(&self) -> &FleetDocument {
        &self.document
    }

    /// Returns whether a host holds a seat in the document's roster.
    pub fn has_seat(&self, host: &str) -> bool {
        self.document
            .roster
            .seats
            .iter()
            .any(|seat| seat.host == host)
    }

    /// Returns the digest of the document; see [`document_digest`].
    pub fn digest(&self) -> &DocumentDigest {
        &self.digest
    }

    /// Returns warnings about entries that are valid but probably a mistake.
    pub fn warnings(&self) -> &[DocumentFault] {
        &self.warnings
    }

    /// Returns the targets, sorted by name.
    pub fn targets(&self) -> &[CompiledTarget] {
        &self.targets
    }

    /// Returns the classes in document order.
    pub fn classes(&self) -> &[CompiledClass] {
        &self.classes
    }

    /// Returns the accounts, sorted by name.
    pub fn accounts(&self) -> &[CompiledAccount] {
        &self.accounts
    }

    /// Returns the target with this name.
    pub fn target(&self, name: &str) -> Option<&CompiledTarget> {
        let index = self
            .targets
            .binary_search_by(|target| target.target.name.as_str().cmp(name))
            .ok()?;
        self.targets.get(index)
    }

    /// Returns the class with this name.
    pub fn class(&self, name: &str) -> Option<&CompiledClass> {
        self.classes.iter().find(|class| class.rule.name == name)
    }

    /// Returns the account with this name.
    pub fn account(&self, name: &str) -> Option<&CompiledAccount> {
        let index = self
            .accounts
            .binary_search_by(|account| account.account.name.as_str().cmp(name))
            .ok()?;
        self.accounts.get(index)
    }

    /// Returns the account that a bearer token belongs to.
    ///
    /// The duration of the lookup reveals nothing to a caller that guesses tokens.
    pub fn account_by_token(&self, token: &str) -> Option<&CompiledAccount> {
        self.accounts.get(self.tokens.find(token)?)
    }

    /// Returns the class of a request: the first in document order with a route that
    /// matches the method and path.
    ///
    /// If `request_class` is given, only the class of that name is considered; its
    /// routes must match as well.
    pub fn class_for_request(
        &self,
        method: &str,
        path: &str,
        request_class: Option<&str>,
    ) -> Option<&CompiledClass> {
        let path = without_query(path);
        if has_ambiguous_segment(path) {
            return None;
        }
        self.classes
            .iter()
            .filter(|class| request_class.is_none_or(|name| class.rule.name == name))
            .find(|class| class.has_route(method, path))
    }

    /// Returns the sorted names of the targets that may serve a request.
    ///
    /// The list doesn't reflect whether a target is reachable or accepts new work.
    /// `class` and `account` must come from this view; the list is empty otherwise.
    pub fn allowed_targets(
        &self,
        class: &CompiledClass,
        account: &CompiledAccount,
    ) -> Arc<Vec<TargetName>> {
        let is_own = self.owns_class(class) && self.owns_account(account);
        let row = self.allowed.row(class.index, account.index);
        match row {
            Some(names) if is_own => Arc::clone(names),
            _ => Arc::default(),
        }
    }

    /// Returns for every target whether it may serve the request, or the first
    /// reason that excludes it.
    pub fn explain(
        &self,
        class: &CompiledClass,
        account: &CompiledAccount,
    ) -> Vec<TargetExplanation> {
        let request = RequestLabels::new(&class.rule, &account.account);
        self.targets
            .iter()
            .map(|target| TargetExplanation {
                target: target.target.name.clone(),
                excluded: exclusion_reason(target, class, &request),
            })
            .collect()
    }

    fn owns_class(&self, class: &CompiledClass) -> bool {
        let own = self.classes.get(class.index);
        own.is_some_and(|own| own.rule.name == class.rule.name)
    }

    fn owns_account(&self, account: &CompiledAccount) -> bool {
        let own = self.accounts.get(account.index);
        own.is_some_and(|own| own.account.name == account.account.name)
    }
}

impl CompiledClass {
    fn has_route(&self, method: &str, path: &str) -> bool {
        let mut routes = self.rule.routes.iter();
        routes.any(|route| route_matches(route, method, path))
    }
}

fn exclusion_reason(
    target: &CompiledTarget,
    class: &CompiledClass,
    request: &RequestLabels<'_>,
) -> Option<ExclusionReason> {
    if let Some(requirement) = class.targets.first_mismatch(&target.labels) {
        return Some(ExclusionReason::ClassSelector(requirement.to_string()));
    }
    if let Some(requirement) = request.first_mismatch(&target.accepts) {
        return Some(ExclusionReason::TargetSelector(requirement.to_string()));
    }
    match target.target.state {
        TargetState::Leaving => Some(ExclusionReason::TargetLeaving),
        TargetState::Live => None,
    }
}

// Validation has already parsed every selector, so the defaults below are never used.

fn compile_targets(document: &FleetDocument) -> Vec<CompiledTarget> {
    let mut targets: Vec<CompiledTarget> = document
        .targets
        .iter()
        .map(|target| CompiledTarget {
            labels: target_labels(target),
            accepts: target.accepts.parse().unwrap_or_default(),
            target: target.clone(),
        })
        .collect();
    targets.sort_by(|left, right| left.target.name.cmp(&right.target.name));
    targets
}

fn compile_classes(document: &FleetDocument) -> Vec<CompiledClass> {
    document
        .classes
        .iter()
        .enumerate()
        .map(|(index, rule)| CompiledClass {
            targets: rule.targets.parse().unwrap_or_default(),
            rule: rule.clone(),
            index,
        })
        .collect()
}

fn compile_accounts(document: &FleetDocument) -> Vec<CompiledAccount> {
    let mut accounts = document.accounts.clone();
    accounts.sort_by(|left, right| left.name.cmp(&right.name));
    accounts
        .into_iter()
        .enumerate()
        .map(|(index, account)| CompiledAccount { account, index })
        .collect()
}
