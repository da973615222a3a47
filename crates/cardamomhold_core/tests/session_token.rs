//! Session tokens: encoding, merging and rejection of invalid tokens.

use cardamomhold_core::name;
use cardamomhold_core::position;
use cardamomhold_core::token;
use proptest::prelude::*;

fn secret() -> token::TokenSecret {
    token::TokenSecret::new(b"test secret")
}

fn token_of(group: &str, term: u64, log: u64) -> token::SessionToken {
    let mut token = token::SessionToken::default();
    let group = name::GroupName::parse(group).expect("valid name");
    let position = position::Position::new(position::Term(term), position::LogPosition(log));
    token.observe(&group, position).expect("token has room");
    token
}

#[test]
fn rejects_other_secret() {
    let text = token_of("bookings", 2, 9).encode(&token::TokenSecret::new(b"other"));
    let error = token::SessionToken::decode(&text, &secret());
    assert_eq!(error, Err(token::TokenError::BadSignature));
}

#[test]
fn rejects_long_text() {
    let text = "v1;".to_owned() + &"x".repeat(token::MAX_TOKEN_LEN);
    let error = token::SessionToken::decode(&text, &secret());
    assert_eq!(error, Err(token::TokenError::TooLong(text.len())));
}

#[test]
fn rejects_seventeenth_group() {
    let mut token = token::SessionToken::default();
    for i in 0..token::MAX_TOKEN_GROUPS {
        token
            .merge(&token_of(&format!("g{i}"), 1, 1))
            .expect("token has room");
    }
    let error = token.merge(&token_of("one-more", 1, 1));
    assert_eq!(error, Err(token::TokenError::TooManyGroups));
}

proptest! {
    #[test]
    fn decodes_encoded_token(term in 0u64..1 << 40, log in any::<u64>()) {
        let token = token_of("bookings", term, log);
        let text = token.encode(&secret());
        prop_assert_eq!(token::SessionToken::decode(&text, &secret()), Ok(token));
    }

    #[test]
    fn rejects_changed_byte(log in 0u64..1000, index in 0usize..40, byte in 0x20u8..0x7f) {
        let text = token_of("bookings", 7, log).encode(&secret());
        let mut bytes = text.clone().into_bytes();
        let index = index % bytes.len();
        prop_assume!(bytes[index] != byte);
        bytes[index] = byte;
        let changed = String::from_utf8(bytes).expect("ascii");
        prop_assert!(token::SessionToken::decode(&changed, &secret()).is_err());
    }

    #[test]
    fn rejects_truncated_token(log in 0u64..1000, length in 0usize..1000) {
        let text = token_of("bookings", 7, log).encode(&secret());
        let truncated = &text[..length % text.len()];
        prop_assert!(token::SessionToken::decode(truncated, &secret()).is_err());
    }

    #[test]
    fn merge_never_lowers(a in (0u64..9, 0u64..99), b in (0u64..9, 0u64..99)) {
        let mut merged = token_of("g", a.0, a.1);
        merged.merge(&token_of("g", b.0, b.1)).expect("token has room");
        let expected = a.max(b);
        let position = merged.position("g").expect("group in token");
        prop_assert_eq!((position.term.0, position.log.0), expected);
    }
}
