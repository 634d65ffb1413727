//! What an admitted request holds.

use super::{Permit, Slot};

/// The account's slot and the service's permit of an admitted request, held until its end.
#[derive(Debug)]
pub(crate) struct Permits {
    _slot: Slot,
    _permit: Permit,
}

impl Permits {
    pub(crate) fn new(slot: Slot, permit: Permit) -> Permits {
        Permits {
            _slot: slot,
            _permit: permit,
        }
    }
}
