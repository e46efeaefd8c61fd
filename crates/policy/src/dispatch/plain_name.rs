//! Names that stand in paths, queries and headers as they are.

/// Largest plain name, in bytes.
const MAX_PLAIN_BYTES: usize = 256;

/// Returns whether a name is written in the same way wherever it goes: in a path, in a query,
/// in a header and in a message. It consists of the characters that RFC 3986 calls unreserved,
/// `:` and `@`, and isn't one of the segments `.` and `..`, which readers of paths resolve.
///
/// Any other name is only read and passed on encoded; nothing is called by it.
pub fn is_plain_name(name: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~:@".contains(&byte);
    let is_sized = (1..=MAX_PLAIN_BYTES).contains(&name.len());
    is_sized && name.bytes().all(is_plain) && !matches!(name, "." | "..")
}
