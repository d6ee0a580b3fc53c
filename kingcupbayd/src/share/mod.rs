//! Admission of requests within the organisation's rate and burst.

use std::rc::Rc;

use kingcupbay_core::{id::OrganisationId, wire::error::Failure};

use crate::fleet::Fleet;

/// This entry's shares of every organisation.
pub(crate) struct Shares {
    _fleet: Rc<Fleet>,
}

/// Tokens set aside for one request; the drop gives back what was not used.
pub(crate) struct Reservation {
    used: u64,
}

impl Shares {
    /// Shares under the configuration of `fleet`.
    pub(crate) fn new(fleet: Rc<Fleet>) -> Shares {
        Shares { _fleet: fleet }
    }

    /// Sets `tokens` aside for a request of `organisation`, or refuses it.
    pub(crate) async fn reserve(
        self: &Rc<Shares>,
        _organisation: OrganisationId,
        _tokens: u64,
    ) -> Result<Reservation, Failure> {
        Ok(Reservation { used: 0 })
    }
}

impl Reservation {
    /// Says how many tokens were used so far.
    pub(crate) fn used(&mut self, tokens: u64) {
        self.used = tokens;
    }
}
