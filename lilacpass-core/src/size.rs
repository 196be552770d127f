//! Newtypes for sizes and rates, which print their unit.

use std::{
    fmt,
    ops::{Add, AddAssign},
    str::FromStr,
    time::Duration,
};

use crate::error::{self, Error};

macro_rules! size {
    ($(#[$doc:meta])* $name:ident, $unit:literal) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub u64);

        impl $name {
            /// The unit that is printed after the number.
            pub const UNIT: &'static str = $unit;

            /// Returns `self - other`, or zero if `other` is greater.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, "{}{}", self.0, Self::UNIT)
            }
        }

        impl FromStr for $name {
            type Err = Error;

            /// Parses a whole number with or without the unit after it.
            fn from_str(s: &str) -> Result<Self, Error> {
                let digits = s.strip_suffix(Self::UNIT).unwrap_or(s).trim_end();
                digits.parse().map(Self).map_err(|_| error::malformed(stringify!($name), s))
            }
        }
    };
}

size! {
    /// Processor capacity or use, in thousandths of a core.
    Millicores, "m"
}
size! {
    /// Memory, in mebibytes.
    Mebibytes, "MiB"
}
size! {
    /// Number of accelerators.
    Accelerators, "acc"
}
size! {
    /// Number of task slots of a worker.
    Slots, "slots"
}
size! {
    /// A length in bytes.
    Bytes, "B"
}
size! {
    /// A rate in events per second.
    PerSecond, "/s"
}
size! {
    /// The bandwidth of a link, in bytes per second.
    BytesPerSecond, "B/s"
}

impl BytesPerSecond {
    /// Returns how long the transfer of `bytes` takes. A bandwidth of 0 means that it is unknown and gives zero.
    pub fn time_for(self, bytes: Bytes) -> Duration {
        if self.0 == 0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64(bytes.0 as f64 / self.0 as f64)
    }
}
