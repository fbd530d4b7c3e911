//! Runs entry instances' state machines on a virtual clock, with simulated platform, peers and
//! upstreams. Random commands inject work and faults; an oracle that observes every event in true time
//! checks the invariants.

pub mod command;
pub mod oracle;
pub mod platform;
pub mod run;
pub mod work;
pub mod world;

/// Milliseconds of true time since the start of a run.
pub type Ms = u64;

/// A SplitMix64 generator. It has no dependencies, so that a seed gives the same run on every machine.
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
