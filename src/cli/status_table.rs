//! Formats a status as text: scalars as lines, lists of objects as tables.

use serde_json::Map;
use serde_json::Value;

/// The separator between two columns.
const COLUMN_GAP: &str = "  ";

/// The longest list that is printed in full; for a longer one only its length is printed.
const MAX_LISTED: usize = 8;

/// Formats a status as human-readable text.
///
/// No field is handled by name, so fields of newer daemons are printed as well.
pub(super) fn status_table(status: &Value) -> String {
    let mut text = String::new();
    match status {
        Value::Object(fields) => write_fields("", fields, &mut text),
        other => text = format!("{}\n", format_cell(other)),
    }
    text
}

/// Writes the scalars first and then each list under its own heading.
fn write_fields(prefix: &str, fields: &Map<String, Value>, text: &mut String) {
    let width = fields
        .iter()
        .filter(|(_, value)| !is_nested(value))
        .map(|(name, _)| prefix.len() + name.len())
        .max()
        .unwrap_or(0);
    for (name, value) in fields {
        if !is_nested(value) {
            let name = format!("{prefix}{name}");
            text.push_str(&format!(
                "{name:width$}{COLUMN_GAP}{}\n",
                format_cell(value)
            ));
        }
    }
    for (name, value) in fields {
        match value {
            Value::Object(inner) if !inner.is_empty() => {
                write_fields(&format!("{prefix}{name}."), inner, text);
            }
            Value::Array(rows) if is_nested(value) => {
                text.push_str(&format!("\n{prefix}{name}:\n"));
                write_rows(rows, text);
            }
            _ => {}
        }
    }
}

fn is_nested(value: &Value) -> bool {
    match value {
        Value::Object(fields) => !fields.is_empty(),
        Value::Array(rows) => rows.iter().any(Value::is_object),
        _ => false,
    }
}

fn write_rows(rows: &[Value], text: &mut String) {
    let names = column_names(rows);
    let mut lines = vec![names.iter().map(|name| (*name).clone()).collect()];
    for row in rows {
        let line: Vec<String> = names
            .iter()
            .map(|name| row.get(name.as_str()).map_or_else(String::new, format_cell))
            .collect();
        lines.push(line);
    }
    write_aligned(&lines, text);
}

/// Returns the distinct field names of all rows, in order of first occurrence.
fn column_names(rows: &[Value]) -> Vec<&String> {
    let mut names: Vec<&String> = Vec::new();
    for fields in rows.iter().filter_map(Value::as_object) {
        for name in fields.keys() {
            if !names.contains(&name) {
                names.push(name);
            }
        }
    }
    names
}

fn write_aligned(lines: &[Vec<String>], text: &mut String) {
    let columns = lines.first().map_or(0, Vec::len);
    let widths: Vec<usize> = (0..columns)
        .map(|column| lines.iter().map(|line| line[column].chars().count()).max())
        .map(Option::unwrap_or_default)
        .collect();
    for line in lines {
        let cells: Vec<String> = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        text.push_str(COLUMN_GAP);
        text.push_str(cells.join(COLUMN_GAP).trim_end());
        text.push('\n');
    }
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::Null => String::from("-"),
        Value::Object(fields) if fields.is_empty() => String::from("-"),
        Value::Array(values) if values.is_empty() => String::from("-"),
        Value::Array(values) if values.len() > MAX_LISTED => format!("{} entries", values.len()),
        Value::String(text) => text.clone(),
        Value::Array(values) => {
            let cells: Vec<String> = values.iter().map(format_cell).collect();
            cells.join(", ")
        }
        other => other.to_string(),
    }
}
