//! JSON values: parsing and printing of what the interfaces need.

use std::fmt;

#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(Vec<(String, Value)>),
}

impl Value {
    pub fn get(&self, name: &str) -> &Value {
        match self {
            Value::Object(fields) => {
                fields.iter().find(|(n, _)| n == name).map_or(&Value::Null, |(_, v)| v)
            }
            _ => &Value::Null,
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        match self.get(name) {
            Value::Number(n) if *n >= 0.0 => *n as u64,
            _ => 0,
        }
    }

    pub fn text(&self, name: &str) -> &str {
        match self.get(name) {
            Value::Text(text) => text,
            _ => "",
        }
    }
}

impl From<&str> for Value {
    fn from(text: &str) -> Value {
        Value::Text(text.to_string())
    }
}

impl From<u64> for Value {
    fn from(number: u64) -> Value {
        Value::Number(number as f64)
    }
}

/// Builds an object from its fields.
pub fn object(fields: Vec<(&str, Value)>) -> Value {
    Value::Object(fields.into_iter().map(|(n, v)| (n.to_string(), v)).collect())
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Null => f.write_str("null"),
            Value::Bool(b) => write!(f, "{b}"),
            Value::Number(n) if n.fract() == 0.0 && n.abs() < 9e15 => write!(f, "{}", *n as i64),
            Value::Number(n) => write!(f, "{n}"),
            Value::Text(text) => write_text(f, text),
            Value::List(list) => {
                f.write_str("[")?;
                for (i, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Value::Object(fields) => {
                f.write_str("{")?;
                for (i, (name, value)) in fields.iter().enumerate() {
                    f.write_str(if i > 0 { "," } else { "" })?;
                    write_text(f, name)?;
                    write!(f, ":{value}")?;
                }
                f.write_str("}")
            }
        }
    }
}

fn write_text(f: &mut fmt::Formatter<'_>, text: &str) -> fmt::Result {
    f.write_str("\"")?;
    for c in text.chars() {
        match c {
            '"' => f.write_str("\\\"")?,
            '\\' => f.write_str("\\\\")?,
            c if (c as u32) < 0x20 => write!(f, "\\u{:04x}", c as u32)?,
            c => write!(f, "{c}")?,
        }
    }
    f.write_str("\"")
}

/// Parses a text; null if it is not JSON.
pub fn parse(text: &[u8]) -> Value {
    let mut parser = Parser { text, at: 0 };
    parser.value().unwrap_or(Value::Null)
}

struct Parser<'a> {
    text: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn next(&mut self) -> Option<u8> {
        while self.text.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.text.get(self.at).copied()
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let found = self.text[self.at..].starts_with(word.as_bytes());
        self.at += word.len();
        found.then_some(value)
    }

    fn value(&mut self) -> Option<Value> {
        match self.next()? {
            b'n' => self.word("null", Value::Null),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'"' => self.string().map(Value::Text),
            b'[' => {
                self.at += 1;
                let mut list = Vec::new();
                loop {
                    match self.next()? {
                        b']' => break,
                        b',' => self.at += 1,
                        _ => list.push(self.value()?),
                    }
                }
                self.at += 1;
                Some(Value::List(list))
            }
            b'{' => {
                self.at += 1;
                let mut fields = Vec::new();
                loop {
                    match self.next()? {
                        b'}' => break,
                        b',' => self.at += 1,
                        _ => {
                            let name = self.string()?;
                            if self.next()? != b':' {
                                return None;
                            }
                            self.at += 1;
                            fields.push((name, self.value()?));
                        }
                    }
                }
                self.at += 1;
                Some(Value::Object(fields))
            }
            _ => {
                let start = self.at;
                let is_number = |b: &u8| b.is_ascii_digit() || b"+-.eE".contains(b);
                while self.text.get(self.at).is_some_and(is_number) {
                    self.at += 1;
                }
                let number = std::str::from_utf8(&self.text[start..self.at]).ok()?;
                number.parse().ok().map(Value::Number)
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        if self.next()? != b'"' {
            return None;
        }
        self.at += 1;
        let mut bytes = Vec::new();
        loop {
            let b = *self.text.get(self.at)?;
            self.at += 1;
            match b {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = *self.text.get(self.at)?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend(c.to_string().as_bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
