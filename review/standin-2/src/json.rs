//! Finds fields in JSON text without decoding it.

/// End of the value that begins at `start`, after which no part of it follows.
fn value_end(text: &[u8], start: usize) -> usize {
    let mut depth = 0;
    let mut index = start;
    while index < text.len() {
        match text[index] {
            b'"' => index = string_end(text, index) - 1,
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return index,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => return index,
            _ => {}
        }
        index += 1;
        if depth == 0 && matches!(text[index - 1], b'}' | b']' | b'"') {
            return index;
        }
    }
    index
}

/// Index after the closing quote of the string that begins at `start`.
fn string_end(text: &[u8], start: usize) -> usize {
    let mut index = start + 1;
    while index < text.len() {
        match text[index] {
            b'\\' => index += 1,
            b'"' => return index + 1,
            _ => {}
        }
        index += 1;
    }
    index
}

/// The raw value of a field of an object.
pub fn field<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    let text = object.as_bytes();
    let mut index = text.iter().position(|b| *b == b'{')? + 1;
    while index < text.len() {
        while index < text.len() && (text[index].is_ascii_whitespace() || text[index] == b',') {
            index += 1;
        }
        if index >= text.len() || text[index] != b'"' {
            return None;
        }
        let key_end = string_end(text, index);
        let key = &object[index + 1..key_end - 1];
        index = key_end;
        while text[index].is_ascii_whitespace() || text[index] == b':' {
            index += 1;
        }
        let end = value_end(text, index);
        if key == name {
            return Some(object[index..end].trim());
        }
        index = end;
    }
    None
}

/// The text of a field that is a string without escapes.
pub fn text<'a>(object: &'a str, name: &str) -> Option<&'a str> {
    field(object, name)?.strip_prefix('"')?.strip_suffix('"')
}

/// The number of a field.
pub fn number(object: &str, name: &str) -> Option<u64> {
    field(object, name)?.parse().ok()
}
