//! JSON schemas of messages, in the form that the derived code of `lilacpass-schema` writes and
//! reads.

use std::collections::{BTreeMap, BTreeSet};

use prost_types::{
    DescriptorProto, FieldDescriptorProto, FileDescriptorProto, FileDescriptorSet,
    field_descriptor_proto::{Label, Type},
};
use serde_json::{Map, Value, json};

/// Steps of the path to a comment: the messages of a file, and the fields of a message.
const MESSAGES: i32 = 4;
const FIELDS: i32 = 2;

/// The message whose oneof is written as `{ set_rules = { .. } }`, and which is refused without it.
const TAGGED: &str = "ConfigOp";

type Result<T> = std::result::Result<T, String>;

/// The schemas of `roots` and of all messages in them, by name.
///
/// # Errors
///
/// A message is missing, or has a field whose form in JSON is not known here.
pub(crate) fn components(
    files: &FileDescriptorSet,
    roots: impl IntoIterator<Item = &'static str>,
    is_strict: fn(&FileDescriptorProto, &DescriptorProto) -> bool,
) -> Result<Map<String, Value>> {
    let known = messages(files, is_strict);
    let mut wanted: BTreeSet<&str> = roots.into_iter().collect();
    let mut found = Map::new();
    while let Some(name) = wanted.pop_first() {
        let message = known.get(name).ok_or_else(|| format!("there is no message {name}"))?;
        found.insert(name.to_owned(), message.schema()?);
        wanted.extend(message.references().filter(|name| !found.contains_key(*name)));
    }
    Ok(found)
}

/// Reference to the schema of a message.
pub(crate) fn reference(name: &str) -> Value {
    json!({ "$ref": format!("#/components/schemas/{name}") })
}

/// One message with its place in its file.
struct Message<'a> {
    file: &'a FileDescriptorProto,
    index: usize,
    descriptor: &'a DescriptorProto,
    /// Whether an unknown field is an error. Such messages may also leave out fields, while all
    /// others are written by the daemon, which leaves out none.
    strict: bool,
}

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
    fn references(&self) -> impl Iterator<Item = &'a str> {
        let fields = self.descriptor.field.iter();
        fields.filter(|field| field.r#type() == Type::Message).map(message_name)
    }

    fn schema(&self) -> Result<Value> {
        let mut properties = Map::new();
        let mut variants = Vec::new();
        for (index, field) in self.descriptor.field.iter().enumerate() {
            match field.oneof_index {
                None => {
                    let schema = described(property(field)?, self.field_comment(index));
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
        Ok(described(schema, self.comment(&[MESSAGES, path_step(self.index)])))
    }

    /// One choice of the message's oneof, as an object whose only field names the choice.
    fn variant(&self, index: usize, field: &FieldDescriptorProto) -> Result<Value> {
        let name = field.name();
        if self.descriptor.name() != TAGGED || self.descriptor.oneof_decl.len() != 1 {
            return Err(format!("{}.{name}: no known form of a oneof", self.descriptor.name()));
        }
        let schema = json!({
            "type": "object",
            "required": [name],
            "additionalProperties": false,
            "properties": { name: value(field)? },
        });
        Ok(described(schema, self.field_comment(index)))
    }

    fn required<'p>(&self, properties: &'p Map<String, Value>) -> Vec<&'p String> {
        let needed = !self.strict || self.descriptor.name() == TAGGED;
        properties.keys().filter(|_| needed).collect()
    }

    fn field_comment(&self, index: usize) -> Option<String> {
        self.comment(&[MESSAGES, path_step(self.index), FIELDS, path_step(index)])
    }

    fn comment(&self, path: &[i32]) -> Option<String> {
        let locations = &self.file.source_code_info.as_ref()?.location;
        let text = locations.iter().find(|location| location.path == path)?.leading_comments();
        let lines: Vec<_> = text.lines().map(str::trim).filter(|line| !line.is_empty()).collect();
        (!lines.is_empty()).then(|| lines.join(" "))
    }
}

/// The schema of a field outside any oneof.
fn property(field: &FieldDescriptorProto) -> Result<Value> {
    let value = value(field)?;
    Ok(match (field.label(), field.r#type()) {
        (Label::Repeated, _) => json!({ "type": "array", "items": value }),
        (_, Type::Message) => json!({ "anyOf": [value, { "type": "null" }] }),
        _ => value,
    })
}

/// The schema of one value of a field.
fn value(field: &FieldDescriptorProto) -> Result<Value> {
    Ok(match field.r#type() {
        Type::Bool => json!({ "type": "boolean" }),
        Type::String => json!({ "type": "string" }),
        Type::Uint32 => {
            json!({ "type": "integer", "format": "uint32", "minimum": 0, "maximum": u32::MAX })
        }
        Type::Uint64 => json!({ "type": "integer", "format": "uint64", "minimum": 0 }),
        Type::Message => reference(message_name(field)),
        other => return Err(format!("{}: no known form of {other:?}", field.name())),
    })
}

fn described(mut schema: Value, comment: Option<String>) -> Value {
    if let Some(comment) = comment {
        schema["description"] = json!(comment);
    }
    schema
}

/// The name of a field's message without its package.
fn message_name(field: &FieldDescriptorProto) -> &str {
    field.type_name().rsplit('.').next().unwrap_or_default()
}

fn path_step(index: usize) -> i32 {
    i32::try_from(index).unwrap_or(i32::MAX)
}
