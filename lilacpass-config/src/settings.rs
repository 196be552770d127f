//! Settings of one `lilacpassd` process: converts TOML text to typed values, applies defaults and checks the values.

use lilacpass_schema::v1;

use crate::{
    document::Document,
    problem::{self, Problem},
};

mod fields;
mod model;
mod reader;

pub use model::{
    HoldingSettings, InstanceSettings, JobSettings, PeerSettings, PlatformSettings, Settings,
    TrafficSettings,
};
pub use reader::check;

/// Description of one setting for the documentation and `--help`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldDoc {
    /// Section and key, such as `holding.lease_ms`.
    pub path: &'static str,
    /// Unit of a number; empty if it has none or if the setting is a text.
    pub unit: &'static str,
    /// Default value; empty if the setting is required or empty by default.
    pub default: String,
    /// Allowed values, such as `500 to 60000`.
    pub allowed: String,
    /// Purpose of the setting.
    pub doc: &'static str,
}

/// Parses settings from TOML text and checks them.
///
/// All problems are reported together, except that values are checked only if all of them have the right type.
pub fn parse(text: &str) -> Result<Settings, Vec<Problem>> {
    let document = Document::parse(text)?;
    let shape = fields::shape();
    let mut problems = document.verify(&shape);
    let message: v1::Settings = match document.decode(&shape) {
        Ok(message) => message,
        Err(_) if !problems.is_empty() => return Err(problem::sorted(problems)),
        Err(undecodable) => return Err(undecodable),
    };
    let located = |problem: Problem| {
        let position = document.locate(&problem.field);
        problem.at(position)
    };
    match check(&message) {
        Ok(settings) => problem::ok_if_none(problems, settings),
        Err(found) => {
            problems.extend(found.into_iter().map(located));
            Err(problem::sorted(problems))
        }
    }
}

/// Describes all settings, in the order of their sections in the schema.
pub fn describe() -> Vec<FieldDoc> {
    let texts = fields::TEXTS.iter().map(|field| FieldDoc {
        path: field.path,
        unit: "",
        default: field.default.to_owned(),
        allowed: field.form.to_owned(),
        doc: field.doc,
    });
    let numbers = fields::NUMBERS.iter().map(|field| FieldDoc {
        path: field.path,
        unit: field.unit,
        default: field.default.to_string(),
        allowed: format!("{} to {}", field.min, field.max),
        doc: field.doc,
    });
    let mut docs: Vec<_> = texts.chain(numbers).collect();
    let section = |path: &str| path.split('.').next().unwrap_or_default().to_owned();
    let order: Vec<_> = fields::shape().iter().map(|member| member.key).collect();
    docs.sort_by_key(|doc| order.iter().position(|key| *key == section(doc.path)));
    docs
}
