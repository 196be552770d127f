//! How two holders that don't hear from each other divide a worker.
//!
//! C is what the worker has. The old holder, past its lease, starts work only while its own total
//! stays within half of C, rounded down; so at any time it has no more than the greater of that
//! half and of what the claimant found there. The claimant leaves just that alone. The sum stays
//! within C whatever either side does. An odd unit, such as a single accelerator, is the
//! claimant's, once the old holder is found not to use it: a crashed holder is far more common
//! than a lone one that is cut off. A task larger than a half waits until the claim is cleared.

use lilacpass_core::Resources;

/// What a holder past its lease may give in all, tasks that it adopted among it.
pub fn escrow(worker: &Resources) -> Resources {
    worker.half()
}

/// What a claimant that is not cleared may give in all, where a report shows `others` running that
/// it did not itself start; the limit counts these too.
pub fn claimed(worker: &Resources, others: &Resources) -> Resources {
    let left_alone = others.max(&escrow(worker));
    worker.minus(&left_alone).plus(others)
}

/// What a holder that took over from such a claimant may give in all. It can't tell whose the
/// tasks are that it finds, so it takes them all for its predecessor's and leaves the old holder's
/// half alone besides.
pub fn inherited(worker: &Resources) -> Resources {
    worker.minus(&escrow(worker))
}
