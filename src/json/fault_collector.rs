//! Collects all schema faults of a value, although the deserializer stops at the first.
//!
//! After each fault the element in question is removed from the untyped value, and
//! the value is deserialized again. This may report the removed field as missing, or
//! the field that a misspelt one was meant to be. Such a follow-up fault is not
//! reported; the object that lacks the field is removed instead.

use serde::de::DeserializeOwned;
use serde_json::Value;
use serde_path_to_error::Segment;

use super::DocumentFault;

/// The maximum number of reported faults; a longer list would not help the author.
const MAX_FAULTS: usize = 100;

/// One step on the path from a value to one of its elements.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PathStep {
    Field(String),
    Index(usize),
}

/// The path of an element in the original value.
type ElementPath = Vec<PathStep>;

/// Returns every schema fault that prevents deserializing `value` as a `T`.
pub(super) fn collect_faults<T: DeserializeOwned>(mut value: Value) -> Vec<DocumentFault> {
    let mut faults = Vec::new();
    let mut removed: Vec<ElementPath> = Vec::new();
    let mut expected_missing: Vec<ElementPath> = Vec::new();
    while faults.len() < MAX_FAULTS {
        let Err(error) = serde_path_to_error::deserialize::<_, T>(&value) else {
            break;
        };
        let message = error.inner().to_string();
        let steps = path_steps(error.path());
        let original = original_path(&steps, &removed);
        let is_missing = message.starts_with("missing field");
        if !is_missing || !is_expected_missing(&original, &message, &expected_missing) {
            let fault = schema_fault(&original, &message);
            expected_missing.extend(expected_missing_fields(&original, &fault));
            faults.push(fault);
        }
        let part = if is_missing {
            enclosing_element(&steps)
        } else {
            steps
        };
        if !remove_element(&mut value, &part) {
            break;
        }
        removed.push(original_path(&part, &removed));
    }
    faults
}

fn path_steps(path: &serde_path_to_error::Path) -> Vec<PathStep> {
    path.iter()
        .filter_map(|segment| match segment {
            Segment::Seq { index } => Some(PathStep::Index(*index)),
            Segment::Map { key } => Some(PathStep::Field(key.clone())),
            Segment::Enum { .. } | Segment::Unknown => None,
        })
        .collect()
}

/// Translates a path in the value without the removed elements to the original path.
fn original_path(steps: &[PathStep], removed: &[ElementPath]) -> Vec<PathStep> {
    let mut original: Vec<PathStep> = Vec::with_capacity(steps.len());
    for step in steps {
        let step = match step {
            PathStep::Field(_) => step.clone(),
            PathStep::Index(index) => PathStep::Index(original_index(*index, &original, removed)),
        };
        original.push(step);
    }
    original
}

/// Returns the original index of an element: `index` plus the number of elements removed
/// before it from the array at `array`.
fn original_index(index: usize, array: &[PathStep], removed: &[ElementPath]) -> usize {
    let mut removed_indices: Vec<usize> = removed
        .iter()
        .filter_map(|part| match part.split_last() {
            Some((PathStep::Index(index), parent)) if parent == array => Some(*index),
            _ => None,
        })
        .collect();
    removed_indices.sort_unstable();
    removed_indices.into_iter().fold(
        index,
        |index, position| {
            if position <= index { index + 1 } else { index }
        },
    )
}

/// Returns the fields that will be reported as missing once the element at `steps` is
/// removed: the element itself, and the field that it was probably meant to be.
fn expected_missing_fields(steps: &[PathStep], fault: &DocumentFault) -> Vec<ElementPath> {
    let mut missing = vec![steps.to_vec()];
    if let (Some(name), Some((_, object))) = (&fault.suggestion, steps.split_last()) {
        let field = PathStep::Field(name.clone());
        missing.push([object, &[field]].concat());
    }
    missing
}

/// Returns whether a missing field results from a fault that is already reported.
fn is_expected_missing(
    object: &[PathStep],
    message: &str,
    expected_missing: &[ElementPath],
) -> bool {
    let Some(field) = quoted_names(message).next() else {
        return false;
    };
    expected_missing.iter().any(|part| match part.split_last() {
        Some((PathStep::Field(name), parent)) => parent == object && name == field,
        _ => false,
    })
}

/// Returns the innermost array element around `steps`, or the outermost field.
fn enclosing_element(steps: &[PathStep]) -> Vec<PathStep> {
    let element = steps
        .iter()
        .rposition(|step| matches!(step, PathStep::Index(_)));
    match element {
        Some(position) => steps[..=position].to_vec(),
        None => steps.to_vec(),
    }
}

fn remove_element(value: &mut Value, part: &[PathStep]) -> bool {
    let Some((last, parents)) = part.split_last() else {
        return false;
    };
    let parent = parents.iter().try_fold(value, |value, step| match step {
        PathStep::Field(name) => value.get_mut(name),
        PathStep::Index(index) => value.get_mut(*index),
    });
    match (parent, last) {
        (Some(Value::Object(fields)), PathStep::Field(name)) => fields.remove(name).is_some(),
        (Some(Value::Array(elements)), PathStep::Index(index)) if *index < elements.len() => {
            elements.remove(*index);
            true
        }
        _ => false,
    }
}

/// Creates a fault from the deserializer's message. For an unknown name the message
/// lists the known ones, and the closest becomes the suggestion.
fn schema_fault(steps: &[PathStep], message: &str) -> DocumentFault {
    let fault = DocumentFault::new(path_text(steps), message);
    if !message.starts_with("unknown") {
        return fault;
    }
    let mut names = quoted_names(message);
    match names.next() {
        Some(name) => fault.with_suggestion(name, names),
        None => fault,
    }
}

/// Returns the texts between backticks.
fn quoted_names(message: &str) -> impl Iterator<Item = &str> {
    message.split('`').skip(1).step_by(2)
}

fn path_text(steps: &[PathStep]) -> String {
    let mut text = String::new();
    for step in steps {
        match step {
            PathStep::Field(name) if text.is_empty() => text.push_str(name),
            PathStep::Field(name) => {
                text.push('.');
                text.push_str(name);
            }
            PathStep::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    if text.is_empty() {
        text.push('.');
    }
    text
}
