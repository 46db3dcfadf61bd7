//! What is known of keys that have no entry of their own: for each key a few cells, shared with
//! others by chance. A cell only ever holds too much, so that the least of a key's cells is never
//! too little: a limit that is kept by it may be too strict with a key, and never too lenient. Both
//! sketches raise only the cells that are below what the key comes to (conservative update), which
//! keeps what others are charged for it small.

use crate::Nanos;

const ROWS: usize = 4;

fn mix(seed: u64, bucket: u32, key: u64) -> u64 {
    // The finaliser of SplitMix64 over both; keys are already numbers that nobody outside can
    // choose.
    let mut z = key ^ seed ^ u64::from(bucket).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The cells of a key: one in each row.
fn cells(seed: u64, width: usize, bucket: u32, key: u64) -> [usize; ROWS] {
    let hash = mix(seed, bucket, key);
    // Two halves give as many rows as are wanted.
    let (a, b) = (hash as u32 as usize, (hash >> 32) as usize | 1);
    std::array::from_fn(|row| row * width + (a.wrapping_add(row.wrapping_mul(b)) & (width - 1)))
}

fn width(cells: usize) -> usize {
    let each = (cells / ROWS).max(16);
    if each.is_power_of_two() {
        each
    } else {
        each.next_power_of_two() / 2
    }
}

/// Due times of keys.
pub struct DueTimeSketch {
    seed: u64,
    width: usize,
    cells: Box<[Nanos]>,
}

impl DueTimeSketch {
    /// About so many cells.
    pub fn new(cells: usize, seed: u64) -> DueTimeSketch {
        let width = width(cells);
        DueTimeSketch {
            seed,
            width,
            cells: vec![0; width * ROWS].into(),
        }
    }

    /// When a key is due, or later.
    pub fn due(&self, bucket: u32, key: u64) -> Nanos {
        cells(self.seed, self.width, bucket, key)
            .into_iter()
            .map(|c| self.cells[c])
            .min()
            .unwrap_or(0)
    }

    /// A key is due not before this.
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

/// How often keys came lately: all counts are halved from time to time.
pub struct FrequencySketch {
    seed: u64,
    width: usize,
    cells: Box<[u16]>,
    added: usize,
}

impl FrequencySketch {
    /// About so many cells.
    pub fn new(cells: usize, seed: u64) -> FrequencySketch {
        let width = width(cells);
        FrequencySketch {
            seed,
            width,
            cells: vec![0; width * ROWS].into(),
            added: 0,
        }
    }

    /// A key came.
    pub fn add(&mut self, bucket: u32, key: u64) {
        let places = cells(self.seed, self.width, bucket, key);
        let least = places.into_iter().map(|c| self.cells[c]).min().unwrap_or(0);
        for cell in places {
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
        let places = cells(self.seed, self.width, bucket, key);
        places
            .into_iter()
            .map(|c| u32::from(self.cells[c]))
            .min()
            .unwrap_or(0)
    }

    /// Bytes that it takes.
    pub fn bytes(&self) -> usize {
        self.cells.len() * size_of::<u16>()
    }
}
