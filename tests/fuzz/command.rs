//! What a sequence consists of.

use quickcheck::{Arbitrary, Gen};

/// One step. Numbers are taken modulo what exists, so every sequence is valid and shrinks freely.
#[derive(Clone, Debug, PartialEq)]
pub enum Cmd {
    /// A call; `id`: 0 none, 1 the caller's own, 2 issued, 3 the last one again.
    Call {
        node: u8,
        key: u8,
        id: u8,
        seconds: u8,
    },
    /// One request with the caller's own id at two instances at once.
    Race {
        node: u8,
        other: u8,
    },
    /// Several calls of one team at once.
    Burst {
        node: u8,
        calls: u8,
        seconds: u8,
    },
    Job {
        node: u8,
        idempotent: bool,
        seconds: u8,
        bad: bool,
    },
    CancelJobs {
        node: u8,
        every: u8,
    },
    /// Operators at two instances change the same section.
    Publish {
        node: u8,
        other: u8,
        limit: u8,
    },
    /// Another part of the limits held without a lease, and another longest deadline.
    PublishProfile {
        node: u8,
        reserve: u8,
    },
    KeyGrant {
        node: u8,
        key: u8,
    },
    KeyWithdraw {
        node: u8,
        key: u8,
    },
    ZoneOut {
        node: u8,
        zone: u8,
    },
    ZoneBack {
        node: u8,
        zone: u8,
    },
    InstanceOut {
        node: u8,
        upstream: u8,
    },
    InstanceBack {
        node: u8,
        upstream: u8,
    },
    Drain {
        node: u8,
        upstream: u8,
    },
    Move {
        node: u8,
        upstream: u8,
        pool: u8,
    },
    Kill {
        node: u8,
    },
    Restart {
        node: u8,
    },
    Freeze {
        node: u8,
        seconds: u8,
    },
    Stop {
        node: u8,
    },
    /// Zone `a` no longer reaches zone `b`; both ways if so.
    CutZones {
        a: u8,
        b: u8,
        both: bool,
    },
    /// Requests of a zone to the platform are lost, or answers to it, or both (0, 1, 2).
    CutPlatform {
        zone: u8,
        way: u8,
    },
    /// A zone is cut off from the platform and from all other zones.
    Isolate {
        zone: u8,
    },
    /// The next instance that starts a job is frozen between its last check and the write.
    StallStart {
        seconds: u8,
    },
    /// A zone is isolated while its units and all others are in use.
    CutOffUnderLoad {
        node: u8,
    },
    HealCuts,
    PlatformDown {
        down: bool,
    },
    PlatformSlow {
        tenths: u8,
    },
    LoseAnswers {
        on: bool,
    },
    /// Answers come late, doubled and crossed.
    Disorder {
        on: bool,
    },
    /// The retention passes all but the last entries.
    Trim {
        keep: u8,
    },
    UpstreamDies {
        upstream: u8,
    },
    UpstreamDeparts {
        upstream: u8,
    },
    /// It fails everything that it starts.
    UpstreamBad {
        upstream: u8,
        bad: bool,
    },
    Wait {
        tenths: u8,
    },
}

/// A sequence and the seed of everything random in its run.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub seed: u64,
    pub steps: Vec<Cmd>,
}

impl Sequence {
    /// The sequence of a seed.
    pub fn generate(seed: u64, steps: usize) -> Sequence {
        let mut g = Gen::from_size_and_seed(steps, seed);
        Sequence { seed, steps: (0..steps).map(|_| Cmd::arbitrary(&mut g)).collect() }
    }

    /// Smaller sequences, the most promising first.
    pub fn smaller(&self) -> impl Iterator<Item = Sequence> + use<> {
        let seed = self.seed;
        self.steps.shrink().map(move |steps| Sequence { seed, steps })
    }
}

impl Arbitrary for Cmd {
    fn arbitrary(g: &mut Gen) -> Cmd {
        let [a, b, c, d] = [0; 4].map(|_| u8::arbitrary(g));
        let on = d % 2 == 0;
        match u8::arbitrary(g) % 64 {
            0..=9 => Cmd::Call { node: a, key: b % 6, id: c % 4, seconds: d % 8 },
            10..=14 => Cmd::Burst { node: a, calls: b % 12, seconds: d % 8 },
            15..=19 => Cmd::Job { node: a, idempotent: on, seconds: c % 10, bad: b % 8 == 0 },
            20 => Cmd::CancelJobs { node: a, every: b % 3 },
            21 | 22 => Cmd::Publish { node: a, other: b, limit: c % 8 },
            23 => Cmd::KeyGrant { node: a, key: b % 6 },
            24 | 25 => Cmd::KeyWithdraw { node: a, key: b % 6 },
            26 | 27 => Cmd::ZoneOut { node: a, zone: b % 3 },
            28 => Cmd::ZoneBack { node: a, zone: b % 3 },
            29 => Cmd::InstanceOut { node: a, upstream: b },
            30 => Cmd::InstanceBack { node: a, upstream: b },
            31..=33 => Cmd::Drain { node: a, upstream: b },
            34 | 35 => Cmd::Move { node: a, upstream: b, pool: c % 3 },
            36 => Cmd::Kill { node: a },
            37 | 38 => Cmd::Restart { node: a },
            39..=41 => Cmd::Freeze { node: a, seconds: b % 40 },
            42 => Cmd::Stop { node: a },
            43 => Cmd::CutZones { a: a % 3, b: b % 3, both: on },
            44 | 45 => Cmd::CutPlatform { zone: a % 3, way: b % 3 },
            46 | 47 => Cmd::HealCuts,
            48 => Cmd::PlatformDown { down: on },
            49 => Cmd::PlatformSlow { tenths: a % 30 },
            50 => Cmd::LoseAnswers { on },
            51 => Cmd::Disorder { on },
            52 => Cmd::Trim { keep: a % 16 },
            53 => Cmd::UpstreamDies { upstream: a },
            54 => Cmd::UpstreamDeparts { upstream: a },
            55 => Cmd::UpstreamBad { upstream: a, bad: on },
            56 => Cmd::Isolate { zone: a % 3 },
            57 => Cmd::Race { node: a, other: b },
            58 if on => Cmd::StallStart { seconds: a % 60 },
            58 => Cmd::CutOffUnderLoad { node: a },
            59 => Cmd::PublishProfile { node: a, reserve: b % 101 },
            _ => Cmd::Wait { tenths: a },
        }
    }

    /// A wait in place of the step, then smaller numbers where they tell more to a reader.
    fn shrink(&self) -> Box<dyn Iterator<Item = Cmd>> {
        let smaller: Vec<Cmd> = match self.clone() {
            Cmd::Wait { tenths } => tenths.shrink().map(|tenths| Cmd::Wait { tenths }).collect(),
            Cmd::Burst { node, calls, seconds } => {
                calls.shrink().map(|calls| Cmd::Burst { node, calls, seconds }).collect()
            }
            Cmd::Freeze { node, seconds } => {
                seconds.shrink().map(|seconds| Cmd::Freeze { node, seconds }).collect()
            }
            Cmd::Call { node, key, id, seconds } if id > 0 => {
                vec![Cmd::Call { node, key, id: 0, seconds }]
            }
            _ => Vec::new(),
        };
        Box::new(smaller.into_iter())
    }
}
