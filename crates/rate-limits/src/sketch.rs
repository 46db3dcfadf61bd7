//! What is known of keys without an exact state: for each key a few cells, which other keys may share
//! by chance. A cell is never too low, so the least of a key's cells is not either: a limit that is
//! kept by it may be too strict with a key, and is never too lenient. Both sketches raise only the
//! cells that are below the key's value (conservative update), which keeps small what other keys are
//! charged for it.

use crate::Nanos;

/// Cells of a key: one in each row.
const ROWS: usize = 4;

fn mix(seed: u64, bucket: u32, key: u64) -> u64 {
    // The finaliser of SplitMix64 over both; keys are already numbers that no client can choose.
    let mut hash = key ^ seed ^ u64::from(bucket).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// The cells of a key: one in each row.
fn cells(seed: u64, width: usize, bucket: u32, key: u64) -> [usize; ROWS] {
    let hash = mix(seed, bucket, key);
    // Double hashing: two halves give as many rows as needed.
    let (first, step) = (hash as u32 as usize, (hash >> 32) as usize | 1);
    std::array::from_fn(|row| {
        row * width + (first.wrapping_add(row.wrapping_mul(step)) & (width - 1))
    })
}

/// Cells of a row: a power of two.
fn width(cells: usize) -> usize {
    let each = (cells / ROWS).max(16);
    if each.is_power_of_two() {
        each
    } else {
        each.next_power_of_two() / 2
    }
}

/// Theoretical arrival times of keys.
pub struct DueTimeSketch {
    seed: u64,
    width: usize,
    cells: Box<[Nanos]>,
}

impl DueTimeSketch {
    /// A sketch of about this many cells.
    pub fn new(cells: usize, seed: u64) -> DueTimeSketch {
        let width = width(cells);
        DueTimeSketch {
            seed,
            width,
            cells: vec![0; width * ROWS].into(),
        }
    }

    /// When a key is due, or later; 0 if it is not known.
    pub fn due(&self, bucket: u32, key: u64) -> Nanos {
        cells(self.seed, self.width, bucket, key)
            .into_iter()
            .map(|cell| self.cells[cell])
            .min()
            .unwrap_or(0)
    }

    /// Raises a key to be due not before this.
    pub fn raise(&mut self, bucket: u32, key: u64, due: Nanos) {
        for cell in cells(self.seed, self.width, bucket, key) {
            self.cells[cell] = self.cells[cell].max(due);
        }
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.cells.len() * size_of::<Nanos>()
    }
}

/// How often keys came lately: all counts are halved after eight times as many additions as a row has
/// cells.
pub struct FrequencySketch {
    seed: u64,
    width: usize,
    cells: Box<[u16]>,
    added: usize,
}

impl FrequencySketch {
    /// A sketch of about this many cells.
    pub fn new(cells: usize, seed: u64) -> FrequencySketch {
        let width = width(cells);
        FrequencySketch {
            seed,
            width,
            cells: vec![0; width * ROWS].into(),
            added: 0,
        }
    }

    /// Counts a key.
    pub fn add(&mut self, bucket: u32, key: u64) {
        let key_cells = cells(self.seed, self.width, bucket, key);
        let least = key_cells
            .into_iter()
            .map(|cell| self.cells[cell])
            .min()
            .unwrap_or(0);
        for cell in key_cells {
            self.cells[cell] = self.cells[cell].max(least.saturating_add(1));
        }
        self.added += 1;
        if self.added >= self.width * 8 {
            self.added = 0;
            self.cells.iter_mut().for_each(|cell| *cell /= 2);
        }
    }

    /// How often it came lately, or more.
    pub fn of(&self, bucket: u32, key: u64) -> u32 {
        let key_cells = cells(self.seed, self.width, bucket, key);
        key_cells
            .into_iter()
            .map(|cell| u32::from(self.cells[cell]))
            .min()
            .unwrap_or(0)
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.cells.len() * size_of::<u16>()
    }
}
