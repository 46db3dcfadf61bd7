//! Suggestions for misspelled names.

/// Returns the known name with the smallest edit distance to `word`. Names that differ by more than
/// one character plus a quarter of their length are not suggested.
pub(super) fn nearest<'n>(word: &str, known: impl Iterator<Item = &'n str>) -> Option<&'n str> {
    let ranked = known
        .map(|k| (distance(word, k), k))
        .filter(|(d, k)| *d <= 1 + k.len() / 4);
    ranked.min().map(|(_, k)| k)
}

/// Returns the edit distance of two names, ignoring ASCII case.
fn distance(a: &str, b: &str) -> usize {
    let b: Vec<u8> = b.bytes().map(|c| c.to_ascii_lowercase()).collect();
    let mut row: Vec<usize> = (0..=b.len()).collect();
    for (i, x) in a.bytes().enumerate() {
        let mut corner = i;
        row[0] = i + 1;
        for (j, y) in b.iter().enumerate() {
            let change = corner + usize::from(x.to_ascii_lowercase() != *y);
            corner = row[j + 1];
            row[j + 1] = change.min(row[j] + 1).min(corner + 1);
        }
    }
    row[b.len()]
}
