//! Folding of published sections. Guards against mistakes that slip through, changes that apply in
//! part, and an incremental result that differs from a full parse.

use indexmap::IndexMap;
use jacinthhook::config::{Config, Mistake};
use jacinthhook::record::SectionChange;
use quickcheck::{Gen, QuickCheck};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

type Body = IndexMap<String, String>;

fn body(pairs: &[(&str, &str)]) -> Body {
    pairs.iter().map(|(key, value)| (key.to_string(), value.to_string())).collect()
}

fn set(section: &str, pairs: &[(&str, &str)]) -> SectionChange {
    SectionChange { section: section.into(), base: None, body: Some(body(pairs)) }
}

fn remove(section: &str) -> SectionChange {
    SectionChange { section: section.into(), base: None, body: None }
}

fn small() -> Config {
    let mut cfg = Config::new();
    cfg.change(&[
        set("zone a", &[("region", "south")]),
        set("team huts", &[("share", "3"), ("limit", "40")]),
        set("team depots", &[("limit", "40")]),
        set("pool loans", &[]),
        set("profile guarded", &[("share.huts", "5"), ("limit.huts", "20")]),
        set("service loans", &[("profile", "guarded"), ("pool", "loans"), ("open_to", "depots")]),
    ])
    .expect("the small configuration has no mistakes");
    cfg
}

/// Applies one change to the small configuration, which must refuse it and stay as it was.
fn refused(change: SectionChange) -> Vec<Mistake> {
    let mut cfg = small();
    let mistakes = cfg.change(&[change]).expect_err("the change has a mistake");
    assert_eq!(cfg, small());
    mistakes
}

fn keys(mistakes: &[Mistake]) -> Vec<&str> {
    mistakes.iter().map(|mistake| mistake.key.as_deref().unwrap_or("")).collect()
}

#[test]
fn change_defaults_and_shares() {
    let cfg = small();
    assert_eq!(cfg.share(&"guarded".into(), &"huts".into()), 5);
    assert_eq!(cfg.share(&"guarded".into(), &"depots".into()), 1);
    assert_eq!(cfg.share(&"none".into(), &"huts".into()), 3);
    assert_eq!(cfg.share(&"guarded".into(), &"none".into()), 0);
}

#[test]
fn change_unknown_key_names_nearest() {
    let mistakes = refused(set("team huts", &[("limit", "4"), ("shares", "2")]));
    assert_eq!(keys(&mistakes), ["shares"]);
    assert!(mistakes[0].message.contains("did you mean share?"), "{}", mistakes[0].message);
}

#[test]
fn change_unknown_kind_names_nearest() {
    let mistakes = refused(set("tema huts", &[]));
    assert!(mistakes[0].message.contains("did you mean team?"), "{}", mistakes[0].message);
}

#[test]
fn change_malformed_names() {
    for section in ["team", "team ", "team A", "team  a", "team -a", "team a b", "team a/b"] {
        let mistakes = refused(set(section, &[("limit", "4")]));
        assert_eq!(mistakes[0].section, section);
    }
    let long = format!("team {}", "a".repeat(41));
    assert_eq!(refused(set(&long, &[("limit", "4")])).len(), 1);
}

#[test]
fn change_absurd_numbers() {
    for value in ["", "0", "-1", "+1", "1.5", "1e3", " 1", "1000001", "99999999999999999999"] {
        let mistakes = refused(set("team huts", &[("limit", value)]));
        assert_eq!(keys(&mistakes), ["limit"], "{value}");
        assert_eq!((&*mistakes[0].found, &*mistakes[0].allowed), (value, "1 to 1000000"));
    }
}

#[test]
fn change_every_mistake_at_once() {
    let pairs = [
        ("share.nobody", "1"),
        ("share.Huts", "1"),
        ("limit.huts", "0"),
        ("class_order", "urgent,urgent,sometimes"),
        ("stale_limit_ms", "nevr"),
        ("urgent_start_ms", "9000"),
        ("max_deadline_ms", "8000"),
        ("buffer_precent", "5"),
    ];
    let mistakes = refused(set("profile guarded", &pairs));
    let mut found = keys(&mistakes);
    found.sort_unstable();
    found.dedup();
    let mut wrong: Vec<&str> = pairs.iter().map(|(key, _)| *key).collect();
    wrong.retain(|key| *key != "max_deadline_ms");
    wrong.sort_unstable();
    assert_eq!(found, wrong);
}

#[test]
fn change_missing_keys() {
    assert_eq!(keys(&refused(set("team huts", &[]))), ["limit"]);
    assert_eq!(keys(&refused(set("zone a", &[]))), ["region"]);
    assert_eq!(keys(&refused(set("service loans", &[]))), ["profile", "pool"]);
}

#[test]
fn change_missing_references() {
    let pairs = [("profile", "guardet"), ("pool", "none"), ("open_to", "nobody")];
    let mistakes = refused(set("service loans", &pairs));
    assert_eq!(keys(&mistakes), ["profile", "pool", "open_to"]);
    assert!(mistakes[0].message.contains("did you mean guarded?"), "{}", mistakes[0].message);
}

#[test]
fn change_removal_of_what_is_referred_to() {
    assert_eq!(keys(&refused(remove("team huts"))), ["share.huts", "limit.huts"]);
    assert_eq!(keys(&refused(remove("team depots"))), ["open_to"]);
    assert_eq!(keys(&refused(remove("pool loans"))), ["pool"]);
    assert_eq!(keys(&refused(remove("profile guarded"))), ["profile"]);
    assert_eq!(refused(remove("team nobody")).len(), 1);
}

#[test]
fn change_removal_with_referrers_in_the_same_change() {
    let mut cfg = small();
    cfg.change(&[remove("team huts"), set("profile guarded", &[])]).unwrap();
    assert!(!cfg.teams.contains_key("huts"));
    cfg.change(&[remove("pool loans"), remove("service loans")]).unwrap();
    assert!(cfg.services.is_empty());
}

#[test]
fn change_repeated_section() {
    let mut cfg = small();
    let twice = [set("team new", &[("limit", "1")]), set("team new", &[("limit", "2")])];
    assert!(cfg.change(&twice).is_err());
    assert_eq!(cfg, small());
}

type StepCode = (u8, u8, u8);

/// One step of a random history: which section, whether it is removed, and the numbers in it.
fn step(code: StepCode) -> SectionChange {
    let (which, how, number) = code;
    let name = ["x", "y", "z"][usize::from(how % 3)];
    let other = ["x", "y", "z"][usize::from(number % 3)];
    let number = (number % 12).to_string();
    let pairs: Vec<(&str, &str)> = match which % 5 {
        0 => vec![("region", other)],
        1 => vec![("limit", &number)],
        2 => vec![("min_instances", &number), ("spare", "true")],
        3 if number.len() == 1 => vec![("queue_bound", &number)],
        3 => vec![],
        _ => vec![("profile", other), ("pool", name), ("open_to", other)],
    };
    let mut body = body(&pairs);
    if which % 5 == 3 {
        body.insert(format!("share.{other}"), number.clone());
    }
    let kind = ["zone", "team", "pool", "profile", "service"][usize::from(which % 5)];
    let body = (how % 7 != 0).then_some(body);
    SectionChange { section: format!("{kind} {name}"), base: None, body }
}

/// Parses all sections from nothing: the oracle for the incremental result.
fn full(sections: &IndexMap<String, Body>) -> Result<Config, Vec<Mistake>> {
    let change = |(section, body): (&String, &Body)| SectionChange {
        section: section.clone(),
        base: None,
        body: Some(body.clone()),
    };
    let changes: Vec<SectionChange> = sections.iter().map(change).collect();
    let mut cfg = Config::new();
    cfg.change(&changes).map(|()| cfg)
}

/// Applies a change to plain sections; `None` when it removes a missing one or repeats one.
fn plain(
    sections: &IndexMap<String, Body>,
    changes: &[SectionChange],
) -> Option<IndexMap<String, Body>> {
    let mut next = sections.clone();
    for (i, change) in changes.iter().enumerate() {
        if changes[..i].iter().any(|earlier| earlier.section == change.section) {
            return None;
        }
        match &change.body {
            Some(body) => drop(next.insert(change.section.clone(), body.clone())),
            None => drop(next.shift_remove(&change.section)?),
        }
    }
    Some(next)
}

/// Changes that the oracle accepted with a service present, so that references were at stake.
static ACCEPTED_WITH_SERVICES: AtomicUsize = AtomicUsize::new(0);

fn equals_full_parse(history: Vec<Vec<StepCode>>) -> bool {
    let mut cfg = Config::new();
    let mut sections = IndexMap::new();
    for codes in history {
        let changes: Vec<SectionChange> = codes.into_iter().take(4).map(step).collect();
        let before = cfg.clone();
        let expected = plain(&sections, &changes).and_then(|next| Some((full(&next).ok()?, next)));
        match (cfg.change(&changes), expected) {
            (Ok(()), Some((oracle, next))) if cfg == oracle => sections = next,
            (Err(mistakes), None) if !mistakes.is_empty() && cfg == before => {}
            _ => return false,
        }
        let services = usize::from(!cfg.services.is_empty() && cfg != before);
        ACCEPTED_WITH_SERVICES.fetch_add(services, Ordering::Relaxed);
    }
    true
}

fn arbitrary_text(section: String, pairs: Vec<(String, String)>) -> bool {
    let mut cfg = small();
    let body = pairs.into_iter().collect();
    let change = SectionChange { section, base: None, body: Some(body) };
    cfg.change(&[change]).is_err() && cfg == small()
}

#[test]
fn change_equals_full_parse() {
    let property: fn(Vec<Vec<StepCode>>) -> bool = equals_full_parse;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).quickcheck(property);
    let accepted = ACCEPTED_WITH_SERVICES.load(Ordering::Relaxed);
    assert!(accepted > 100, "only {accepted} accepted changes had services");
}

#[test]
fn change_arbitrary_text() {
    let property: fn(String, Vec<(String, String)>) -> bool = arbitrary_text;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 2)).quickcheck(property);
}

/// A configuration of the design size: 7 zones, 230 teams, 66 pools, 20 profiles, 66 services.
fn design_size() -> Config {
    let mut changes = Vec::new();
    for i in 0..7 {
        changes.push(set(&format!("zone z{i}"), &[("region", "r1")]));
    }
    for i in 0..230 {
        changes.push(set(&format!("team t{i}"), &[("share", "3"), ("limit", "400")]));
    }
    for i in 0..20 {
        changes.push(profile(i, 1));
    }
    for i in 0..66 {
        changes.push(set(&format!("pool p{i}"), &[("min_instances", "2")]));
        changes.push(service(i, i));
    }
    let mut cfg = Config::new();
    cfg.change(&changes).expect("the configuration has no mistakes");
    cfg
}

/// A profile with weights of 40 teams.
fn profile(i: usize, share: usize) -> SectionChange {
    let mut body = body(&[("queue_bound", "300"), ("stale_limit_ms", "never")]);
    body.extend((0..40).map(|team| (format!("share.t{team}"), (share % 9 + 1).to_string())));
    SectionChange { section: format!("profile f{}", i % 20), base: None, body: Some(body) }
}

fn service(i: usize, profile: usize) -> SectionChange {
    let profile = format!("f{}", profile % 20);
    let pool = format!("p{}", i % 66);
    set(&format!("service s{}", i % 66), &[("profile", &profile), ("pool", &pool)])
}

/// Guards against a parse of everything per change, which takes minutes for a day's changes.
#[test]
fn change_one_day_at_design_size() {
    let mut cfg = design_size();
    let day: Vec<SectionChange> = (0..27_000usize)
        .map(|i| match i % 4 {
            0 => profile(i / 4, i),
            1 => service(i, i / 4),
            2 => set(&format!("team t{}", i % 230), &[("limit", &(i + 1).to_string())]),
            _ => set(&format!("pool p{}", i % 66), &[("min_instances", "3")]),
        })
        .collect();
    let start = Instant::now();
    for change in &day {
        cfg.change(std::slice::from_ref(change)).expect("the change has no mistake");
    }
    let took = start.elapsed();
    println!("27,000 changes took {took:?}");
    assert_eq!((cfg.teams.len(), cfg.pools.len()), (230, 66));
    if !cfg!(debug_assertions) {
        assert!(took < Duration::from_secs(1), "27,000 changes took {took:?}");
    }
}
