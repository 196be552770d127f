//! How an instance spaces out the desired states that it hands to others.

use lilacpass_core::size::{Bytes, BytesPerSecond};
use lilacpass_node::desired_relay::Pacing;

const STATE: Bytes = Bytes(800_000);
const THIN: BytesPerSecond = BytesPerSecond(1_250_000);

/// A data centre is cut off from the store, and all its instances ask the one that they hear for the desired state
/// at the same time. Sent to all at once, it would fill that one's link for ten seconds, and its answers to
/// greetings would come too late.
#[test]
fn desired_states_fill_half_of_a_thin_link() {
    let pacing = Pacing::default();
    assert_eq!(pacing.take(STATE, THIN, 1_000), None);
    assert_eq!(pacing.take(STATE, THIN, 1_000), Some(1_280));
    assert_eq!(pacing.take(STATE, THIN, 2_000), Some(280));
    assert_eq!(pacing.take(STATE, THIN, 2_280), None);
}

#[test]
fn a_link_of_which_nothing_is_known_is_not_spared() {
    let pacing = Pacing::default();
    assert_eq!(pacing.take(STATE, BytesPerSecond(0), 1_000), None);
    assert_eq!(pacing.take(STATE, BytesPerSecond(0), 1_000), None);
}
