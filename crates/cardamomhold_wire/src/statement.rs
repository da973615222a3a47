//! Classifies statements by their first words.
//!
//! The tokens come from `sqlparser`. Only statements that the proxy must answer, refuse or
//! route itself have a class of their own.

use sqlparser::dialect;
use sqlparser::tokenizer;

/// How the proxy handles a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Class {
    /// Runs without special handling.
    Plain,
    /// Starts a transaction.
    Begin {
        /// Whether it is declared read-only.
        read_only: bool,
    },
    /// Commits or rolls back the transaction.
    End,
    /// Sets a session parameter.
    Set(Setting),
    /// Shows one of the proxy's own parameters.
    Show(String),
    /// COPY in either direction.
    Copy,
    /// LISTEN, UNLISTEN or NOTIFY.
    Listen,
    /// A text that can't be tokenized and may contain several statements.
    Opaque,
    /// Leaves state on the connection that a pool can't preserve; with the statement's name.
    SessionState(&'static str),
}

/// A `SET name = value` or a `RESET name`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Lower-case name, with its prefix.
    pub name: String,
    /// The value without quotes; `None` for DEFAULT and RESET.
    pub value: Option<String>,
    /// Whether the statement is `SET LOCAL`, which applies to the transaction only.
    pub local: bool,
}

/// Classifies the first statement of a text; a text that can't be tokenized is plain.
pub fn classify(text: &str) -> Class {
    let first = first_word(text);
    if !is_special(first) {
        return Class::Plain;
    }
    let words = words(text);
    let Some(first) = words.first() else {
        return Class::Plain;
    };
    match upper(first).as_str() {
        "BEGIN" => Class::Begin {
            read_only: has_pair(&words, "READ", "ONLY"),
        },
        "START" => Class::Begin {
            read_only: has_pair(&words, "READ", "ONLY"),
        },
        "COMMIT" | "END" | "ROLLBACK" | "ABORT" => end(&words),
        "SET" => set(&words[1..]),
        "RESET" => reset(&words[1..]),
        "SHOW" => show(&words[1..]),
        "COPY" => Class::Copy,
        "LISTEN" | "UNLISTEN" | "NOTIFY" => Class::Listen,
        "PREPARE" if words.get(1).map(upper).as_deref() != Some("TRANSACTION") => {
            Class::SessionState("PREPARE")
        }
        "DEALLOCATE" => Class::SessionState("DEALLOCATE"),
        "DISCARD" => Class::SessionState("DISCARD"),
        "LOAD" => Class::SessionState("LOAD"),
        _ => Class::Plain,
    }
}

fn first_word(text: &str) -> &str {
    let text = text.trim_start();
    let end = text
        .find(|c: char| !c.is_ascii_alphabetic())
        .unwrap_or(text.len());
    &text[..end]
}

fn is_special(word: &str) -> bool {
    if word.is_empty() {
        return true;
    }
    let special = [
        "BEGIN",
        "START",
        "COMMIT",
        "END",
        "ROLLBACK",
        "ABORT",
        "SET",
        "RESET",
        "SHOW",
        "COPY",
        "LISTEN",
        "UNLISTEN",
        "NOTIFY",
        "PREPARE",
        "DEALLOCATE",
        "DISCARD",
        "LOAD",
    ];
    special.iter().any(|s| s.eq_ignore_ascii_case(word))
}

fn words(text: &str) -> Vec<tokenizer::Token> {
    let dialect = dialect::PostgreSqlDialect {};
    let Ok(tokens) = tokenizer::Tokenizer::new(&dialect, text).tokenize() else {
        return Vec::new();
    };
    let mut words = Vec::new();
    for token in tokens {
        match token {
            tokenizer::Token::Whitespace(_) => continue,
            tokenizer::Token::SemiColon if words.is_empty() => continue,
            tokenizer::Token::SemiColon => break,
            token => words.push(token),
        }
    }
    words
}

fn upper(token: &tokenizer::Token) -> String {
    token.to_string().to_ascii_uppercase()
}

fn has_pair(words: &[tokenizer::Token], first: &str, second: &str) -> bool {
    words
        .windows(2)
        .any(|pair| upper(&pair[0]) == first && upper(&pair[1]) == second)
}

/// Classifies a statement that starts with COMMIT, END, ROLLBACK or ABORT. A rollback to a
/// savepoint and the end of a prepared transaction don't end the open one. AND CHAIN is not
/// supported: the transaction that it starts would run without the guard that records a request
/// key.
fn end(words: &[tokenizer::Token]) -> Class {
    if has_pair(words, "AND", "CHAIN") {
        return Class::SessionState("AND CHAIN");
    }
    let stays_open = words.iter().any(|w| {
        let word = upper(w);
        word == "TO" || word == "PREPARED"
    });
    if stays_open { Class::Plain } else { Class::End }
}

/// Whether a statement would allow writes in a declared read.
pub fn allows_writes(text: &str) -> bool {
    let first = first_word(text);
    if !is_special(first) {
        return false;
    }
    match classify(text) {
        Class::Set(setting) => setting.name.ends_with("transaction_read_only"),
        _ => has_pair(&words(text), "READ", "WRITE"),
    }
}

fn set(words: &[tokenizer::Token]) -> Class {
    let (local, words) = match words.first().map(upper).as_deref() {
        Some("LOCAL") => (true, &words[1..]),
        Some("SESSION") => (false, &words[1..]),
        _ => (false, words),
    };
    if let Some(form) = words.first().and_then(unsupported_set) {
        return Class::SessionState(form);
    }
    let Some(operator) = words.iter().position(is_assignment) else {
        return Class::Plain;
    };
    let name = concat(&words[..operator]).to_ascii_lowercase();
    let value = concat(&words[operator + 1..]);
    let value = if value.eq_ignore_ascii_case("default") {
        None
    } else {
        Some(value)
    };
    Class::Set(Setting { name, value, local })
}

/// Returns the name of a form of SET that is not supported: it names no parameter, and a pool
/// can't preserve the state that it sets.
fn unsupported_set(word: &tokenizer::Token) -> Option<&'static str> {
    match upper(word).as_str() {
        "ROLE" => Some("SET ROLE"),
        "AUTHORIZATION" => Some("SET SESSION AUTHORIZATION"),
        "CHARACTERISTICS" => Some("SET SESSION CHARACTERISTICS"),
        "TIME" => Some("SET TIME ZONE"),
        "NAMES" => Some("SET NAMES"),
        _ => None,
    }
}

fn reset(words: &[tokenizer::Token]) -> Class {
    let name = concat(words).to_ascii_lowercase();
    Class::Set(Setting {
        name,
        value: None,
        local: false,
    })
}

fn show(words: &[tokenizer::Token]) -> Class {
    let name = concat(words).to_ascii_lowercase();
    if name.starts_with(crate::param::PREFIX) {
        Class::Show(name)
    } else {
        Class::Plain
    }
}

fn is_assignment(token: &tokenizer::Token) -> bool {
    matches!(token, tokenizer::Token::Eq) || upper(token) == "TO"
}

fn concat(words: &[tokenizer::Token]) -> String {
    let mut text = String::new();
    for word in words {
        match word {
            tokenizer::Token::SingleQuotedString(s) => text.push_str(s),
            other => text.push_str(&other.to_string()),
        }
    }
    text
}

/// One statement of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Statement {
    /// How the proxy handles it.
    pub class: Class,
    /// Its text, without the semicolon.
    pub text: String,
}

/// Classifies every statement of a text.
pub fn classify_all(text: &str) -> Vec<Statement> {
    let mut statements = Vec::new();
    let parts = split(text);
    let is_opaque = parts.len() == 1 && parts[0].contains(';') && words(text).is_empty();
    for text in parts {
        let class = if is_opaque {
            Class::Opaque
        } else {
            classify(&text)
        };
        statements.push(Statement { class, text });
    }
    statements
}

/// Splits a text at its top-level semicolons; empty statements are left out.
pub fn split(text: &str) -> Vec<String> {
    if !text.contains(';') {
        let is_empty = text.trim().is_empty();
        return if is_empty {
            Vec::new()
        } else {
            vec![text.to_owned()]
        };
    }
    let dialect = dialect::PostgreSqlDialect {};
    let Ok(tokens) = tokenizer::Tokenizer::new(&dialect, text)
        .with_unescape(false)
        .tokenize()
    else {
        return vec![text.to_owned()];
    };
    let mut statements = Vec::new();
    let mut current = String::new();
    for token in tokens {
        if token == tokenizer::Token::SemiColon {
            statements.push(std::mem::take(&mut current));
            continue;
        }
        if matches!(token, tokenizer::Token::Whitespace(_)) {
            // A comment's token lacks the newline that ends it, so a space replaces comments too.
            current.push(' ');
            continue;
        }
        current.push_str(&token.to_string());
    }
    statements.push(current);
    statements.retain(|s| !s.trim().is_empty());
    statements
}
