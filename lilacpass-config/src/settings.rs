//! Settings of one `lilacpassd` process: TOML text to typed values, with defaults and checks.

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

/// Description of one setting, for documents and `--help`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FieldDoc {
    /// Section and key, such as `holding.lease_ms`.
    pub path: &'static str,
    /// Unit of a number; empty for others.
    pub unit: &'static str,
    /// Default as written in TOML; empty where the setting is required.
    pub default: String,
    /// What is allowed, such as `500 to 60000`.
    pub allowed: String,
    /// What it is for.
    pub doc: &'static str,
}

/// Reads settings from TOML text. All problems are reported at once, but that ranges are told
/// only where all types are right.
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
        let place = document.locate(&problem.field);
        problem.at(place)
    };
    match check(&message) {
        Ok(settings) => problem::ok_if_none(problems, settings),
        Err(found) => {
            problems.extend(found.into_iter().map(located));
            Err(problem::sorted(problems))
        }
    }
}

/// All settings in the order of the schema's sections.
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
