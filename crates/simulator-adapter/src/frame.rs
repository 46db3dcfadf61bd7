//! Bounds-checked reading and writing of the wire's frames.

use std::fmt;
use std::io::{self, Read};

/// Bodies of batches longer than this are taken for garbage.
const LONGEST_BODY: usize = 256 << 20;

/// Why the input cannot be followed: the record, the field and the offset in the frame.
#[derive(Debug, PartialEq, Eq)]
pub struct Malformed {
    pub record: String,
    pub field: String,
    pub offset: usize,
    pub what: String,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "record {}, field {}, offset {}: {}",
            self.record, self.field, self.offset, self.what
        )
    }
}

/// Reads the fields of one record, or the records of one body.
pub struct Fields<'a> {
    bytes: &'a [u8],
    at: usize,
    base: usize,
    record: String,
}

impl<'a> Fields<'a> {
    pub fn new(bytes: &'a [u8], base: usize, record: &str) -> Self {
        Fields {
            bytes,
            at: 0,
            base,
            record: record.to_owned(),
        }
    }

    pub fn is_empty(&self) -> bool {
        self.at >= self.bytes.len()
    }

    pub fn offset(&self) -> usize {
        self.base + self.at
    }

    pub fn malformed(&self, field: &str, what: impl Into<String>) -> Malformed {
        Malformed {
            record: self.record.clone(),
            field: field.to_owned(),
            offset: self.offset(),
            what: what.into(),
        }
    }

    pub fn bytes(&mut self, field: &str, len: usize) -> Result<&'a [u8], Malformed> {
        let left = self.bytes.len() - self.at;
        if len > left {
            return Err(self.malformed(field, format!("needs {len} bytes, {left} are left")));
        }
        self.at += len;
        Ok(&self.bytes[self.at - len..self.at])
    }

    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], Malformed> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(field, N)?);
        Ok(array)
    }

    pub fn u8(&mut self, field: &str) -> Result<u8, Malformed> {
        Ok(u8::from_be_bytes(self.array(field)?))
    }

    pub fn u16(&mut self, field: &str) -> Result<u16, Malformed> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }

    pub fn u32(&mut self, field: &str) -> Result<u32, Malformed> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }

    pub fn u64(&mut self, field: &str) -> Result<u64, Malformed> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }

    pub fn f32(&mut self, field: &str) -> Result<f32, Malformed> {
        let value = f32::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.malformed(field, "not a finite number"))
        }
    }

    /// A time in seconds, as whole nanoseconds.
    pub fn nanos(&mut self, field: &str) -> Result<u64, Malformed> {
        let value = self.f64(field)?;
        if value < 0.0 {
            return Err(self.malformed(field, format!("negative time {value}")));
        }
        Ok((value * 1e9).round() as u64)
    }

    pub fn f64(&mut self, field: &str) -> Result<f64, Malformed> {
        let value = f64::from_be_bytes(self.array(field)?);
        if value.is_finite() {
            Ok(value)
        } else {
            Err(self.malformed(field, "not a finite number"))
        }
    }
}

/// Fills `into`, or tells how many bytes came before the input ended.
fn fill(input: &mut impl Read, into: &mut [u8]) -> io::Result<usize> {
    let mut got = 0;
    while got < into.len() {
        match input.read(&mut into[got..]) {
            Ok(0) => break,
            Ok(n) => got += n,
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            Err(e) => return Err(e),
        }
    }
    Ok(got)
}

/// Reads one batch into `body` and returns its clock, or `None` at the end of input.
pub fn read_batch(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<u64>, Malformed> {
    let in_header = |offset, what: String| Malformed {
        record: "batch".into(),
        field: "header".into(),
        offset,
        what,
    };
    let mut header = [0; 12];
    match fill(input, &mut header).map_err(|e| in_header(0, e.to_string()))? {
        0 => return Ok(None),
        12 => {}
        n => return Err(in_header(n, format!("input ended after {n} of 12 bytes"))),
    }
    let mut fields = Fields::new(&header, 0, "batch");
    let len = fields.u32("length")? as usize;
    if len > LONGEST_BODY {
        return Err(in_header(
            0,
            format!("{len} bytes announced, at most {LONGEST_BODY} are taken"),
        ));
    }
    let now = fields.nanos("clock")?;
    body.clear();
    let got = input
        .take(len as u64)
        .read_to_end(body)
        .map_err(|e| in_header(12, e.to_string()))?;
    if got < len {
        return Err(in_header(
            12 + got,
            format!("input ended after {got} of {len} bytes"),
        ));
    }
    Ok(Some(now))
}

/// Collects the records of one reply.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// Adds a record whose fields are the parts, back to back.
    pub fn record(&mut self, code: u8, instance: u16, parts: &[&[u8]]) {
        let len = 2 + parts.iter().map(|p| p.len()).sum::<usize>();
        self.count += 1;
        self.body.push(code);
        self.body.extend((len as u32).to_be_bytes());
        self.body.extend(instance.to_be_bytes());
        for part in parts {
            self.body.extend(*part);
        }
    }

    /// Writes the reply and empties it.
    pub fn send(&mut self, output: &mut impl io::Write) -> io::Result<()> {
        output.write_all(&self.count.to_be_bytes())?;
        output.write_all(&(self.body.len() as u32).to_be_bytes())?;
        output.write_all(&self.body)?;
        self.count = 0;
        self.body.clear();
        output.flush()
    }
}
