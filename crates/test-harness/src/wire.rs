//! Settings of a small node, the load balancer's side of FastCGI, and functions that split and
//! damage bytes for decoder tests.

use std::collections::BTreeMap;
use std::fmt::Debug;

/// Settings of a small node with three operations: read-like, keyed and non-idempotent. Each makes
/// one backend call.
pub const SETTINGS: &str = r#"{"Ceilings": {"RetryAfter": false, "MaxRetryAfter": 0.0},
    "Extra": {"Advert": "weight", "Below": "tier", "Cores": 1, "Cold": false, "Halt": "discard",
    "Gauges": ["cpu_busy", "mem_used"], "MemLimitKb": 90000.0, "RunFactor": 4.0, "Idle": 15.0, "Fresh": 0.0,
    "ClientsTotal": 2, "KeyKb": 1.0, "ClassCalls": [true, true, true], "DegradedWorth": [0.5, 0.0, 0.0]},
    "OverShareWorth": 0.0, "Servers": 2, "Step": 0.005, "WorthBy": "request",
    "Rules": {"Cold": 10.0, "ColdFrom": 0.25, "TipMultiple": 5.0, "StopSendingWithin": 0.5},
    "Services": [{"Name": "read", "Aim": 1.0, "Deadline": 3.0, "Effect": "read_like", "LateWorth": 0.0, "Points": 1.0},
        {"Name": "book", "Aim": 1.0, "Deadline": 3.0, "Effect": "idempotency_key", "DedupWindow": 5.0,
            "LateWorth": 0.0, "Points": 1.0},
        {"Name": "pay", "Aim": 1.0, "Deadline": 3.0, "Effect": "non_idempotent", "LateWorth": 0.0, "Points": 1.0}],
    "Tenants": [{"Name": "acme", "QuotaRps": 50.0}]}"#;

/// FastCGI record type BEGIN_REQUEST.
pub const BEGIN: u8 = 1;
/// FastCGI record type ABORT_REQUEST.
pub const ABORT: u8 = 2;
/// FastCGI record type PARAMS.
pub const PARAMS: u8 = 4;
/// FastCGI record type STDIN.
pub const STDIN: u8 = 5;
/// FastCGI record type GET_VALUES.
pub const GET_VALUES: u8 = 9;

/// Returns a FastCGI record with `padding` bytes after its content.
pub fn record(kind: u8, id: u16, content: &[u8], padding: u8) -> Vec<u8> {
    let ([i1, i0], [l1, l0]) = (id.to_be_bytes(), (content.len() as u16).to_be_bytes());
    let pad = vec![0xee; usize::from(padding)];
    [&[1, kind, i1, i0, l1, l0, padding, 0], content, &pad].concat()
}

/// Returns a BEGIN_REQUEST record.
pub fn begin(id: u16, role: u8, keep_conn: bool) -> Vec<u8> {
    record(BEGIN, id, &[0, role, u8::from(keep_conn), 0, 0, 0, 0, 0], 0)
}

/// Returns encoded name-value pairs; values of 128 bytes or more get a four-byte length.
pub fn pairs(pairs: &[(&str, &str)]) -> Vec<u8> {
    let mut bytes = Vec::new();
    for (name, value) in pairs {
        bytes.push(name.len() as u8);
        match value.len() {
            n if n < 128 => bytes.push(n as u8),
            n => bytes.extend_from_slice(&(n as u32 | 1 << 31).to_be_bytes()),
        }
        bytes.extend_from_slice(name.as_bytes());
        bytes.extend_from_slice(value.as_bytes());
    }
    bytes
}

/// Returns all records of a request, with parameters and body in one record each.
pub fn request(id: u16, params: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let params = [
        record(PARAMS, id, &pairs(params), 3),
        record(PARAMS, id, &[], 0),
    ]
    .concat();
    let stdin = if body.is_empty() {
        Vec::new()
    } else {
        record(STDIN, id, body, 5)
    };
    [begin(id, 1, true), params, stdin, record(STDIN, id, &[], 0)].concat()
}

/// Returns the parameters of a request that arrived at the Unix time `arrived_ms`, in milliseconds.
pub fn call_params<'a>(
    path: &'a str,
    request_id: &'a str,
    arrived_ms: &'a str,
) -> Vec<(&'a str, &'a str)> {
    vec![
        ("REQUEST_METHOD", "POST"),
        ("SCRIPT_NAME", path),
        ("HTTP_X_CORRELATION_ID", request_id),
        ("HTTP_X_ARRIVED_MS", arrived_ms),
        ("HTTP_X_UPSTREAM_PEER", "1"),
        ("HTTP_X_ORG", "acme"),
        ("HTTP_X_ESTIMATE_MS", "12.50"),
        ("HTTP_X_NEED_KB", "24.5"),
    ]
}

/// An answer that a load balancer has read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The FastCGI request id that the answer belongs to.
    pub id: u16,
    /// Value of the header field `Status`.
    pub status: String,
    /// All other header fields.
    pub fields: BTreeMap<String, String>,
    /// The body of the answer, after the header fields.
    pub body: Vec<u8>,
    /// The protocol status in the END_REQUEST record.
    pub protocol_status: u8,
}

/// Removes all complete records from the front of `bytes`, and returns the answers that END_REQUEST
/// completes. The received bytes of incomplete answers are kept in `open`, by FastCGI request id.
pub fn answers(bytes: &mut Vec<u8>, open: &mut BTreeMap<u16, Vec<u8>>) -> Vec<Answer> {
    let mut done = Vec::new();
    while bytes.len() >= 8 {
        let (kind, id) = (bytes[1], u16::from_be_bytes([bytes[2], bytes[3]]));
        let len = usize::from(u16::from_be_bytes([bytes[4], bytes[5]]));
        let whole = 8 + len + usize::from(bytes[6]);
        if bytes.len() < whole {
            break;
        }
        let content: Vec<u8> = bytes.drain(..whole).skip(8).take(len).collect();
        match kind {
            6 => open.entry(id).or_default().extend(content),
            3 => done.push(answer(id, open.remove(&id).unwrap_or_default(), content[4])),
            _ => {}
        }
    }
    done
}

fn answer(id: u16, stdout: Vec<u8>, protocol_status: u8) -> Answer {
    let end = stdout.windows(4).position(|w| w == b"\r\n\r\n");
    let Some(end) = end else {
        return Answer {
            id,
            protocol_status,
            ..Answer::default()
        };
    };
    let head = String::from_utf8_lossy(&stdout[..end]);
    let pairs = head.lines().filter_map(|line| line.split_once(": "));
    let mut fields: BTreeMap<_, _> = pairs.map(|(n, v)| (n.to_owned(), v.to_owned())).collect();
    let status = fields.remove("Status").unwrap_or_default();
    Answer {
        id,
        status,
        fields,
        body: stdout[end + 4..].to_vec(),
        protocol_status,
    }
}

/// Checks that a decoder returns the same result if the bytes are split in two at any index, or
/// into single bytes.
///
/// # Panics
///
/// Panics if the results differ.
pub fn same_at_every_split<T: PartialEq + Debug>(bytes: &[u8], read: impl Fn(&[&[u8]]) -> T) {
    let whole = read(&[bytes]);
    for index in 0..=bytes.len() {
        let split = [&bytes[..index], &bytes[index..]];
        assert_eq!(read(&split), whole, "split at {index}");
    }
    assert_eq!(
        read(&bytes.chunks(1).collect::<Vec<_>>()),
        whole,
        "byte by byte"
    );
}

/// Returns a thousand damaged copies of the bytes, the same ones in every run.
pub fn damaged(bytes: &[u8]) -> impl Iterator<Item = Vec<u8>> {
    let mut state = 11u64; // state of a linear congruential generator
    (0..1000).map(move |_| {
        let mut bytes = bytes.to_vec();
        for _ in 0..3 {
            state = state
                .wrapping_mul(6364136223846793005)
                .wrapping_add(1442695040888963407);
            let index = (state >> 33) as usize % bytes.len();
            match state >> 20 & 3 {
                0 => drop(bytes.remove(index)),
                1 => bytes.insert(index, (state >> 24) as u8),
                _ => bytes[index] = (state >> 24) as u8,
            }
        }
        bytes
    })
}
