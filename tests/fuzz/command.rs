//! The commands of a sequence, their generation and their shrinking.

use quickcheck::{Arbitrary, Gen};

/// One step of a sequence. Indices are taken modulo the number of existing objects, so that every
/// sequence stays valid when it is shrunk.
#[derive(Clone, Debug, PartialEq)]
pub enum Cmd {
    /// Calls an instance. `id` selects the request id: 0 none, 1 a new one chosen by the caller, 2 one
    /// issued by an instance, 3 a repetition of the last one.
    Call {
        node: u8,
        key: u8,
        id: u8,
        seconds: u8,
    },
    /// Sends one request with a caller's request id to two instances at the same time.
    Race {
        node: u8,
        other: u8,
    },
    /// Starts several calls of one team at the same time.
    Burst {
        node: u8,
        calls: u8,
        seconds: u8,
    },
    Job {
        node: u8,
        idempotent: bool,
        seconds: u8,
        fails: bool,
    },
    CancelJobs {
        node: u8,
        stride: u8,
    },
    /// Publishes conflicting changes of one section at two instances.
    Publish {
        node: u8,
        other: u8,
        limit: u8,
    },
    /// Changes the part of the limits that is usable without a lease, and the longest deadline.
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
    /// Cuts the connection from zone `a` to zone `b`, and with `both` also the other direction.
    CutZones {
        a: u8,
        b: u8,
        both: bool,
    },
    /// Drops a zone's requests to the platform (0), the platform's answers to it (1), or both (2).
    CutPlatform {
        zone: u8,
        direction: u8,
    },
    /// Cuts a zone off from the platform and from all other zones.
    Isolate {
        zone: u8,
    },
    /// Freezes the next instance that starts a job between its last check and the write.
    StallStart {
        seconds: u8,
    },
    /// Isolates a zone while all units, in this zone and in the others, are in use.
    IsolateUnderLoad {
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
    /// Makes the platform's answers late, duplicated and swapped.
    Disorder {
        on: bool,
    },
    /// Drops all log entries but the last `keep`, as the retention does.
    Trim {
        keep: u8,
    },
    UpstreamCrash {
        upstream: u8,
    },
    UpstreamDepart {
        upstream: u8,
    },
    /// Makes an upstream fail all tasks that it runs, or ends this fault.
    UpstreamFailsWork {
        upstream: u8,
        fails: bool,
    },
    Wait {
        tenths: u8,
    },
}

/// The commands of a run and the seed of its random numbers.
#[derive(Clone, Debug)]
pub struct Sequence {
    pub seed: u64,
    pub steps: Vec<Cmd>,
}

impl Sequence {
    /// Generates the sequence of a seed.
    pub fn generate(seed: u64, steps: usize) -> Sequence {
        let mut g = Gen::from_size_and_seed(steps, seed);
        Sequence { seed, steps: (0..steps).map(|_| Cmd::arbitrary(&mut g)).collect() }
    }

    /// Returns candidates for a smaller sequence in the order in which quickcheck shrinks a vector.
    pub fn shrunk(&self) -> impl Iterator<Item = Sequence> + use<> {
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
            15..=19 => Cmd::Job { node: a, idempotent: on, seconds: c % 10, fails: b % 8 == 0 },
            20 => Cmd::CancelJobs { node: a, stride: b % 3 },
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
            44 | 45 => Cmd::CutPlatform { zone: a % 3, direction: b % 3 },
            46 | 47 => Cmd::HealCuts,
            48 => Cmd::PlatformDown { down: on },
            49 => Cmd::PlatformSlow { tenths: a % 30 },
            50 => Cmd::LoseAnswers { on },
            51 => Cmd::Disorder { on },
            52 => Cmd::Trim { keep: a % 16 },
            53 => Cmd::UpstreamCrash { upstream: a },
            54 => Cmd::UpstreamDepart { upstream: a },
            55 => Cmd::UpstreamFailsWork { upstream: a, fails: on },
            56 => Cmd::Isolate { zone: a % 3 },
            57 => Cmd::Race { node: a, other: b },
            58 if on => Cmd::StallStart { seconds: a % 60 },
            58 => Cmd::IsolateUnderLoad { node: a },
            59 => Cmd::PublishProfile { node: a, reserve: b % 101 },
            _ => Cmd::Wait { tenths: a },
        }
    }

    /// Shrinks the numbers whose size makes a failure easier to understand; the others stay.
    fn shrink(&self) -> Box<dyn Iterator<Item = Cmd>> {
        let shrunk: Vec<Cmd> = match self.clone() {
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
        Box::new(shrunk.into_iter())
    }
}
