//! Text tables that fit the width of the terminal.

use std::env;

use comfy_table::{ColumnConstraint, ContentArrangement, Table, presets};

/// Table width in columns if the width of the terminal is unknown.
pub const DEFAULT_WIDTH: u16 = 80;

/// Returns the width of the terminal in columns, taken from the environment variable `COLUMNS`.
pub fn terminal_width() -> u16 {
    const MIN_WIDTH: u16 = 40;
    let columns = env::var("COLUMNS").ok().and_then(|text| text.parse().ok());
    columns.unwrap_or(DEFAULT_WIDTH).max(MIN_WIDTH)
}

/// Maximum width at which the first column is not wrapped, so that names such as job ids can be copied from it.
const MAX_UNWRAPPED_CHARS: u16 = 36;

/// Formats rows under a header and wraps long cells. The first column is wrapped only if it is wider than
/// [`MAX_UNWRAPPED_CHARS`].
pub fn render<const N: usize>(
    width: u16,
    header: [&str; N],
    rows: impl IntoIterator<Item = [String; N]>,
) -> String {
    let mut table = Table::new();
    table
        .load_style(presets::NOTHING)
        .set_content_arrangement(ContentArrangement::Dynamic)
        .set_width(width)
        .set_header(header)
        .add_rows(rows);
    let first_width = table.column_max_content_widths().first().copied().unwrap_or_default();
    for (index, column) in table.column_iter_mut().enumerate() {
        column.set_padding((0, 2));
        if index == 0 && first_width <= MAX_UNWRAPPED_CHARS {
            column.set_constraint(ColumnConstraint::ContentWidth);
        }
    }
    table.trim_fmt()
}

/// Wraps `first_words` followed by `words` into lines of at most `width` characters, all but the first indented. A word
/// that is longer than a line is split.
pub fn wrap(first_words: &str, words: &[String], width: usize) -> String {
    const INDENT: &str = "    ";
    let mut lines = vec![first_words.to_owned()];
    let pieces = words.iter().flat_map(|word| chunks(word, width - INDENT.len()));
    for piece in pieces {
        let fits = |line: &String| line.chars().count() + 1 + piece.chars().count() <= width;
        match lines.last_mut().filter(|line| fits(line)) {
            Some(line) => *line += &format!(" {piece}"),
            None => lines.push(format!("{INDENT}{piece}")),
        }
    }
    lines.join("\n")
}

fn chunks(word: &str, width: usize) -> Vec<String> {
    let chars: Vec<char> = word.chars().collect();
    chars.chunks(width).map(|chunk| chunk.iter().collect()).collect()
}
