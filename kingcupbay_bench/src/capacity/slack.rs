//! Measures the message about rate shares that each entry sends to each other one
//! twice a second.

use kingcupbay_core::{
    id::{Id, Number, OrganisationId},
    share::{
        amount::Amount,
        bucket::Share,
        message::{Envelope, Message, Slack},
        plan::Holder,
    },
};

use super::{Figures, Table, measure::mean_cpu_micros};

pub(super) const TABLE: Table = Table {
    title: "slack of rate shares, by organisations with demand",
    sizes: [5, 100, 500],
    names: &["one message of slack, bytes", "message encoded and decoded, us"],
};

/// Number of messages that are timed.
const TIMED_MESSAGES: u32 = 1_000;

fn message(organisations: u32) -> Vec<Envelope> {
    let slack = |organisation: u32| Slack {
        organisation: OrganisationId::from_raw(organisation),
        demand: 1_900,
        share: Share {
            rate: 50 + u64::from(organisation),
            capacity: Amount::from_tokens(1_500),
            level: Amount::from_tokens(u64::from(organisation) + 700),
        },
    };
    let message = Message::Slack((0..organisations).map(slack).collect());
    let (from, to) = (Holder(u64::MAX / 3), Holder(u64::MAX / 5));
    vec![Envelope { from, to, epoch: Number(1_000), message }]
}

/// Measures the figures of [`TABLE`].
pub(super) fn figures(organisations: u32) -> Figures {
    let message = message(organisations);
    let bytes = rmp_serde::to_vec(&message).expect("envelopes serialise");
    let spent = mean_cpu_micros(TIMED_MESSAGES, |_| {
        let bytes = rmp_serde::to_vec(&message).expect("envelopes serialise");
        rmp_serde::from_slice::<Vec<Envelope>>(&bytes).expect("it was encoded here")
    });
    vec![bytes.len() as f64, spent]
}
