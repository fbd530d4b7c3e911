//! Reads the sections of an INI file with the line number of each section and key.
//!
//! The `rust-ini` library parses the text. A scan before it rejects malformed lines, which the library
//! would join with the lines that follow, and records the line numbers, which the library does not keep.

use crate::config::{Mistake, truncate};
use indexmap::IndexMap;
use ini::{Ini, ParseOption};
use std::fmt;

/// Maximum length of a file in bytes; declarations of the design size have about 60,000.
pub const MAX_FILE_LEN: usize = 1024 * 1024;
/// Format of a line, as shown in mistakes.
const LINE_SHAPE: &str = "[section], key = value, a comment from # or ;, or nothing";

/// A mistake with its position in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileMistake {
    pub file: String,
    /// Line number, from 1; `None` if the mistake concerns the whole file.
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

/// A section as written in a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FileSection {
    /// Text between the brackets.
    pub name: String,
    /// Line number of the header, from 1.
    pub line: usize,
    /// Keys and values; a repeated key has its first value.
    pub values: IndexMap<String, String>,
    /// Line number of each key, from 1.
    pub key_lines: IndexMap<String, usize>,
}

/// Sections of a file in file order. Of a repeated section, only the first one is kept.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct FileSections {
    file: String,
    /// Sections by header.
    pub sections: IndexMap<String, FileSection>,
}

impl FileSections {
    /// Reads the text of a file and reports malformed lines, repeated sections and repeated keys.
    pub fn read(file: &str, text: &str) -> (FileSections, Vec<FileMistake>) {
        let mut sections = FileSections { file: file.to_string(), sections: IndexMap::new() };
        let mut mistakes = Vec::new();
        if text.len() > MAX_FILE_LEN {
            let allowed = format!("at most {MAX_FILE_LEN} bytes");
            let mistake = Mistake::in_section("", &allowed, "the file is too long");
            mistakes.push(FileMistake { file: file.to_string(), line: None, mistake });
            return (sections, mistakes);
        }
        let scan = LineScan::new(file, text, &mut mistakes);
        match Ini::load_from_str_opt(&scan.clean_text, PARSE_OPTIONS) {
            Ok(ini) => sections.add_sections(&scan, &ini, &mut mistakes),
            Err(e) => mistakes.push(line_mistake(file, e.line, "", &e.msg)),
        }
        (sections, mistakes)
    }

    /// Adds the file and line number to mistakes in sections and keys.
    pub fn locate(&self, mistakes: Vec<Mistake>) -> Vec<FileMistake> {
        let with_line = |mistake: Mistake| FileMistake {
            file: self.file.clone(),
            line: self.line_of(&mistake),
            mistake,
        };
        mistakes.into_iter().map(with_line).collect()
    }

    /// Returns the line of the key, or of the section header if the key is missing.
    fn line_of(&self, mistake: &Mistake) -> Option<usize> {
        let matches = |text: &str, wanted: &str| text == wanted || truncate(text) == wanted;
        let mut sections = self.sections.values();
        let section = sections.find(|section| matches(&section.name, &mistake.section))?;
        let key = mistake.key.as_deref();
        let mut lines = section.key_lines.iter();
        let line = key.and_then(|key| lines.find(|(name, _)| matches(name, key)));
        Some(line.map_or(section.line, |(_, line)| *line))
    }

    fn add_sections(&mut self, scan: &LineScan, ini: &Ini, mistakes: &mut Vec<FileMistake>) {
        let parsed = ini.iter().filter_map(|(name, values)| Some((name?, values)));
        for (header, (name, values)) in scan.headers.iter().zip(parsed) {
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

/// Values are literal: no quotes, escape sequences or multi-line values.
const PARSE_OPTIONS: ParseOption = ParseOption {
    enabled_quote: false,
    enabled_escape: false,
    enabled_indented_mutiline_value: false,
    enabled_preserve_key_leading_whitespace: false,
};

fn file_section(
    file: &str,
    header: &SectionLines,
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

/// Line numbers of one section.
struct SectionLines {
    line: usize,
    /// Line of each key, in file order.
    key_lines: Vec<usize>,
}

/// Result of the scan for well-formed lines.
struct LineScan {
    /// The text with all other lines emptied, which keeps the line numbers of the rest.
    clean_text: String,
    headers: Vec<SectionLines>,
}

impl LineScan {
    fn new(file: &str, text: &str, mistakes: &mut Vec<FileMistake>) -> LineScan {
        let mut scan =
            LineScan { clean_text: String::with_capacity(text.len()), headers: Vec::new() };
        for (i, line) in text.lines().enumerate() {
            let line = line.trim();
            if let Err(message) = scan.add_line(i + 1, line) {
                mistakes.push(line_mistake(file, i + 1, line, message));
            }
            scan.clean_text.push('\n');
        }
        scan
    }

    fn add_line(&mut self, line_number: usize, line: &str) -> Result<(), &'static str> {
        if line.is_empty() || line.starts_with(['#', ';']) {
            return Ok(());
        }
        if !line.bytes().all(|b| b == b'\t' || (b' '..=b'~').contains(&b)) {
            return Err("only printable ASCII is allowed outside comments");
        }
        if line.contains('\\') {
            // The library treats the character after a backslash as literal, even a line end or =.
            return Err("a backslash is allowed only in comments");
        }
        if line.starts_with('[') {
            return self.add_header(line_number, line);
        }
        let (key, _) = line.split_once(['=', ':']).ok_or("the line has no =")?;
        if key.trim().is_empty() {
            return Err("the line has no key");
        }
        let header = self.headers.last_mut().ok_or("the key stands before the first section")?;
        header.key_lines.push(line_number);
        self.clean_text.push_str(line);
        Ok(())
    }

    fn add_header(&mut self, line_number: usize, line: &str) -> Result<(), &'static str> {
        let name = line[1..].strip_suffix(']').ok_or("the section header does not end with ]")?;
        if name.contains(['[', ']']) {
            return Err("the section header has more than one pair of brackets");
        }
        self.headers.push(SectionLines { line: line_number, key_lines: Vec::new() });
        self.clean_text.push_str(line);
        Ok(())
    }
}

fn line_mistake(file: &str, line: usize, found: &str, message: &str) -> FileMistake {
    let mistake = Mistake {
        section: String::new(),
        key: None,
        found: truncate(found),
        allowed: LINE_SHAPE.to_string(),
        message: format!("{message}: {}", truncate(found)),
    };
    FileMistake { file: file.to_string(), line: Some(line), mistake }
}
