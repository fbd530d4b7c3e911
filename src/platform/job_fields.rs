//! Parses the fields that a format knows, and skips all others.
//!
//! A parsed value takes up to two hundred times the memory of its text, and callers may add fields of any content.
//! What is skipped takes none.

use serde::de::{DeserializeSeed, Deserializer, Error, IgnoredAny, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Number, Value};
use std::fmt;

/// Content of a field.
#[derive(Clone, Copy, Debug)]
pub enum Shape {
    /// A text, a number or a flag. A list or an object becomes an empty one, which is none of them.
    Scalar,
    /// At most so many entries.
    List(&'static Shape, usize),
    Object(&'static [(&'static str, Shape)]),
}

/// Parses a JSON text. Fields that `shape` does not name are left out.
pub fn parse(text: &[u8], shape: Shape) -> Result<Value, String> {
    let mut deserializer = serde_json::Deserializer::from_slice(text);
    let value = shape.deserialize(&mut deserializer).map_err(|e| format!("invalid JSON: {e}"))?;
    deserializer.end().map_err(|e| format!("invalid JSON: {e}"))?;
    Ok(value)
}

impl<'de> DeserializeSeed<'de> for Shape {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Value, D::Error> {
        deserializer.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for Shape {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E: Error>(self, value: bool) -> Result<Value, E> {
        Ok(Value::Bool(value))
    }

    fn visit_i64<E: Error>(self, value: i64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_u64<E: Error>(self, value: u64) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_f64<E: Error>(self, value: f64) -> Result<Value, E> {
        Ok(Number::from_f64(value).map_or(Value::Null, Value::Number))
    }

    fn visit_str<E: Error>(self, value: &str) -> Result<Value, E> {
        Ok(value.into())
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Value, A::Error> {
        let Shape::List(entry, most) = self else {
            while seq.next_element::<IgnoredAny>()?.is_some() {}
            return Ok(Value::Array(Vec::new()));
        };
        let mut entries = Vec::new();
        while let Some(value) = seq.next_element_seed(*entry)? {
            if entries.len() == most {
                return Err(A::Error::custom(format!("more than {most} entries")));
            }
            entries.push(value);
        }
        Ok(Value::Array(entries))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Value, A::Error> {
        let Shape::Object(fields) = self else {
            while map.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
            return Ok(Value::Object(Map::new()));
        };
        let mut known = Map::new();
        while let Some(name) = map.next_key::<String>()? {
            match fields.iter().find(|(field, _)| *field == name) {
                Some((_, shape)) => {
                    let value = map.next_value_seed(*shape)?;
                    known.insert(name, value);
                }
                None => {
                    map.next_value::<IgnoredAny>()?;
                }
            }
        }
        Ok(Value::Object(known))
    }
}
