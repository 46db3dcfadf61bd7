//! Base64, and the flat JSON objects of the kernel's protocol.

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes in base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let group = (0..3).fold(0u32, |group, index| {
            group << 8 | u32::from(chunk.get(index).copied().unwrap_or(0))
        });
        for index in 0..4 {
            let digit = ALPHABET[(group >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// Decodes base64 with padding.
pub fn from_base64(text: &str) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let (mut group, mut digits) = (0u32, 0);
    for byte in text.bytes().filter(|&byte| byte != b'=') {
        let digit = ALPHABET.iter().position(|&known| known == byte)?;
        group = group << 6 | digit as u32;
        digits += 1;
        if digits == 4 {
            bytes.extend_from_slice(&group.to_be_bytes()[1..]);
            (group, digits) = (0, 0);
        }
    }
    if digits > 1 {
        let rest = (group << (6 * (4 - digits))).to_be_bytes();
        bytes.extend_from_slice(&rest[1..digits as usize]);
    }
    Some(bytes)
}

/// Returns the value of a field of a flat JSON object, without quotes.
pub fn field<'a>(line: &'a str, name: &str) -> Option<&'a str> {
    let start = line.find(&format!("\"{name}\":"))? + name.len() + 3;
    let rest = line[start..].trim_start();
    match rest.strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => rest.split([',', '}']).next().map(str::trim),
    }
}
