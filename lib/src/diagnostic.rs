//! Errors in a JSON text, collected while it is read so that all of them can be shown at once.

use std::collections;
use std::fmt;

/// One error in a text.
#[derive(
    Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq, serde::Serialize,
)]
#[display("{pointer}: {problem}; {remedy}")]
pub struct Diagnostic {
    /// JSON pointer to the value; empty for the whole text.
    pub pointer: String,
    /// What is wrong with the value.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

/// All errors of one text, in the order in which they were found; never empty.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
#[display("the text has {} error(s), the first at {}", _0.len(), _0[0])]
pub struct Diagnostics(#[error(not(source))] pub Vec<Diagnostic>);

/// Collects the errors of a text while it is read.
#[derive(Debug, Default)]
pub struct Collector {
    diagnostics: Vec<Diagnostic>,
}

impl Collector {
    /// Records an error of the value at a JSON pointer.
    pub fn add(
        &mut self,
        pointer: impl Into<String>,
        problem: impl fmt::Display,
        remedy: impl fmt::Display,
    ) {
        self.diagnostics.push(Diagnostic {
            pointer: pointer.into(),
            problem: problem.to_string(),
            remedy: remedy.to_string(),
        });
    }

    /// Deserializes a value; records each unknown field and the type error of each top-level field.
    ///
    /// Returns `None` if there was a type error.
    pub fn read<T: serde::de::DeserializeOwned>(
        &mut self,
        pointer: &str,
        value: &serde_json::Value,
    ) -> Option<T> {
        let mut unknown = collections::BTreeSet::new();
        let mut rest = value.clone();
        let mut removed = Vec::new();
        let result = loop {
            match deserialize(&rest, &mut unknown) {
                Ok(value) => break Some(value),
                Err((path, message)) => {
                    // A field that was removed below is reported as missing, although its error has
                    // been recorded already.
                    let was_removed =
                        removed.iter().any(|f| message.contains(&format!("field `{f}`")));
                    if !was_removed {
                        let pointer = join_pointer(pointer, &path);
                        self.add(
                            pointer,
                            message,
                            "correct the value, see the reference of fields",
                        );
                    }
                    let field = path.split(['.', '[']).next().unwrap_or_default().to_owned();
                    // Without the field, the next turn finds errors in the other ones.
                    let removed_value =
                        rest.as_object_mut().and_then(|fields| fields.remove(&field));
                    if removed_value.is_none() {
                        break None;
                    }
                    removed.push(field);
                }
            }
        };
        for path in unknown {
            let pointer = join_pointer(pointer, &path);
            self.add(pointer, "unknown field", "remove it or correct its spelling");
        }
        result.filter(|_| removed.is_empty())
    }

    /// Returns the recorded errors. The caller has to have recorded one, as [`Diagnostics`] is
    /// never empty.
    pub fn into_diagnostics(self) -> Diagnostics {
        Diagnostics(self.diagnostics)
    }

    /// Returns the value if no error was recorded.
    ///
    /// # Errors
    /// Returns all recorded errors, in their order, if there are any.
    pub fn finish<T>(self, value: T) -> Result<T, Diagnostics> {
        if self.diagnostics.is_empty() { Ok(value) } else { Err(Diagnostics(self.diagnostics)) }
    }
}

/// Deserializes a value and collects the paths of unknown fields; on a type error, returns its path
/// and message.
fn deserialize<T: serde::de::DeserializeOwned>(
    value: &serde_json::Value,
    unknown: &mut collections::BTreeSet<String>,
) -> Result<T, (String, String)> {
    let mut track = serde_path_to_error::Track::new();
    let input = serde_path_to_error::Deserializer::new(value, &mut track);
    let mut on_unknown = |path: serde_ignored::Path<'_>| {
        unknown.insert(path.to_string());
    };
    let read =
        serde::Deserialize::deserialize(serde_ignored::Deserializer::new(input, &mut on_unknown));
    read.map_err(|e| (track.path().to_string(), e.to_string()))
}

/// Returns the JSON pointer of a serde path below a pointer.
fn join_pointer(pointer: &str, path: &str) -> String {
    match path {
        "." | "" => pointer.to_owned(),
        inner => format!("{pointer}/{}", inner.replace('.', "/").replace("?/", "")),
    }
}

/// Parses JSON and records keys that occur twice in one object.
///
/// Returns `None`, and records an error, if the text is not JSON.
pub fn parse_json(text: &str, collector: &mut Collector) -> Option<serde_json::Value> {
    let value: serde_json::Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(e) => {
            let place = format!("line {} column {}", e.line(), e.column());
            collector.add("", format!("not valid JSON at {place}"), "correct the syntax there");
            return None;
        }
    };
    let mut input = serde_json::Deserializer::from_str(text);
    let visitor = DuplicateVisitor { pointer: String::new(), collector };
    // The text was parsed above, so this cannot fail.
    let _ = serde::de::DeserializeSeed::deserialize(visitor, &mut input);
    Some(value)
}

/// Visits all objects of a JSON text and records duplicate keys.
struct DuplicateVisitor<'a> {
    pointer: String,
    collector: &'a mut Collector,
}

impl<'de> serde::de::DeserializeSeed<'de> for DuplicateVisitor<'_> {
    type Value = ();

    fn deserialize<D: serde::Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> serde::de::Visitor<'de> for DuplicateVisitor<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("any JSON value")
    }

    fn visit_bool<E>(self, _: bool) -> Result<(), E> {
        Ok(())
    }

    fn visit_i64<E>(self, _: i64) -> Result<(), E> {
        Ok(())
    }

    fn visit_u64<E>(self, _: u64) -> Result<(), E> {
        Ok(())
    }

    fn visit_f64<E>(self, _: f64) -> Result<(), E> {
        Ok(())
    }

    fn visit_str<E>(self, _: &str) -> Result<(), E> {
        Ok(())
    }

    fn visit_unit<E>(self) -> Result<(), E> {
        Ok(())
    }

    fn visit_seq<A: serde::de::SeqAccess<'de>>(self, mut seq: A) -> Result<(), A::Error> {
        for index in 0.. {
            let pointer = format!("{}/{index}", self.pointer);
            if seq
                .next_element_seed(DuplicateVisitor { pointer, collector: self.collector })?
                .is_none()
            {
                break;
            }
        }
        Ok(())
    }

    fn visit_map<A: serde::de::MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut keys = collections::BTreeSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let pointer = format!("{}/{}", self.pointer, key.replace('~', "~0").replace('/', "~1"));
            if !keys.insert(key) {
                self.collector.add(&pointer, "duplicate id", "keep one of the two entries");
            }
            map.next_value_seed(DuplicateVisitor { pointer, collector: self.collector })?;
        }
        Ok(())
    }
}
