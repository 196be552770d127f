//! The compared policies: the current one of the leader, the current one with another choice of workers or without one
//! mechanism, and the upper bound.

use std::{fmt, str::FromStr};

use lilacpass_lead::{
    Options,
    options::{Mechanism, Placement},
};

use crate::error::{self, Error};

/// Name of the current policy.
const TODAY: &str = "today";
/// Prefix of the name of a policy in which a mechanism is disabled.
const WITHOUT: &str = "without-";
/// Name of the upper bound.
const BOUND: &str = "bound";

/// A scheduling policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The current policy of the leader, with its default options.
    Today,
    /// The current policy with another choice of workers.
    Placed(Placement),
    /// The current policy without one mechanism.
    Without(Mechanism),
    /// The upper bound for all policies; see [`crate::bound`].
    Bound,
}

impl Policy {
    /// Returns all policies.
    pub fn all() -> Vec<Self> {
        let placements = Placement::ALL.into_iter().filter(|p| *p != Placement::default());
        let mechanisms = Mechanism::ALL.into_iter().map(Self::Without);
        [Self::Bound, Self::Today]
            .into_iter()
            .chain(placements.map(Self::Placed))
            .chain(mechanisms)
            .collect()
    }

    /// Returns the options of the leader, or `None` for the bound, which has no leader.
    pub fn options(self) -> Option<Options> {
        let default = Options::default();
        match self {
            Self::Bound => None,
            Self::Today => Some(default),
            Self::Placed(placement) => Some(Options { placement, ..default }),
            Self::Without(mechanism) => {
                Some(Options { disabled_mechanism: Some(mechanism), ..default })
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
            error::value("policy", format!("{s:?} is not one of {}", names.join(", ")))
        })
    }
}
