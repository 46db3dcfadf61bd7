//! Reads the fields of a record with bounds checks. Numbers are big-endian.

use crate::error::{Cause, Malformed};
use madderpoint::Nanos;
use std::borrow::Cow;

/// Reader of the fields of one record, or of the records of one batch body.
pub(crate) struct Fields<'a> {
    bytes: &'a [u8],
    /// Number of bytes that have been read.
    read: usize,
    /// Offset of `bytes` from the start of the batch.
    base: usize,
    record: Cow<'static, str>,
}

impl<'a> Fields<'a> {
    /// Creates a reader of `bytes`, which start at offset `base` of the batch. Errors name
    /// `record`.
    pub(crate) fn new(bytes: &'a [u8], base: usize, record: impl Into<Cow<'static, str>>) -> Self {
        Fields {
            bytes,
            read: 0,
            base,
            record: record.into(),
        }
    }

    /// Returns whether all bytes have been read.
    pub(crate) fn is_empty(&self) -> bool {
        self.read >= self.bytes.len()
    }

    /// Returns the offset of the next unread byte from the start of the batch.
    pub(crate) fn offset(&self) -> usize {
        self.base + self.read
    }

    /// Returns an error for a field at the present offset.
    pub(crate) fn malformed(&self, field: &'static str, cause: impl Into<Cause>) -> Malformed {
        Malformed {
            record: self.record.to_string(),
            field,
            offset: self.offset(),
            cause: cause.into(),
        }
    }

    pub(crate) fn bytes(&mut self, field: &'static str, len: usize) -> Result<&'a [u8], Malformed> {
        let left = self.bytes.len() - self.read;
        if len > left {
            return Err(self.malformed(field, Cause::CutShort { needed: len, left }));
        }
        self.read += len;
        Ok(&self.bytes[self.read - len..self.read])
    }

    fn array<const N: usize>(&mut self, field: &'static str) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(field, N)?);
        Ok(array)
    }

    pub(crate) fn u8(&mut self, field: &'static str) -> Result<u8, Malformed> {
        Ok(u8::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u16(&mut self, field: &'static str) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u32(&mut self, field: &'static str) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    pub(crate) fn u64(&mut self, field: &'static str) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    /// Reads a finite number.
    pub(crate) fn f32(&mut self, field: &'static str) -> Result<f32, Malformed> {
        let value = f32::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.malformed(field, Cause::NotFinite))
        }
    }

    /// Reads a finite number.
    pub(crate) fn f64(&mut self, field: &'static str) -> Result<f64, Malformed> {
        let value = f64::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.malformed(field, Cause::NotFinite))
        }
    }

    /// Reads a time in seconds and rounds it to whole nanoseconds.
    pub(crate) fn nanos(&mut self, field: &'static str) -> Result<Nanos, Malformed> {
        let seconds = self.f64(field)?;
        if seconds < 0.0 {
            return Err(self.malformed(field, Cause::NegativeTime(seconds)));
        }
        Ok((seconds * 1e9).round() as Nanos)
    }
}
