//! Sections of an INI file with the line of each section and key.
//!
//! The `rust-ini` library parses the text. A scan before it finds malformed lines, which the library would
//! join with the lines that follow, and gives the line numbers that the library does not keep.

use crate::config::{Mistake, cut};
use indexmap::IndexMap;
use ini::{Ini, ParseOption};
use std::fmt;

/// Longest file in bytes; declarations at the design size have about 60,000.
pub const MAX_FILE_LEN: usize = 1024 * 1024;
/// Shape of a line, as mistakes state it.
const LINE_SHAPE: &str = "[section], key = value, a comment from # or ;, or nothing";

/// A mistake with its place in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileMistake {
    pub file: String,
    /// From 1; `None` when the mistake is about the whole file.
    pub line: Option<usize>,
    pub mistake: Mistake,
}

impl fmt::Display for FileMistake {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let Mistake { section, key, found, allowed, message } = &self.mistake;
        write!(f, "{}:", self.file)?;
        if let Some(line) = self.line {
            write!(f, "{line}:")?;
        }
        if !section.is_empty() {
            write!(f, " [{section}]")?;
        }
        if let Some(key) = key {
            write!(f, " {key} = {found}:")?;
        }
        write!(f, " {message} (allowed: {allowed})")
    }
}

/// One section as it stands in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileSection {
    /// Text between the brackets.
    pub name: String,
    /// Line of its header, from 1.
    pub line: usize,
    /// Keys and values; of a repeated key, the first value.
    pub values: IndexMap<String, String>,
    /// Line of each key, from 1.
    pub key_lines: IndexMap<String, usize>,
}

/// Sections of a file in its order; of a repeated section, the first one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FileSections {
    file: String,
    /// By name.
    pub sections: IndexMap<String, FileSection>,
}

impl FileSections {
    /// Reads a file's text and reports malformed lines, repeated sections and repeated keys.
    pub fn read(file: &str, text: &str) -> (FileSections, Vec<FileMistake>) {
        let mut sections = FileSections { file: file.to_string(), sections: IndexMap::new() };
        let mut mistakes = Vec::new();
        if text.len() > MAX_FILE_LEN {
            let allowed = format!("at most {MAX_FILE_LEN} bytes");
            let mistake = Mistake::in_section("", &allowed, "the file is too long");
            mistakes.push(FileMistake { file: file.to_string(), line: None, mistake });
            return (sections, mistakes);
        }
        let scan = Scan::new(file, text, &mut mistakes);
        match Ini::load_from_str_opt(&scan.clean, OPTIONS) {
            Ok(ini) => sections.fill(&scan, &ini, &mut mistakes),
            Err(e) => mistakes.push(line_mistake(file, e.line, "", &e.msg)),
        }
        (sections, mistakes)
    }

    /// Gives mistakes of sections and keys their lines.
    pub fn locate(&self, mistakes: Vec<Mistake>) -> Vec<FileMistake> {
        let place = |mistake: Mistake| FileMistake {
            file: self.file.clone(),
            line: self.line_of(&mistake),
            mistake,
        };
        mistakes.into_iter().map(place).collect()
    }

    /// Line of the key, or of the section when the key is missing.
    fn line_of(&self, mistake: &Mistake) -> Option<usize> {
        let same = |text: &str, wanted: &str| text == wanted || cut(text) == wanted;
        let mut sections = self.sections.values();
        let section = sections.find(|section| same(&section.name, &mistake.section))?;
        let key = mistake.key.as_deref();
        let mut lines = section.key_lines.iter();
        let line = key.and_then(|key| lines.find(|(name, _)| same(name, key)));
        Some(line.map_or(section.line, |(_, line)| *line))
    }

    fn fill(&mut self, scan: &Scan, ini: &Ini, mistakes: &mut Vec<FileMistake>) {
        let read = ini.iter().filter_map(|(name, values)| Some((name?, values)));
        for (header, (name, values)) in scan.headers.iter().zip(read) {
            let section = file_section(&self.file, header, name, values, mistakes);
            if let Some(first) = self.sections.get(name) {
                let message = format!("the section occurs again; first in line {}", first.line);
                let mistake = Mistake::in_section(name, "one section of each name", &message);
                let file = self.file.clone();
                mistakes.push(FileMistake { file, line: Some(header.line), mistake });
            } else {
                self.sections.insert(name.to_string(), section);
            }
        }
    }
}

/// Values are taken literally: no quotes, escapes or values over several lines.
const OPTIONS: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

fn file_section(
    file: &str,
    header: &Header,
    name: &str,
    values: &ini::Properties,
    mistakes: &mut Vec<FileMistake>,
) -> FileSection {
    let mut section = FileSection {
        name: name.to_string(),
        line: header.line,
        values: IndexMap::new(),
        key_lines: IndexMap::new(),
    };
    for (line, (key, value)) in header.key_lines.iter().zip(values.iter()) {
        if let Some(first) = section.key_lines.get(key) {
            let message = format!("the key occurs again; first in line {first}");
            let mistake = Mistake::in_key(name, key, value, "one value of each key", &message);
            mistakes.push(FileMistake { file: file.to_string(), line: Some(*line), mistake });
            continue;
        }
        section.key_lines.insert(key.to_string(), *line);
        section.values.insert(key.to_string(), value.to_string());
    }
    section
}

/// Lines of one section.
struct Header {
    line: usize,
    /// Line of each key, in order.
    key_lines: Vec<usize>,
}

/// The well-formed lines of a text.
struct Scan {
    /// The text with every other line emptied, so that line numbers stay.
    clean: String,
    headers: Vec<Header>,
}

impl Scan {
    fn new(file: &str, text: &str, mistakes: &mut Vec<FileMistake>) -> Scan {
        let mut scan = Scan { clean: String::with_capacity(text.len()), headers: Vec::new() };
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Err(message) = scan.add(i + 1, line) {
                mistakes.push(line_mistake(file, i + 1, line, message));
            }
            scan.clean.push('\n');
        }
        scan
    }

    fn add(&mut self, number: usize, line: &str) -> Result<(), &'static str> {
        if line.is_empty() || line.starts_with(['#', ';']) {
            return Ok(());
        }
        if !line.bytes().all(|b| b == b'\t' || (b' '..=b'~').contains(&b)) {
            return Err("only printable ASCII is allowed outside comments");
        }
        if line.contains('\\') {
            // The library takes the character after it literally, a line's end or = included.
            return Err("a backslash is allowed only in comments");
        }
        if line.starts_with('[') {
            return self.add_header(number, line);
        }
        let (key, _) = line.split_once(['=', ':']).ok_or("the line has no =")?;
        if key.trim().is_empty() {
            return Err("the line has no key");
        }
        let header = self.headers.last_mut().ok_or("the key stands before the first section")?;
        header.key_lines.push(number);
        self.clean.push_str(line);
        Ok(())
    }

    fn add_header(&mut self, number: usize, line: &str) -> Result<(), &'static str> {
        let name = line[1..].strip_suffix(']').ok_or("the section header does not end with ]")?;
        if name.contains(['[', ']']) {
            return Err("the section header has more than one pair of brackets");
        }
        self.headers.push(Header { line: number, key_lines: Vec::new() });
        self.clean.push_str(line);
        Ok(())
    }
}

fn line_mistake(file: &str, line: usize, found: &str, message: &str) -> FileMistake {
    let mistake = Mistake {
        section: String::new(),
        key: None,
        found: cut(found),
        allowed: LINE_SHAPE.to_string(),
        message: format!("{message}: {}", cut(found)),
    };
    FileMistake { file: file.to_string(), line: Some(line), mistake }
}
