//! Tests the checks of INI files. Guards against mistakes that are missed or reported in the wrong place,
//! and against text that causes a panic.

use jacinthhook::file::{FileMistake, FileSections};
use jacinthhook::settings::{
    CheckedFile, LogFormat, Settings, check, check_declarations, read_declarations, read_settings,
};
use quickcheck::{Gen, QuickCheck};

const SETTINGS: &str = "\
# one entry instance
[entry]
id = derwent-a-1
zone = south-a
http_addr = 127.0.0.1:0
peer_addr = 127.0.0.1:0
platform_addr = 127.0.0.1:7700
peers = 127.0.0.1:7902, 127.0.0.1:7903
entry_instances = 7
[limits]
body_bytes = 1000000
stop_timeout_ms = 5000
[log]
format = terminal
";

const DECLARATIONS: &str = "\
[zone a]
region = south
[team huts]
limit = 40
[pool loans]
[profile guarded]
share.huts = 5
[service loans]
profile = guarded
pool = loans
";

/// Returns the line, section and key of each mistake.
fn positions(mistakes: &[FileMistake]) -> Vec<(usize, &str, &str)> {
    let mut positions = Vec::new();
    for FileMistake { line, mistake, .. } in mistakes {
        let key = mistake.key.as_deref().unwrap_or("");
        positions.push((line.unwrap_or(0), mistake.section.as_str(), key));
    }
    positions
}

fn settings_mistakes(valid: &str, invalid: &str) -> Vec<FileMistake> {
    assert!(SETTINGS.contains(valid), "{valid} is not in the settings");
    read_settings("f.ini", &SETTINGS.replace(valid, invalid))
        .expect_err("the settings have a mistake")
}

fn declaration_mistakes(valid: &str, invalid: &str) -> Vec<FileMistake> {
    assert!(DECLARATIONS.contains(valid), "{valid} is not in the declarations");
    let text = DECLARATIONS.replace(valid, invalid);
    check_declarations("f.ini", &text).expect_err("the declarations have a mistake")
}

#[test]
fn read_settings_all_values() {
    let settings = read_settings("f.ini", SETTINGS).unwrap();
    let addr = |text: &str| text.parse().unwrap();
    let mut expected = Settings::new(
        "derwent-a-1".into(),
        "south-a".into(),
        addr("127.0.0.1:0"),
        addr("127.0.0.1:0"),
        addr("127.0.0.1:7700"),
    );
    expected.peers = vec![addr("127.0.0.1:7902"), addr("127.0.0.1:7903")];
    expected.entry_instances = 7;
    expected.body_bytes = 1_000_000;
    expected.stop_timeout = std::time::Duration::from_secs(5);
    expected.log_format = LogFormat::Terminal;
    assert_eq!(settings, expected);
}

#[test]
fn read_settings_each_mistake_position() {
    let cases = [
        ("id = derwent-a-1", "id = Derwent", (3, "entry", "id")),
        ("id = derwent-a-1\n", "", (2, "entry", "id")),
        ("127.0.0.1:7700", "localhost:7700", (7, "entry", "platform_addr")),
        ("127.0.0.1:7700", "127.0.0.1:0", (7, "entry", "platform_addr")),
        ("http_addr = 127.0.0.1:0", "http_addr = 0.0.0.0:80", (5, "entry", "http_addr")),
        ("peer_addr = 127.0.0.1:0", "peer_addr = 127.0.0.1:7700", (7, "entry", "platform_addr")),
        ("peer_addr = 127.0.0.1:0", "peer_addr = 127.0.0.1:7902", (8, "entry", "peers")),
        (":7902, ", ":7903, ", (8, "entry", "peers")),
        ("entry_instances = 7", "entry_instances = 2", (9, "entry", "entry_instances")),
        ("entry_instances = 7", "entry_instances = 700", (9, "entry", "entry_instances")),
        ("entry_instances = 7\n", "", (2, "entry", "entry_instances")),
        ("body_bytes = 1000000", "body_bytes = 9999999999", (11, "limits", "body_bytes")),
        ("stop_timeout_ms", "stop_timeuot_ms", (12, "limits", "stop_timeuot_ms")),
        ("format = terminal", "format = xml", (14, "log", "format")),
        ("[log]", "[logs]", (13, "logs", "")),
        ("[log]", "[limits]", (13, "limits", "")),
        ("zone = south-a", "zone = south-a\nzone = south-b", (5, "entry", "zone")),
        ("zone = south-a", "zone = south-a\nnonsense", (5, "", "")),
        ("[entry]", "[entri]", (0, "entry", "")),
    ];
    for (valid, invalid, position) in cases {
        let mistakes = settings_mistakes(valid, invalid);
        assert!(positions(&mistakes).contains(&position), "{valid} -> {invalid}: {mistakes:#?}");
    }
}

#[test]
fn read_settings_every_mistake_at_once() {
    let text = "x = 1\n[entry\n[entry]\nid = A\nzone = B\nzone = c\nhttp_addr = 1\n[limit]\n= 4\n";
    let mistakes = read_settings("f.ini", text).unwrap_err();
    let expected = [
        (1, "", ""),
        (2, "", ""),
        (3, "entry", "peer_addr"),
        (3, "entry", "platform_addr"),
        (3, "entry", "entry_instances"),
        (4, "entry", "id"),
        (5, "entry", "zone"),
        (6, "entry", "zone"),
        (7, "entry", "http_addr"),
        (8, "limit", ""),
        (9, "", ""),
    ];
    assert_eq!(positions(&mistakes), expected, "{mistakes:#?}");
}

#[test]
fn check_declarations_each_mistake_position() {
    let cases = [
        ("limit = 40", "limit = 0", (4, "team huts", "limit")),
        ("limit = 40", "limti = 40", (4, "team huts", "limti")),
        ("limit = 40", "limit = 40\nlimit = 41", (5, "team huts", "limit")),
        ("[pool loans]", "[pool loan]", (10, "service loans", "pool")),
        ("[pool loans]", "[pol loans]", (5, "pol loans", "")),
        ("[pool loans]", "[pool loans]\n[pool loans]", (6, "pool loans", "")),
        ("share.huts", "share.hats", (7, "profile guarded", "share.hats")),
        ("profile = guarded", "profile = other", (9, "service loans", "profile")),
        ("region = south\n", "", (1, "zone a", "region")),
        ("[zone a]\n", "", (1, "", "")),
        ("[zone a]", "[zone \u{e9}]", (1, "", "")),
        ("limit = 40", "limit = 40\\", (4, "", "")),
        ("limit = 40", "limit\\= 40", (4, "", "")),
    ];
    for (valid, invalid, position) in cases {
        let mistakes = declaration_mistakes(valid, invalid);
        assert!(positions(&mistakes).contains(&position), "{valid} -> {invalid}: {mistakes:#?}");
    }
}

#[test]
fn check_declarations_empty_file() {
    assert_eq!(positions(&check_declarations("f.ini", "# nothing\n").unwrap_err()), [(0, "", "")]);
}

#[test]
fn check_declarations_long_file() {
    let text = "#".repeat(jacinthhook::file::MAX_FILE_LEN + 1);
    assert_eq!(positions(&check_declarations("f.ini", &text).unwrap_err())[0], (0, "", ""));
}

#[test]
fn check_detects_file_kind() {
    assert!(matches!(check("f.ini", SETTINGS), Ok(CheckedFile::Settings(_))));
    assert!(matches!(check("f.ini", DECLARATIONS), Ok(CheckedFile::Declarations(_))));
}

#[test]
fn mistake_display() {
    let text = declaration_mistakes("limit = 40", "limit = 0")[0].to_string();
    let expected =
        "f.ini:4: [team huts] limit = 0: the number is out of range (allowed: 1 to 1000000)";
    assert_eq!(text, expected);
}

/// Corrupts a valid text: each pair replaces the byte at a position.
fn corrupted(text: &str, changes: &[(u16, u8)]) -> String {
    let mut bytes = text.as_bytes().to_vec();
    for (position, byte) in changes {
        let position = usize::from(*position) % bytes.len();
        bytes[position] = *byte;
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Runs every decoder; a panic fails the test. Returns false if a text passes a check but cannot be read.
fn decode(text: &str) -> bool {
    let settings = read_settings("f.ini", text);
    let cfg = check_declarations("f.ini", text);
    let bodies = read_declarations("f.ini", text);
    bodies.is_ok() || (settings.is_err() && cfg.is_err())
}

#[test]
fn decoders_arbitrary_text() {
    let property: fn(String) -> bool = |text| decode(&text) && check("f.ini", &text).is_err();
    QuickCheck::new().tests(500).rng(Gen::from_size_and_seed(300, 3)).quickcheck(property);
}

#[test]
fn decoders_corrupted_text() {
    let property: fn(Vec<(u16, u8)>) -> bool = |changes| {
        decode(&corrupted(SETTINGS, &changes)) && decode(&corrupted(DECLARATIONS, &changes))
    };
    QuickCheck::new().tests(2_000).rng(Gen::from_size_and_seed(8, 4)).quickcheck(property);
}

/// Returns whether every line with content is a section, a key or a mistake.
fn accounts_for_every_line(text: &str) -> bool {
    let (sections, mistakes) = FileSections::read("f.ini", text);
    let mut lines: Vec<usize> = mistakes.iter().filter_map(|mistake| mistake.line).collect();
    for section in sections.sections.values() {
        lines.push(section.line);
        lines.extend(section.key_lines.values());
    }
    let repeated = mistakes.iter().any(|found| found.mistake.message.contains("section occurs"));
    let content = |line: &str| !line.trim().is_empty() && !line.trim().starts_with(['#', ';']);
    let mut numbered = text.lines().enumerate().filter(|(_, line)| content(line));
    // The keys of a repeated section are not listed.
    repeated || numbered.all(|(i, _)| lines.contains(&(i + 1)))
}

/// Texts of random syntax elements, which random bytes rarely form.
#[test]
fn decoders_syntax_elements() {
    const ELEMENTS: [&str; 16] = [
        "[team a]", "[zone b]", "[", "]", "\n", "\n", "=", ":", "#", ";", "\\", "\r", "\"", " ",
        "x", "\u{2028}",
    ];
    let property: fn(Vec<u8>) -> bool = |codes| {
        let element = |code: &u8| ELEMENTS[usize::from(*code) % ELEMENTS.len()];
        let text: String = codes.iter().map(element).collect();
        decode(&text) && accounts_for_every_line(&text)
    };
    QuickCheck::new().tests(5_000).rng(Gen::from_size_and_seed(60, 5)).quickcheck(property);
}
