//! Tests of the host's own parts.
