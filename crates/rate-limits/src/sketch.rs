//! Sketches (count-min) of keys without an exact state. Each key has one cell in each of a few
//! rows, and may share cells with other keys by chance. A cell is never below the value of any of
//! its keys, so neither is the minimum over a key's cells: a limit that is checked against this
//! minimum may be too strict with a key, but is never too lenient. Both sketches raise only the
//! cells that are below the key's new value (conservative update), which limits the error for keys
//! that share its cells.

use crate::Nanos;

/// Number of rows. Each key has one cell in each row.
const ROWS: usize = 4;

fn mix(seed: u64, bucket: u32, key: u64) -> u64 {
    // The finaliser of SplitMix64 over key and bucket. It is enough because keys already come from
    // a hash with a secret, so a client cannot choose them.
    let mut hash = key ^ seed ^ u64::from(bucket).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}

/// Returns the indices of a key's cells, one in each row.
fn cell_indices(seed: u64, width: usize, bucket: u32, key: u64) -> [usize; ROWS] {
    let hash = mix(seed, bucket, key);
    // Double hashing: the two halves of one hash give an index for each row.
    let (first, step) = (hash as u32 as usize, (hash >> 32) as usize | 1);
    std::array::from_fn(|row| {
        row * width + (first.wrapping_add(row.wrapping_mul(step)) & (width - 1))
    })
}

/// Returns the number of cells in a row: a power of two, at least 16.
fn row_width(cells: usize) -> usize {
    let each = (cells / ROWS).max(16);
    if each.is_power_of_two() {
        each
    } else {
        each.next_power_of_two() / 2
    }
}

/// A sketch of the theoretical arrival times of keys.
pub struct DueTimeSketch {
    seed: u64,
    width: usize,
    cells: Box<[Nanos]>,
}

impl DueTimeSketch {
    /// Returns an empty sketch of about `cells` cells.
    pub fn new(cells: usize, seed: u64) -> DueTimeSketch {
        let width = row_width(cells);
        DueTimeSketch {
            seed,
            width,
            cells: vec![0; width * ROWS].into(),
        }
    }

    /// Returns the theoretical arrival time of a key or a later time; 0 if no request was recorded
    /// in one of the key's cells.
    pub fn due(&self, bucket: u32, key: u64) -> Nanos {
        cell_indices(self.seed, self.width, bucket, key)
            .into_iter()
            .map(|cell| self.cells[cell])
            .min()
            .unwrap_or(0)
    }

    /// Raises the theoretical arrival time of a key to at least `due`.
    pub fn raise(&mut self, bucket: u32, key: u64, due: Nanos) {
        for cell in cell_indices(self.seed, self.width, bucket, key) {
            self.cells[cell] = self.cells[cell].max(due);
        }
    }

    /// Returns the memory that the sketch takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.len() * size_of::<Nanos>()
    }
}

/// A sketch of the number of recent requests of keys. All counts are halved each time that the
/// number of additions reaches eight times the number of cells in a row.
pub struct FrequencySketch {
    seed: u64,
    width: usize,
    cells: Box<[u16]>,
    added: usize,
}

impl FrequencySketch {
    /// Returns an empty sketch of about `cells` cells.
    pub fn new(cells: usize, seed: u64) -> FrequencySketch {
        let width = row_width(cells);
        FrequencySketch {
            seed,
            width,
            cells: vec![0; width * ROWS].into(),
            added: 0,
        }
    }

    /// Counts one request of a key.
    pub fn add(&mut self, bucket: u32, key: u64) {
        let key_cells = cell_indices(self.seed, self.width, bucket, key);
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

    /// Returns the number of recent requests of a key, or a larger number.
    pub fn of(&self, bucket: u32, key: u64) -> u32 {
        let key_cells = cell_indices(self.seed, self.width, bucket, key);
        key_cells
            .into_iter()
            .map(|cell| u32::from(self.cells[cell]))
            .min()
            .unwrap_or(0)
    }

    /// Returns the memory that the sketch takes, in bytes.
    pub fn bytes(&self) -> usize {
        self.cells.len() * size_of::<u16>()
    }
}
