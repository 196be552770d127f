//! Generates JSON schemas of messages, in the form in which the serde code of `lilacpass-schema` reads and writes them.

use std::collections::{BTreeMap, BTreeSet};

use prost_types::{
    DescriptorProto, FieldDescriptorProto, FileDescriptorProto, FileDescriptorSet,
    field_descriptor_proto::{Label, Type},
};
use serde_json::{Map, Value, json};

/// Field number of `message_type` in `FileDescriptorProto`, which selects the messages in the path to a comment.
const MESSAGES: i32 = 4;
/// Field number of `field` in `DescriptorProto`, which selects the fields of a message in the path to a comment.
const FIELDS: i32 = 2;

/// Name of the message whose oneof is written as `{ set_rules = { .. } }` and is required.
const TAGGED: &str = "ConfigOp";

type Result<T> = std::result::Result<T, String>;

/// Returns the schemas of `roots` and of all messages that they contain, by name.
///
/// # Errors
///
/// Fails if a message is missing or has a field whose JSON form is not known.
pub(crate) fn components(
    files: &FileDescriptorSet,
    roots: impl IntoIterator<Item = &'static str>,
    is_strict: fn(&FileDescriptorProto, &DescriptorProto) -> bool,
) -> Result<Map<String, Value>> {
    let known = messages(files, is_strict);
    let mut pending: BTreeSet<&str> = roots.into_iter().collect();
    let mut found = Map::new();
    while let Some(name) = pending.pop_first() {
        let message = known.get(name).ok_or_else(|| format!("there is no message {name}"))?;
        found.insert(name.to_owned(), message.schema()?);
        pending.extend(message.references().filter(|name| !found.contains_key(*name)));
    }
    Ok(found)
}

/// Returns a reference to the schema of a message.
pub(crate) fn reference(name: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{name}") })
}

/// A message and its position in its file.
struct Message<'a> {
    file: &'a FileDescriptorProto,
    /// Index of the message in the file.
    index: usize,
    descriptor: &'a DescriptorProto,
    /// Whether unknown fields are rejected. All fields of such a message are optional, except the oneof of [`TAGGED`].
    /// All other messages are written by the daemon, which includes every field.
    strict: bool,
}

/// Returns all messages by name.
fn messages(
    files: &FileDescriptorSet,
    is_strict: fn(&FileDescriptorProto, &DescriptorProto) -> bool,
) -> BTreeMap<&str, Message<'_>> {
    let in_file = |file| {
        let message = move |(index, descriptor)| {
            let strict = is_strict(file, descriptor);
            (descriptor.name(), Message { file, index, descriptor, strict })
        };
        file.message_type.iter().enumerate().map(message)
    };
    files.file.iter().flat_map(in_file).collect()
}

impl<'a> Message<'a> {
    /// Returns the names of the messages that are types of this message's fields.
    fn references(&self) -> impl Iterator<Item = &'a str> {
        let fields = self.descriptor.field.iter();
        fields.filter(|field| field.r#type() == Type::Message).map(message_name)
    }

    /// Returns the JSON schema of the message.
    fn schema(&self) -> Result<Value> {
        let mut properties = Map::new();
        let mut variants = Vec::new();
        for (index, field) in self.descriptor.field.iter().enumerate() {
            match field.oneof_index {
                None => {
                    let schema = with_description(property(field)?, self.field_comment(index));
                    properties.insert(field.name().to_owned(), schema);
                }
                Some(_) => variants.push(self.variant(index, field)?),
            }
        }
        if let [oneof] = self.descriptor.oneof_decl.as_slice() {
            properties.insert(oneof.name().to_owned(), json!({ "oneOf": variants }));
        }
        let mut schema = json!({ "type": "object" });
        let required = self.required(&properties);
        if !required.is_empty() {
            schema["required"] = json!(required);
        }
        if self.strict {
            schema["additionalProperties"] = json!(false);
        }
        schema["properties"] = Value::Object(properties);
        Ok(with_description(schema, self.comment(&[MESSAGES, path_element(self.index)])))
    }

    /// Returns the schema of one variant of the message's oneof: an object whose only field has the variant's name.
    fn variant(&self, index: usize, field: &FieldDescriptorProto) -> Result<Value> {
        let name = field.name();
        if self.descriptor.name() != TAGGED || self.descriptor.oneof_decl.len() != 1 {
            return Err(format!(
                "{}.{name}: the JSON form of this oneof is not known",
                self.descriptor.name()
            ));
        }
        let schema = json!({
            "type": "object",
            "required": [name],
            "additionalProperties": false,
            "properties": { name: value(field)? },
        });
        Ok(with_description(schema, self.field_comment(index)))
    }

    /// Returns the names of the required properties.
    fn required<'p>(&self, properties: &'p Map<String, Value>) -> Vec<&'p String> {
        let all_required = !self.strict || self.descriptor.name() == TAGGED;
        properties.keys().filter(|_| all_required).collect()
    }

    /// Returns the comment of a field in the `.proto` file, joined into one line.
    fn field_comment(&self, index: usize) -> Option<String> {
        self.comment(&[MESSAGES, path_element(self.index), FIELDS, path_element(index)])
    }

    /// Returns the comment of the element at `path` in the `.proto` file, joined into one line.
    fn comment(&self, path: &[i32]) -> Option<String> {
        let locations = &self.file.source_code_info.as_ref()?.location;
        let text = locations.iter().find(|location| location.path == path)?.leading_comments();
        let lines: Vec<_> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
        (!lines.is_empty()).then(|| lines.join(" "))
    }
}

/// Returns the schema of a field that is not part of a oneof.
fn property(field: &FieldDescriptorProto) -> Result<Value> {
    let value = value(field)?;
    Ok(match (field.label(), field.r#type()) {
        (Label::Repeated, _) => json!({ "type": "array", "items": value }),
        (_, Type::Message) => json!({ "anyOf": [value, { "type": "null" }] }),
        _ => value,
    })
}

/// Returns the schema of a single value of a field, regardless of whether the field is repeated.
fn value(field: &FieldDescriptorProto) -> Result<Value> {
    Ok(match field.r#type() {
        Type::Bool => json!({ "type": "boolean" }),
        Type::String => json!({ "type": "string" }),
        Type::Uint32 => {
            json!({ "type": "integer", "format": "uint32", "minimum": 0, "maximum": u32::MAX })
        }
        Type::Uint64 => json!({ "type": "integer", "format": "uint64", "minimum": 0 }),
        Type::Message => reference(message_name(field)),
        other => return Err(format!("{}: the JSON form of {other:?} is not known", field.name())),
    })
}

/// Adds a comment, if there is one, to a schema as its description.
fn with_description(mut schema: Value, comment: Option<String>) -> Value {
    if let Some(comment) = comment {
        schema["description"] = json!(comment);
    }
    schema
}

/// Returns the name of a field's message type without its package.
fn message_name(field: &FieldDescriptorProto) -> &str {
    field.type_name().rsplit('.').next().unwrap_or_default()
}

/// Converts an index to an element of a comment's path.
fn path_element(index: usize) -> i32 {
    i32::try_from(index).unwrap_or(i32::MAX)
}
