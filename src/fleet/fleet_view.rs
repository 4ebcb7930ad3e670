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
use super::route_match::is_ambiguous;
use super::route_match::route_matches;
use super::route_match::without_query;
use super::target_explanation::ExclusionReason;
use super::target_explanation::TargetExplanation;
use super::token_table::TokenTable;
use super::validation::document_warnings;
use super::validation::validate_document;

/// A fleet document that was found sound, with its selectors parsed and the
/// allowed targets of each class and account worked out.
///
/// It never changes: the request path reads it through `arc-swap`, and a new
/// document makes a new view.
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
    /// Checks a document as a whole and compiles it.
    ///
    /// # Errors
    ///
    /// Every fault at once; a document with one fault is refused whole.
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

    /// Tells whether a host holds a seat of the document's roster.
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

    /// Returns what is allowed and yet most likely a mistake.
    pub fn warnings(&self) -> &[DocumentFault] {
        &self.warnings
    }

    /// Returns the targets, sorted by name.
    pub fn targets(&self) -> &[CompiledTarget] {
        &self.targets
    }

    /// Returns the classes, in the document's order.
    pub fn classes(&self) -> &[CompiledClass] {
        &self.classes
    }

    /// Returns the accounts, sorted by name.
    pub fn accounts(&self) -> &[CompiledAccount] {
        &self.accounts
    }

    /// Returns the target of this name.
    pub fn target(&self, name: &str) -> Option<&CompiledTarget> {
        let index = self
            .targets
            .binary_search_by(|target| target.target.name.as_str().cmp(name))
            .ok()?;
        self.targets.get(index)
    }

    /// Returns the class of this name.
    pub fn class(&self, name: &str) -> Option<&CompiledClass> {
        self.classes.iter().find(|class| class.rule.name == name)
    }

    /// Returns the account of this name.
    pub fn account(&self, name: &str) -> Option<&CompiledAccount> {
        let index = self
            .accounts
            .binary_search_by(|account| account.account.name.as_str().cmp(name))
            .ok()?;
        self.accounts.get(index)
    }

    /// Returns the account whose bearer token this is.
    ///
    /// How long the look-up takes tells a caller that guesses tokens nothing.
    pub fn account_by_token(&self, token: &str) -> Option<&CompiledAccount> {
        self.accounts.get(self.tokens.find(token)?)
    }

    /// Returns the class of a request: the one that it names, or else the first
    /// in the document that has a route for the method and path.
    ///
    /// A class that the request names must have such a route as well.
    pub fn class_for_request(
        &self,
        method: &str,
        path: &str,
        request_class: Option<&str>,
    ) -> Option<&CompiledClass> {
        let path = without_query(path);
        if is_ambiguous(path) {
            return None;
        }
        self.classes
            .iter()
            .filter(|class| request_class.is_none_or(|name| class.rule.name == name))
            .find(|class| class.takes(method, path))
    }

    /// Returns the sorted names of the targets that a request may go to.
    ///
    /// Whether a target is there and takes new work is not told here. `class`
    /// and `account` must come from this view; of another one they get nothing.
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

    /// Returns for every target whether the request may go there, or the first
    /// reason why not.
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
                excluded: exclusion(target, class, &request),
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
    fn takes(&self, method: &str, path: &str) -> bool {
        let mut routes = self.rule.routes.iter();
        routes.any(|route| route_matches(route, method, path))
    }
}

fn exclusion(
    target: &CompiledTarget,
    class: &CompiledClass,
    request: &RequestLabels<'_>,
) -> Option<ExclusionReason> {
    if let Some(term) = class.targets.first_mismatch(&target.labels) {
        return Some(ExclusionReason::ClassSelector(term.to_string()));
    }
    if let Some(term) = request.first_mismatch(&target.accepts) {
        return Some(ExclusionReason::TargetSelector(term.to_string()));
    }
    match target.target.state {
        TargetState::Leaving => Some(ExclusionReason::TargetLeaving),
        TargetState::Live => None,
    }
}

// Validation has parsed every selector, so the defaults below are never taken.

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
