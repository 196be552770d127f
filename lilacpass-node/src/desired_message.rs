//! The message in which instances pass on the desired state. It holds digests of the API keys, so that no key leaves
//! the instance that read it from the store.

use lilacpass_core::KeyDigest;
use lilacpass_platform::{
    accounts::Accounts,
    desired::{Desired, Limits, Queue},
};
use lilacpass_schema::v1;

/// Encodes a desired state.
pub fn encode(desired: &Desired) -> v1::DesiredState {
    let accounts = desired.accounts.as_ref();
    v1::DesiredState {
        version: desired.version,
        queues: desired.queues.iter().map(encode_queue).collect(),
        limits: Some(encode_limits(desired.limits)),
        lists_accounts: accounts.is_some(),
        accounts: accounts.map(encode_accounts).unwrap_or_default(),
    }
}

fn encode_queue(queue: &Queue) -> v1::DesiredQueue {
    v1::DesiredQueue {
        host: queue.host.clone(),
        path_prefix: queue.path_prefix.clone(),
        timeout_ms: queue.timeout_ms,
        public: queue.is_public,
        policy: Some(queue.policy.clone()),
    }
}

fn encode_limits(limits: Limits) -> v1::DesiredLimits {
    v1::DesiredLimits {
        header_bytes: limits.header_bytes as u64,
        body_bytes: limits.body_bytes as u64,
        header_timeout_ms: limits.header_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
    }
}

fn encode_accounts(accounts: &Accounts) -> Vec<v1::DesiredAccount> {
    let policies = accounts.policies().iter().cloned();
    let account = |(policy, keys): (v1::AccountPolicy, Vec<KeyDigest>)| v1::DesiredAccount {
        policy: Some(policy),
        key_digests: keys.iter().map(|key| key.as_bytes().to_vec()).collect(),
    };
    policies.zip(accounts.keys_by_account()).map(account).collect()
}

/// Decodes a desired state. A part that is missing counts as left out.
pub fn decode(state: v1::DesiredState) -> Desired {
    let accounts = state.lists_accounts.then(|| decode_accounts(state.accounts));
    Desired {
        version: state.version,
        queues: state.queues.into_iter().filter_map(decode_queue).collect(),
        accounts,
        limits: state.limits.map(decode_limits).unwrap_or_default(),
    }
}

fn decode_queue(queue: v1::DesiredQueue) -> Option<Queue> {
    Some(Queue {
        host: queue.host,
        path_prefix: queue.path_prefix,
        timeout_ms: queue.timeout_ms,
        is_public: queue.public,
        policy: queue.policy?,
    })
}

fn decode_limits(limits: v1::DesiredLimits) -> Limits {
    Limits {
        header_bytes: limits.header_bytes as usize,
        body_bytes: limits.body_bytes as usize,
        header_timeout_ms: limits.header_timeout_ms,
        idle_timeout_ms: limits.idle_timeout_ms,
    }
}

fn decode_accounts(listed: Vec<v1::DesiredAccount>) -> Accounts {
    let mut accounts = Accounts::default();
    for account in listed {
        let Some(policy) = account.policy else { continue };
        let keys = account.key_digests.iter().filter_map(|bytes| KeyDigest::from_bytes(bytes));
        accounts.add(policy, keys);
    }
    accounts
}
