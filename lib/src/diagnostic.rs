//! Faults of a text, collected while it is read, so that all of them can be listed.

use std::collections;
use std::fmt;

/// One fault in a text.
#[derive(
    Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq, serde::Serialize,
)]
#[display("{pointer}: {problem}; {remedy}")]
pub struct Diagnostic {
    /// JSON pointer to the faulty place.
    pub pointer: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

/// All faults of one text; never empty.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
#[display("the text has {} fault(s), the first at {}", _0.len(), _0[0])]
pub struct Diagnostics(#[error(not(source))] pub Vec<Diagnostic>);

/// Collects faults while a text is walked.
#[derive(Debug, Default)]
pub struct Collector {
    faults: Vec<Diagnostic>,
}

impl Collector {
    /// Adds a fault.
    pub fn add(
        &mut self,
        pointer: impl Into<String>,
        problem: impl fmt::Display,
        remedy: impl fmt::Display,
    ) {
        self.faults.push(Diagnostic {
            pointer: pointer.into(),
            problem: problem.to_string(),
            remedy: remedy.to_string(),
        });
    }

    /// Reads one value, recording each unknown field and, field by field, each type error.
    pub fn read<T: serde::de::DeserializeOwned>(
        &mut self,
        pointer: &str,
        value: &serde_json::Value,
    ) -> Option<T> {
        let mut unknown = collections::BTreeSet::new();
        let mut rest = value.clone();
        let mut removed = Vec::new();
        let result = loop {
            match read_once(&rest, &mut unknown) {
                Ok(value) => break Some(value),
                Err((path, message)) => {
                    // A field that was taken out below is missing because of its own fault.
                    let is_own = removed.iter().any(|f| message.contains(&format!("field `{f}`")));
                    if !is_own {
                        let place = place_of(pointer, &path);
                        self.add(place, message, "correct the value, see the reference of fields");
                    }
                    let field = path.split(['.', '[']).next().unwrap_or_default().to_owned();
                    // The other fields may have faults of their own.
                    let taken = rest.as_object_mut().and_then(|fields| fields.remove(&field));
                    if taken.is_none() {
                        break None;
                    }
                    removed.push(field);
                }
            }
        };
        for path in unknown {
            let place = place_of(pointer, &path);
            self.add(place, "unknown field", "remove it or correct its spelling");
        }
        result.filter(|_| removed.is_empty())
    }

    /// Returns the faults, of which there must be one.
    pub fn into_faults(self) -> Diagnostics {
        Diagnostics(self.faults)
    }

    /// Ends the walk with the value if there was no fault.
    ///
    /// # Errors
    /// Returns all faults in the order in which they were found.
    pub fn finish<T>(self, value: T) -> Result<T, Diagnostics> {
        if self.faults.is_empty() { Ok(value) } else { Err(Diagnostics(self.faults)) }
    }
}

/// Reads a value; returns the path and message of the first type error.
fn read_once<T: serde::de::DeserializeOwned>(
    value: &serde_json::Value,
    unknown: &mut collections::BTreeSet<String>,
) -> Result<T, (String, String)> {
    let mut track = serde_path_to_error::Track::new();
    let input = serde_path_to_error::Deserializer::new(value, &mut track);
    let mut note = |path: serde_ignored::Path<'_>| {
        unknown.insert(path.to_string());
    };
    let read = serde::Deserialize::deserialize(serde_ignored::Deserializer::new(input, &mut note));
    read.map_err(|e| (track.path().to_string(), e.to_string()))
}

/// Returns the JSON pointer of a path below a pointer.
fn place_of(pointer: &str, path: &str) -> String {
    match path {
        "." | "" => pointer.to_owned(),
        inner => format!("{pointer}/{}", inner.replace('.', "/").replace("?/", "")),
    }
}

/// Parses JSON and records keys that stand twice in one object.
///
/// Returns `None` after recording the fault if the text is not JSON.
pub fn parse_json(text: &str, report: &mut Collector) -> Option<serde_json::Value> {
    let value: serde_json::Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(e) => {
            let place = format!("line {} column {}", e.line(), e.column());
            report.add("", format!("not valid JSON at {place}"), "correct the syntax there");
            return None;
        }
    };
    let mut input = serde_json::Deserializer::from_str(text);
    let walk = DuplicateWalk { pointer: String::new(), report };
    // The text was parsed above, so the walk cannot fail.
    let _ = serde::de::DeserializeSeed::deserialize(walk, &mut input);
    Some(value)
}

struct DuplicateWalk<'a> {
    pointer: String,
    report: &'a mut Collector,
}

impl<'de> serde::de::DeserializeSeed<'de> for DuplicateWalk<'_> {
    type Value = ();

    fn deserialize<D: serde::Deserializer<'de>>(self, input: D) -> Result<(), D::Error> {
        input.deserialize_any(self)
    }
}

impl<'de> serde::de::Visitor<'de> for DuplicateWalk<'_> {
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
            if seq.next_element_seed(DuplicateWalk { pointer, report: self.report })?.is_none() {
                break;
            }
        }
        Ok(())
    }

    fn visit_map<A: serde::de::MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        let mut seen = collections::BTreeSet::new();
        while let Some(key) = map.next_key::<String>()? {
            let pointer = format!("{}/{}", self.pointer, key.replace('~', "~0").replace('/', "~1"));
            if !seen.insert(key) {
                self.report.add(&pointer, "duplicate id", "keep one of the two entries");
            }
            map.next_value_seed(DuplicateWalk { pointer, report: self.report })?;
        }
        Ok(())
    }
}
