//! The core under faults: commands, fakes for platform, peers and upstreams on a virtual clock, and an
//! oracle that sees everything in true time.

pub mod command;
pub mod oracle;
pub mod platform;
pub mod run;
pub mod work;
pub mod world;

/// Milliseconds of true time since the start of a run.
pub type Ms = u64;

/// Random numbers of a run; small, so that a run is the same on every machine.
#[derive(Clone, Debug)]
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}
