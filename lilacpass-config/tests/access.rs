//! Access tokens: hashing, verification, expiry, and invalidation of the cache by configuration changes.

mod common;

use lilacpass_config::access::{self, AccessError, TokenCache};
use lilacpass_core::ids::Revision;
use lilacpass_schema::v1::AccessToken;

const NOW_UNIX_S: u64 = 1_000_000;

/// Generates an operator token named `name` and its configuration entry.
fn operator_token(name: &str) -> (String, AccessToken) {
    let (text, token) = access::new_token(name);
    (text, AccessToken { role: "operator".to_owned(), ..token })
}

#[test]
fn only_the_generated_token_is_accepted() {
    let (anna, token) = operator_token("anna_b");
    let (other, _) = operator_token("anna_b");
    let tokens = [common::token("x", "operator", ""), token];
    assert!(anna.starts_with("lilac_anna_b_"));
    assert!(!format!("{tokens:?}").contains(&anna));
    assert_eq!(access::verify(&tokens, &anna, NOW_UNIX_S).unwrap().name, "anna_b");
    let too_long = format!("lilac_anna_b_{}", "0".repeat(500));
    for wrong in
        [other.as_str(), "", "lilac_", "lilac_anna_b_", "lilac_x_00", &anna[1..], &too_long]
    {
        assert_eq!(
            access::verify(&tokens, wrong, NOW_UNIX_S),
            Err(AccessError::Unknown),
            "{wrong}"
        );
    }
}

#[test]
fn hashing_a_token_twice_gives_different_hashes() {
    let hashes = [access::hash_token("lilac_a_0"), access::hash_token("lilac_a_0")];
    assert_ne!(hashes[0], hashes[1]);
    assert!(hashes.iter().all(|hash| hash.starts_with("$argon2id$v=19$")));
}

#[test]
fn a_token_expires_also_while_it_is_cached() {
    let (text, mut token) = operator_token("anna");
    token.expires_unix_s = NOW_UNIX_S + 1;
    let tokens = [token];
    let mut cache = TokenCache::new(4);
    let revision = Revision(7);
    assert!(cache.verify(revision, &tokens, &text, NOW_UNIX_S).is_ok());
    for now_unix_s in [NOW_UNIX_S + 1, NOW_UNIX_S + 2] {
        let uncached = access::verify(&tokens, &text, now_unix_s);
        assert_eq!(uncached, Err(AccessError::Expired));
        assert_eq!(cache.verify(revision, &tokens, &text, now_unix_s), uncached);
    }
}

/// Guards against a removed token, for example a leaked one, that stays valid until the cache evicts it. The cause
/// would be a cache that uses entries of an older configuration revision.
#[test]
fn a_removed_or_replaced_token_is_refused_though_it_was_cached() {
    let (text, token) = operator_token("anna");
    let (_, successor) = operator_token("anna");
    let mut cache = TokenCache::new(4);
    let tokens = [token];
    assert!(cache.verify(Revision(1), &tokens, &text, NOW_UNIX_S).is_ok());
    assert!(cache.lookup(Revision(1), &tokens, &text, NOW_UNIX_S).is_some());
    assert!(cache.lookup(Revision(2), &tokens, &text, NOW_UNIX_S).is_none());
    let unknown = Err(AccessError::Unknown);
    assert_eq!(cache.verify(Revision(2), &[successor], &text, NOW_UNIX_S), unknown);
    assert_eq!(cache.verify(Revision(2), &[], &text, NOW_UNIX_S), unknown);
}

#[test]
fn the_cache_is_bounded_and_stores_no_rejected_token() {
    let (text, token) = operator_token("anna");
    let tokens = [token];
    let mut cache = TokenCache::new(2);
    assert!(cache.verify(Revision(1), &tokens, "lilac_anna_00", NOW_UNIX_S).is_err());
    assert!(cache.is_empty());
    for i in 0..5 {
        cache.remember(Revision(1), &format!("{text}{i}"), "anna");
    }
    assert_eq!(cache.len(), 2);
    cache.remember(Revision(0), &text, "anna");
    assert!(cache.lookup(Revision(1), &tokens, &text, NOW_UNIX_S).is_none());
}
