//! Templates that build the body of a stage from the caller's body and earlier answers.
//!
//! A template is any JSON value. Inside it, `{"from": "/request/question"}` is replaced by the
//! value at that JSON pointer, and `{"text": [...]}` by the parts joined as one string. The
//! pointers start at `/request` for the caller's body or at `/stages/NAME` for an answer.

/// A pointer of a template at which there is no value.
#[derive(Clone, Debug, derive_more::Display, derive_more::Error, Eq, PartialEq)]
#[display("the body has nothing at {pointer}; send the field or correct the stage's input")]
pub struct TemplateError {
    /// JSON pointer from the template.
    pub pointer: String,
}

/// Fills in a template from `context`, an object with `request` and `stages`.
///
/// # Errors
/// Returns the first pointer at which `context` has no value.
pub fn fill(
    template: &serde_json::Value,
    context: &serde_json::Value,
) -> Result<serde_json::Value, TemplateError> {
    match template {
        serde_json::Value::Object(fields) => match reference(fields) {
            Some(Reference::From(pointer)) => context
                .pointer(pointer)
                .cloned()
                .ok_or_else(|| TemplateError { pointer: pointer.to_owned() }),
            Some(Reference::Text(parts)) => join(parts, context),
            None => fields
                .iter()
                .map(|(name, value)| Ok((name.clone(), fill(value, context)?)))
                .collect::<Result<serde_json::Map<_, _>, _>>()
                .map(serde_json::Value::Object),
        },
        serde_json::Value::Array(items) => items
            .iter()
            .map(|item| fill(item, context))
            .collect::<Result<Vec<_>, _>>()
            .map(serde_json::Value::Array),
        other => Ok(other.clone()),
    }
}

/// Returns the names of the stages whose answers a template reads.
pub fn referenced_stages(template: &serde_json::Value) -> Vec<String> {
    match template {
        serde_json::Value::Object(fields) => match reference(fields) {
            Some(Reference::From(pointer)) => pointer
                .strip_prefix("/stages/")
                .and_then(|rest| rest.split('/').next())
                .map(str::to_owned)
                .into_iter()
                .collect(),
            Some(Reference::Text(parts)) => parts.iter().flat_map(referenced_stages).collect(),
            None => fields.values().flat_map(referenced_stages).collect(),
        },
        serde_json::Value::Array(items) => items.iter().flat_map(referenced_stages).collect(),
        _ => Vec::new(),
    }
}

/// Object of a template that stands for a value of the context.
enum Reference<'a> {
    From(&'a str),
    Text(&'a [serde_json::Value]),
}

/// Returns the reference that an object stands for; `None` for an ordinary object.
fn reference(fields: &serde_json::Map<String, serde_json::Value>) -> Option<Reference<'_>> {
    if fields.len() != 1 {
        return None;
    }
    match (fields.get("from"), fields.get("text")) {
        (Some(serde_json::Value::String(pointer)), _) => Some(Reference::From(pointer)),
        (_, Some(serde_json::Value::Array(parts))) => Some(Reference::Text(parts)),
        _ => None,
    }
}

/// Joins parts as one string. Parts that are not strings are written as JSON.
fn join(
    parts: &[serde_json::Value],
    context: &serde_json::Value,
) -> Result<serde_json::Value, TemplateError> {
    let mut text = String::new();
    for part in parts {
        match fill(part, context)? {
            serde_json::Value::String(piece) => text.push_str(&piece),
            other => text.push_str(&other.to_string()),
        }
    }
    Ok(serde_json::Value::String(text))
}
