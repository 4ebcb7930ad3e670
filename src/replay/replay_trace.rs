//! Reads and writes traces as JSON lines.

use std::io;
use std::path::Path;

use derive_more::Display;
use derive_more::Error;

use super::TRACE_FORMAT;
use super::TraceArrival;
use super::TraceHeader;

/// A trace: a header and the arrivals in order of time.
#[derive(Clone, Debug, PartialEq)]
pub struct ReplayTrace {
    /// The fleet and the faults.
    pub header: TraceHeader,
    /// The requests, in order of arrival.
    pub arrivals: Vec<TraceArrival>,
}

/// Why a trace can't be replayed.
#[derive(Debug, Display, Error)]
pub enum TraceError {
    /// The file can't be read.
    #[display("can't read the trace: {_0}")]
    Unreadable(io::Error),
    /// A line is not a valid header or arrival.
    #[display("line {line}: {source}")]
    InvalidLine {
        /// The line number, starting at 1.
        line: usize,
        /// The parse error.
        source: serde_json::Error,
    },
    /// The trace has a format version that this build doesn't support.
    #[display("the trace has format {format}, this build reads {TRACE_FORMAT}")]
    UnsupportedFormat {
        /// The format version of the trace.
        format: u32,
    },
    /// The file is empty.
    #[display("the trace has no header line")]
    MissingHeader,
    /// An arrival names something that the header does not list.
    #[display("arrival {arrival} names {name}, which the header does not list")]
    UnknownName {
        /// The number of the arrival, starting at 1.
        arrival: usize,
        /// The unknown name.
        name: String,
    },
}

impl ReplayTrace {
    /// Reads a trace file.
    ///
    /// # Errors
    /// The file can't be read or is not a valid trace of this format.
    pub fn open(path: &Path) -> Result<Self, TraceError> {
        let text = std::fs::read_to_string(path).map_err(TraceError::Unreadable)?;
        Self::parse(&text)
    }

    /// Parses a trace.
    ///
    /// # Errors
    /// The text is not a valid trace of this format.
    pub fn parse(text: &str) -> Result<Self, TraceError> {
        let mut lines = text
            .lines()
            .enumerate()
            .filter(|(_, line)| !line.trim().is_empty());
        let (index, line) = lines.next().ok_or(TraceError::MissingHeader)?;
        let header: TraceHeader = parse_line(index, line)?;
        if header.format != TRACE_FORMAT {
            return Err(TraceError::UnsupportedFormat {
                format: header.format,
            });
        }
        let mut arrivals = Vec::new();
        for (index, line) in lines {
            arrivals.push(parse_line::<TraceArrival>(index, line)?);
        }
        // A recorder with several threads may write lines out of order.
        arrivals.sort_by_key(|arrival| arrival.at_us);
        let trace = Self { header, arrivals };
        trace.check_names()?;
        Ok(trace)
    }

    /// Serializes the trace as JSON lines.
    ///
    /// # Errors
    /// A value can't be represented as JSON.
    pub fn to_json_lines(&self) -> Result<String, serde_json::Error> {
        let mut text = serde_json::to_string(&self.header)?;
        text.push('\n');
        for arrival in &self.arrivals {
            text.push_str(&serde_json::to_string(arrival)?);
            text.push('\n');
        }
        Ok(text)
    }

    /// Returns a trace with only the arrivals for which `keep` returns true.
    pub fn filtered(&self, keep: impl Fn(&TraceArrival) -> bool) -> Self {
        Self {
            header: self.header.clone(),
            arrivals: self.arrivals.iter().filter(|a| keep(a)).cloned().collect(),
        }
    }

    fn check_names(&self) -> Result<(), TraceError> {
        for (index, arrival) in self.arrivals.iter().enumerate() {
            let header = &self.header;
            let host = header.hosts.contains(&arrival.host);
            let class = header.classes.iter().any(|c| c.name == arrival.class);
            let account = header.accounts.iter().any(|a| a.name == arrival.account);
            let name = match (host, class, account) {
                (false, _, _) => &arrival.host,
                (_, false, _) => &arrival.class,
                (_, _, false) => &arrival.account,
                _ => continue,
            };
            return Err(TraceError::UnknownName {
                arrival: index + 1,
                name: name.clone(),
            });
        }
        Ok(())
    }
}

fn parse_line<'a, T: serde::Deserialize<'a>>(index: usize, line: &'a str) -> Result<T, TraceError> {
    serde_json::from_str(line).map_err(|source| TraceError::InvalidLine {
        line: index + 1,
        source,
    })
}
