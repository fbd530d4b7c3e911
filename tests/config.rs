//! Tests `Config::change`. Guards against mistakes that are not reported, changes that are applied in
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

fn small_config() -> Config {
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

/// Applies one change to the small configuration, which must reject it and remain unchanged. Returns
/// the mistakes.
fn rejected(change: SectionChange) -> Vec<Mistake> {
    let mut cfg = small_config();
    let mistakes = cfg.change(&[change]).expect_err("the change has a mistake");
    assert_eq!(cfg, small_config());
    mistakes
}

fn mistake_keys(mistakes: &[Mistake]) -> Vec<&str> {
    mistakes.iter().map(|mistake| mistake.key.as_deref().unwrap_or("")).collect()
}

#[test]
fn change_defaults_and_shares() {
    let cfg = small_config();
    assert_eq!(cfg.share(&"guarded".into(), &"huts".into()), 5);
    assert_eq!(cfg.share(&"guarded".into(), &"depots".into()), 1);
    assert_eq!(cfg.share(&"none".into(), &"huts".into()), 3);
    assert_eq!(cfg.share(&"guarded".into(), &"none".into()), 0);
}

#[test]
fn change_unknown_key_names_nearest() {
    let mistakes = rejected(set("team huts", &[("limit", "4"), ("shares", "2")]));
    assert_eq!(mistake_keys(&mistakes), ["shares"]);
    assert!(mistakes[0].message.contains("did you mean share?"), "{}", mistakes[0].message);
}

#[test]
fn change_unknown_kind_names_nearest() {
    let mistakes = rejected(set("tema huts", &[]));
    assert!(mistakes[0].message.contains("did you mean team?"), "{}", mistakes[0].message);
}

#[test]
fn change_malformed_names() {
    for section in ["team", "team ", "team A", "team  a", "team -a", "team a b", "team a/b"] {
        let mistakes = rejected(set(section, &[("limit", "4")]));
        assert_eq!(mistakes[0].section, section);
    }
    let long = format!("team {}", "a".repeat(41));
    assert_eq!(rejected(set(&long, &[("limit", "4")])).len(), 1);
}

#[test]
fn change_invalid_numbers() {
    for value in ["", "0", "-1", "+1", "1.5", "1e3", " 1", "1000001", "99999999999999999999"] {
        let mistakes = rejected(set("team huts", &[("limit", value)]));
        assert_eq!(mistake_keys(&mistakes), ["limit"], "{value}");
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
    let mistakes = rejected(set("profile guarded", &pairs));
    let mut found = mistake_keys(&mistakes);
    found.sort_unstable();
    found.dedup();
    let mut expected: Vec<&str> = pairs.iter().map(|(key, _)| *key).collect();
    expected.retain(|key| *key != "max_deadline_ms");
    expected.sort_unstable();
    assert_eq!(found, expected);
}

#[test]
fn change_missing_keys() {
    assert_eq!(mistake_keys(&rejected(set("team huts", &[]))), ["limit"]);
    assert_eq!(mistake_keys(&rejected(set("zone a", &[]))), ["region"]);
    assert_eq!(mistake_keys(&rejected(set("service loans", &[]))), ["profile", "pool"]);
}

#[test]
fn change_missing_references() {
    let pairs = [("profile", "guardet"), ("pool", "none"), ("open_to", "nobody")];
    let mistakes = rejected(set("service loans", &pairs));
    assert_eq!(mistake_keys(&mistakes), ["profile", "pool", "open_to"]);
    assert!(mistakes[0].message.contains("did you mean guarded?"), "{}", mistakes[0].message);
}

#[test]
fn change_removal_of_referenced_section() {
    assert_eq!(mistake_keys(&rejected(remove("team huts"))), ["share.huts", "limit.huts"]);
    assert_eq!(mistake_keys(&rejected(remove("team depots"))), ["open_to"]);
    assert_eq!(mistake_keys(&rejected(remove("pool loans"))), ["pool"]);
    assert_eq!(mistake_keys(&rejected(remove("profile guarded"))), ["profile"]);
    assert_eq!(rejected(remove("team nobody")).len(), 1);
}

#[test]
fn change_removal_with_references_removed() {
    let mut cfg = small_config();
    cfg.change(&[remove("team huts"), set("profile guarded", &[])]).unwrap();
    assert!(!cfg.teams.contains_key("huts"));
    cfg.change(&[remove("pool loans"), remove("service loans")]).unwrap();
    assert!(cfg.services.is_empty());
}

#[test]
fn change_repeated_section() {
    let mut cfg = small_config();
    let twice = [set("team new", &[("limit", "1")]), set("team new", &[("limit", "2")])];
    assert!(cfg.change(&twice).is_err());
    assert_eq!(cfg, small_config());
}

type ChangeCode = (u8, u8, u8);

/// Builds one change of a random history from codes for the section, its removal and its numbers.
fn random_change(code: ChangeCode) -> SectionChange {
    let (section, removal, number) = code;
    let name = ["x", "y", "z"][usize::from(removal % 3)];
    let other = ["x", "y", "z"][usize::from(number % 3)];
    let number = (number % 12).to_string();
    let pairs: Vec<(&str, &str)> = match section % 5 {
        0 => vec![("region", other)],
        1 => vec![("limit", &number)],
        2 => vec![("min_instances", &number), ("spare", "true")],
        3 if number.len() == 1 => vec![("queue_bound", &number)],
        3 => vec![],
        _ => vec![("profile", other), ("pool", name), ("open_to", other)],
    };
    let mut body = body(&pairs);
    if section % 5 == 3 {
        body.insert(format!("share.{other}"), number.clone());
    }
    let kind = ["zone", "team", "pool", "profile", "service"][usize::from(section % 5)];
    let body = (removal % 7 != 0).then_some(body);
    SectionChange { section: format!("{kind} {name}"), base: None, body }
}

/// Parses all sections at once: the reference for the incremental result.
fn parse_all(sections: &IndexMap<String, Body>) -> Result<Config, Vec<Mistake>> {
    let change = |(section, body): (&String, &Body)| SectionChange {
        section: section.clone(),
        base: None,
        body: Some(body.clone()),
    };
    let changes: Vec<SectionChange> = sections.iter().map(change).collect();
    let mut cfg = Config::new();
    cfg.change(&changes).map(|()| cfg)
}

/// Applies changes to unparsed sections. Returns `None` if a change removes a missing section or repeats
/// one.
fn apply_unparsed(
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

/// Number of accepted changes with a service present, which exercise references.
static ACCEPTED_WITH_SERVICES: AtomicUsize = AtomicUsize::new(0);

fn equals_parse_of_all(history: Vec<Vec<ChangeCode>>) -> bool {
    let mut cfg = Config::new();
    let mut sections = IndexMap::new();
    for codes in history {
        let changes: Vec<SectionChange> = codes.into_iter().take(4).map(random_change).collect();
        let before = cfg.clone();
        let expected = apply_unparsed(&sections, &changes)
            .and_then(|next| Some((parse_all(&next).ok()?, next)));
        match (cfg.change(&changes), expected) {
            (Ok(()), Some((reference, next))) if cfg == reference => sections = next,
            (Err(mistakes), None) if !mistakes.is_empty() && cfg == before => {}
            _ => return false,
        }
        let services = usize::from(!cfg.services.is_empty() && cfg != before);
        ACCEPTED_WITH_SERVICES.fetch_add(services, Ordering::Relaxed);
    }
    true
}

fn arbitrary_text(section: String, pairs: Vec<(String, String)>) -> bool {
    let mut cfg = small_config();
    let body = pairs.into_iter().collect();
    let change = SectionChange { section, base: None, body: Some(body) };
    cfg.change(&[change]).is_err() && cfg == small_config()
}

#[test]
fn change_equals_full_parse() {
    let property: fn(Vec<Vec<ChangeCode>>) -> bool = equals_parse_of_all;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 1)).quickcheck(property);
    let with_services = ACCEPTED_WITH_SERVICES.load(Ordering::Relaxed);
    assert!(with_services > 100, "only {with_services} accepted changes had services");
}

#[test]
fn change_arbitrary_text() {
    let property: fn(String, Vec<(String, String)>) -> bool = arbitrary_text;
    QuickCheck::new().rng(Gen::from_size_and_seed(100, 2)).quickcheck(property);
}

/// Creates a configuration of the design size: 7 zones, 230 teams, 66 pools, 20 profiles, 66 services.
fn design_size_config() -> Config {
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

/// Creates a profile with weights of 40 teams.
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

/// Guards against a full parse per change, which takes minutes for the changes of one day.
#[test]
fn change_one_day_at_design_size() {
    let mut cfg = design_size_config();
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
