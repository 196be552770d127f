//! The policies that are compared: today's, others for choosing workers, and today's with one mechanism
//! switched off.

use std::{fmt, str::FromStr};

use lilacpass_lead::{
    Options,
    options::{Mechanism, Placement},
};

use crate::error::{self, Error};

/// Name of today's policy.
const TODAY: &str = "today";
/// Comes before the name of a mechanism that is switched off.
const WITHOUT: &str = "without-";
/// Name of the bound that knows everything.
const BOUND: &str = "bound";

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// What the leader does.
    Today,
    /// The same, but for how a worker is chosen.
    Placed(Placement),
    /// The same without a mechanism.
    Without(Mechanism),
    /// One large worker for each service that knows all jobs' work; see [`crate::bound`].
    Bound,
}

impl Policy {
    /// All policies.
    pub fn all() -> Vec<Self> {
        let placements = Placement::ALL.into_iter().filter(|p| *p != Placement::default());
        let mechanisms = Mechanism::ALL.into_iter().map(Self::Without);
        [Self::Bound, Self::Today]
            .into_iter()
            .chain(placements.map(Self::Placed))
            .chain(mechanisms)
            .collect()
    }

    /// The leader's options; none for the bound, which has no leader.
    pub fn options(self) -> Option<Options> {
        let today = Options::default();
        match self {
            Self::Bound => None,
            Self::Today => Some(today),
            Self::Placed(placement) => Some(Options { placement, ..today }),
            Self::Without(mechanism) => {
                Some(Options { disabled_mechanism: Some(mechanism), ..today })
            }
        }
    }
}

impl fmt::Display for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Today => f.write_str(TODAY),
            Self::Placed(placement) => placement.fmt(f),
            Self::Without(mechanism) => write!(f, "{WITHOUT}{mechanism}"),
            Self::Bound => f.write_str(BOUND),
        }
    }
}

impl FromStr for Policy {
    type Err = Error;

    fn from_str(s: &str) -> Result<Self, Error> {
        let known = Self::all().into_iter().find(|policy| policy.to_string() == s);
        known.ok_or_else(|| {
            let names: Vec<String> = Self::all().iter().map(Self::to_string).collect();
            error::value("policy", format!("{s:?} is none of {}", names.join(", ")))
        })
    }
}
