//! The bytes of a body that is being received.

use std::io;

use bytes::Bytes;
use memmap2::MmapMut;

/// Size up to which a body is held on the heap, in bytes.
const MAX_HEAP_BYTES: usize = 64 << 10;
/// Steps in which the memory of a larger body is counted, in bytes; a multiple of the page size.
const COUNTED_BYTES: usize = 64 << 10;
/// Smallest memory that is reserved on the heap, in bytes.
const MIN_CAPACITY: usize = 4 << 10;

/// The bytes of a body that is being received.
#[derive(Debug)]
pub(super) enum BodyBytes {
    Small(Vec<u8>),
    Large(MappedBytes),
}

/// Bytes at the beginning of a mapping of their own.
///
/// Its pages take memory once they are written, and are given back as soon as it is dropped. The
/// heap would keep them, for each of its arenas.
#[derive(Debug)]
pub(super) struct MappedBytes {
    map: MmapMut,
    length: usize,
}

impl BodyBytes {
    /// Returns the number of bytes.
    pub(super) fn len(&self) -> usize {
        match self {
            Self::Small(bytes) => bytes.len(),
            Self::Large(bytes) => bytes.length,
        }
    }

    /// Returns the memory that the body takes with `count` more bytes, up to `max_bytes` in all.
    pub(super) fn memory_with(&self, count: usize, max_bytes: usize) -> usize {
        let length = self.len() + count;
        if length > MAX_HEAP_BYTES {
            return length.next_multiple_of(COUNTED_BYTES);
        }
        match self {
            Self::Small(bytes) if length <= bytes.capacity() => bytes.capacity(),
            Self::Small(bytes) => {
                let grown = (bytes.capacity() * 2).clamp(MIN_CAPACITY, MAX_HEAP_BYTES);
                grown.min(max_bytes).max(length)
            }
            Self::Large(_) => length,
        }
    }

    /// Appends bytes to a body of at most `max_bytes`.
    ///
    /// # Errors
    ///
    /// The system has no memory for a mapping.
    pub(super) fn append(&mut self, more: &[u8], max_bytes: usize) -> io::Result<()> {
        let capacity = self.memory_with(more.len(), max_bytes);
        let length = self.len() + more.len();
        match self {
            Self::Small(bytes) if length <= MAX_HEAP_BYTES => {
                bytes.reserve_exact(capacity - bytes.len());
                bytes.extend_from_slice(more);
                Ok(())
            }
            Self::Small(bytes) => {
                let mut mapped = MappedBytes {
                    map: MmapMut::map_anon(max_bytes.max(length))?,
                    length: 0,
                };
                mapped.append(bytes)?;
                mapped.append(more)?;
                *self = Self::Large(mapped);
                Ok(())
            }
            Self::Large(bytes) => bytes.append(more),
        }
    }
}

impl MappedBytes {
    fn append(&mut self, more: &[u8]) -> io::Result<()> {
        let end = self.length + more.len();
        let free = self.map.get_mut(self.length..end);
        free.ok_or(io::ErrorKind::OutOfMemory)?
            .copy_from_slice(more);
        self.length = end;
        Ok(())
    }
}

impl AsRef<[u8]> for MappedBytes {
    fn as_ref(&self) -> &[u8] {
        &self.map[..self.length]
    }
}

impl From<BodyBytes> for Bytes {
    fn from(body: BodyBytes) -> Self {
        match body {
            BodyBytes::Small(bytes) => Self::from(bytes),
            BodyBytes::Large(bytes) => Self::from_owner(bytes),
        }
    }
}
