//! The expected structure of a TOML document: the known keys and the type of each value.

/// The expected type of a value.
#[derive(Clone, Debug)]
pub(crate) enum Shape {
    /// A string.
    Text,
    /// An integer from 0 to this maximum.
    Whole(u64),
    /// `true` or `false`.
    Flag,
    /// A list whose values all have this shape.
    List(Box<Shape>),
    /// A table with these keys, all of which are optional.
    Table(Vec<Member>),
}

/// A key of a table and the shape of its value.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    /// Name of the key.
    pub(crate) key: &'static str,
    /// Expected shape of the value.
    pub(crate) shape: Shape,
}

/// Largest integer that TOML can represent.
pub(crate) const MAX_WHOLE: u64 = i64::MAX as u64;

/// Creates a key whose value has the given shape.
pub(crate) fn member(key: &'static str, shape: Shape) -> Member {
    Member { key, shape }
}

/// Creates a key whose value is a string.
pub(crate) fn text(key: &'static str) -> Member {
    member(key, Shape::Text)
}

/// Creates a key whose value is an unsigned 64-bit integer, limited to what TOML can represent.
pub(crate) fn whole(key: &'static str) -> Member {
    member(key, Shape::Whole(MAX_WHOLE))
}

/// Creates a key whose value is an unsigned 32-bit integer.
pub(crate) fn whole_u32(key: &'static str) -> Member {
    member(key, Shape::Whole(u64::from(u32::MAX)))
}

/// Creates a key whose value is `true` or `false`.
pub(crate) fn flag(key: &'static str) -> Member {
    member(key, Shape::Flag)
}

/// Creates a key whose value is a list of strings.
pub(crate) fn texts(key: &'static str) -> Member {
    member(key, Shape::List(Box::new(Shape::Text)))
}

/// Creates a key whose value is a table.
pub(crate) fn table(key: &'static str, members: Vec<Member>) -> Member {
    member(key, Shape::Table(members))
}

/// Creates a key whose value is a list of tables.
pub(crate) fn tables(key: &'static str, members: Vec<Member>) -> Member {
    member(key, Shape::List(Box::new(Shape::Table(members))))
}
