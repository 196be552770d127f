//! The shape that a TOML text must have: known keys and the type of each.

/// What a value must be.
#[derive(Clone, Debug)]
pub(crate) enum Shape {
    /// A string.
    Text,
    /// A whole number from 0 to this one.
    Whole(u64),
    /// `true` or `false`.
    Flag,
    /// A list of values of one shape.
    List(Box<Shape>),
    /// A table with these keys, each of which may be absent.
    Table(Vec<Member>),
}

/// A key of a table.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// The key.
    pub(crate) key: &'static str,
    /// What its value must be.
    pub(crate) shape: Shape,
}

/// Largest number that TOML holds.
pub(crate) const MAX_WHOLE: u64 = i64::MAX as u64;

/// A key with any shape.
pub(crate) fn member(key: &'static str, shape: Shape) -> Member {
    Member { key, shape }
}

/// A key with a string.
pub(crate) fn text(key: &'static str) -> Member {
    member(key, Shape::Text)
}

/// A key with a number of 64 bits.
pub(crate) fn whole(key: &'static str) -> Member {
    member(key, Shape::Whole(MAX_WHOLE))
}

/// A key with a number of 32 bits.
pub(crate) fn whole_u32(key: &'static str) -> Member {
    member(key, Shape::Whole(u64::from(u32::MAX)))
}

/// A key with `true` or `false`.
pub(crate) fn flag(key: &'static str) -> Member {
    member(key, Shape::Flag)
}

/// A key with a list of strings.
pub(crate) fn texts(key: &'static str) -> Member {
    member(key, Shape::List(Box::new(Shape::Text)))
}

/// A key with a table.
pub(crate) fn table(key: &'static str, members: Vec<Member>) -> Member {
    member(key, Shape::Table(members))
}

/// A key with a list of tables.
pub(crate) fn tables(key: &'static str, members: Vec<Member>) -> Member {
    member(key, Shape::List(Box::new(Shape::Table(members))))
}
