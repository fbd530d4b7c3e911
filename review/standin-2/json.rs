//! A small JSON value, parser and writer.

use std::fmt::Write;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Num(f64),
    Str(String),
    Arr(Vec<Json>),
    Obj(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Obj(fields) => fields.iter().find(|(n, _)| n == name).map_or(&Json::Null, |(_, v)| v),
            _ => &Json::Null,
        }
    }

    pub fn num(&self, name: &str) -> u64 {
        match self.get(name) {
            Json::Num(n) => *n as u64,
            _ => 0,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Json::Str(s) => s,
            _ => "",
        }
    }

    pub fn write(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(b) => out.push_str(if *b { "true" } else { "false" }),
            Json::Num(n) => {
                let _ = write!(out, "{n}");
            }
            Json::Str(s) => write_string(s, out),
            Json::Arr(items) => {
                out.push('[');
                for (i, item) in items.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    item.write(out);
                }
                out.push(']');
            }
            Json::Obj(fields) => {
                out.push('{');
                for (i, (name, value)) in fields.iter().enumerate() {
                    if i > 0 {
                        out.push(',');
                    }
                    write_string(name, out);
                    out.push(':');
                    value.write(out);
                }
                out.push('}');
            }
        }
    }

    pub fn parse(text: &[u8]) -> Option<Json> {
        let text = std::str::from_utf8(text).ok()?;
        let mut parser = Parser { text: text.as_bytes(), at: 0 };
        let value = parser.value()?;
        parser.space();
        (parser.at == parser.text.len()).then_some(value)
    }
}

impl std::fmt::Display for Json {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let mut out = String::new();
        self.write(&mut out);
        f.write_str(&out)
    }
}

fn write_string(s: &str, out: &mut String) {
    out.push('"');
    for c in s.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn space(&mut self) {
        while self.text.get(self.at).is_some_and(|b| b.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn next(&mut self) -> Option<u8> {
        let b = *self.text.get(self.at)?;
        self.at += 1;
        Some(b)
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        self.text[self.at..].starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.space();
        match *self.text.get(self.at)? {
            b'n' => self.word("null", Json::Null),
            b't' => self.word("true", Json::Bool(true)),
            b'f' => self.word("false", Json::Bool(false)),
            b'"' => Some(Json::Str(self.string()?)),
            b'[' => {
                self.at += 1;
                let mut items = Vec::new();
                loop {
                    self.space();
                    if items.is_empty() && self.text.get(self.at) == Some(&b']') {
                        self.at += 1;
                        return Some(Json::Arr(items));
                    }
                    items.push(self.value()?);
                    self.space();
                    match self.next()? {
                        b',' => {}
                        b']' => return Some(Json::Arr(items)),
                        _ => return None,
                    }
                }
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    self.space();
                    if fields.is_empty() && self.text.get(self.at) == Some(&b'}') {
                        self.at += 1;
                        return Some(Json::Obj(fields));
                    }
                    let name = self.string()?;
                    self.space();
                    if self.next()? != b':' {
                        return None;
                    }
                    fields.push((name, self.value()?));
                    self.space();
                    match self.next()? {
                        b',' => {}
                        b'}' => return Some(Json::Obj(fields)),
                        _ => return None,
                    }
                }
            }
            _ => {
                let from = self.at;
                let is_part = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.text.get(self.at).is_some_and(is_part) {
                    self.at += 1;
                }
                let text = std::str::from_utf8(&self.text[from..self.at]).ok()?;
                Some(Json::Num(text.parse().ok()?))
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.next()? != b'"' {
            return None;
        }
        let mut out = Vec::new();
        loop {
            match self.next()? {
                b'"' => return String::from_utf8(out).ok(),
                b'\\' => match self.next()? {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = self.text.get(self.at..self.at + 4)?;
                        self.at += 4;
                        let code = u32::from_str_radix(std::str::from_utf8(hex).ok()?, 16).ok()?;
                        let c = char::from_u32(code).unwrap_or('?');
                        out.extend(c.to_string().bytes());
                    }
                    other => out.push(other),
                },
                other => out.push(other),
            }
        }
    }
}

pub fn obj(fields: &[(&str, Json)]) -> Json {
    Json::Obj(fields.iter().map(|(n, v)| (n.to_string(), v.clone())).collect())
}

pub fn s(text: &str) -> Json {
    Json::Str(text.to_string())
}

pub fn n(number: u64) -> Json {
    Json::Num(number as f64)
}
