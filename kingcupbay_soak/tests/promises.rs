//! Checks that [`breaches`] reports each promise that is broken, and only that.

#![allow(clippy::unwrap_used)]

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use actix_http::Method;
use kingcupbay_soak::{
    operator::{CLUB, GUESTS, TIMEOUT_MS, WINERY, guest_key},
    promises::{Record, UpstreamRecord, breaches},
    sent::{Answer, End, Kind, Sent, TakenUp},
};
use kingcupbay_standin::{OrderIssuer, UpstreamRun};

/// Requests with their answers, and the record of one upstream.
struct Case {
    sent: Vec<Sent>,
    upstream: UpstreamRecord,
    sound: BTreeMap<u32, BTreeSet<usize>>,
    numbers: BTreeSet<u64>,
    start: Instant,
}

impl Case {
    fn new() -> Case {
        let upstream = UpstreamRecord {
            id: "desk-0".to_owned(),
            software: "v1".to_owned(),
            runs: vec![],
            orders: vec![],
            overloads: 0,
            overheated: 0,
        };
        Case {
            sent: vec![],
            upstream,
            sound: BTreeMap::from([(1, BTreeSet::new())]),
            numbers: BTreeSet::from([1, 2, 3]),
            start: Instant::now(),
        }
    }

    /// A booking that ran once and was answered.
    fn booked() -> Case {
        let mut case = Case::new();
        case.sends("a", Kind::Book, WINERY);
        case.runs("a");
        case.answers("a", 200);
        case
    }

    fn sends(&mut self, attempt: &str, kind: Kind, organisation: &'static str) -> &mut Sent {
        self.sent.push(Sent {
            attempt: attempt.to_owned(),
            kind,
            organisation,
            key: format!("{organisation}-key"),
            entry: 0,
            incarnation: 1,
            round: 1,
            path: "/book/1".to_owned(),
            body: "two seats".to_owned(),
            adapter: None,
            prompt: None,
            takes_up: None,
            received: 0,
            tokens: 1_000,
            at: self.start,
            lasted: Duration::from_millis(20),
            newest: 3,
            end: None,
        });
        self.sent.last_mut().unwrap()
    }

    fn runs(&mut self, attempt: &str) -> &mut UpstreamRun {
        let sent = self.sent.iter().find(|one| one.attempt == attempt).unwrap();
        let headers = BTreeMap::from([("x-tenant".to_owned(), sent.organisation.to_owned())]);
        self.upstream.runs.push(UpstreamRun {
            attempt: attempt.to_owned(),
            started: sent.at,
            method: Method::try_from(sent.kind.method().as_str()).unwrap(),
            headers,
            path: sent.path.clone(),
            body: sent.body.clone().into_bytes(),
            origin: 0,
            prefilled: 0,
        });
        self.upstream.runs.last_mut().unwrap()
    }

    fn answers(&mut self, attempt: &str, status: u16) -> &mut Answer {
        let sent = self.sent.iter_mut().find(|one| one.attempt == attempt).unwrap();
        let answer = Answer {
            status,
            stamp: Some(format!("stamp-of-{attempt}")),
            attempt: Some(attempt.to_owned()),
            returns: false,
            spoilt: false,
            body: "done by desk-0".to_owned(),
        };
        let End::Answered(answer) = sent.end.insert(End::Answered(answer)) else {
            unreachable!("the answer was just inserted")
        };
        answer
    }

    /// Adds a guest request with the key of configuration `number`.
    fn guest(&mut self, attempt: &str, number: u64, status: u16) {
        self.sends(attempt, Kind::Guest, GUESTS).key = guest_key(number);
        if status == 200 {
            self.runs(attempt);
        }
        self.answers(attempt, status);
    }

    fn broken_promises(&self) -> Vec<&'static str> {
        self.broken_promises_of(std::slice::from_ref(&self.upstream))
    }

    fn broken_promises_of(&self, upstreams: &[UpstreamRecord]) -> Vec<&'static str> {
        let record =
            Record { sent: &self.sent, upstreams, sound: &self.sound, numbers: &self.numbers };
        breaches(&record).into_iter().map(|breach| breach.promise).collect()
    }
}

#[test]
fn a_booking_that_ran_once_keeps_all() {
    assert_eq!(Case::booked().broken_promises(), Vec::<&str>::new());
}

#[test]
fn a_second_run_is_seen() {
    let mut case = Case::booked();
    case.runs("a");
    assert_eq!(case.broken_promises(), ["it runs at most so often"]);
}

#[test]
fn a_refusal_that_ran_is_seen() {
    let mut case = Case::booked();
    case.answers("a", 503);
    assert_eq!(case.broken_promises(), ["what is refused has not run"]);
}

#[test]
fn a_run_that_nobody_sent_is_seen() {
    let mut case = Case::booked();
    case.upstream.runs[0].attempt = "b".to_owned();
    let broken_promises = case.broken_promises();
    assert!(broken_promises.contains(&"nobody sent it"), "{broken_promises:?}");
}

#[test]
fn a_changed_request_is_seen() {
    let mut case = Case::booked();
    case.upstream.runs[0].body.push(b'!');
    assert_eq!(case.broken_promises(), ["the request is unchanged"]);
}

#[test]
fn a_key_that_is_passed_on_is_seen() {
    let mut case = Case::booked();
    case.upstream.runs[0].headers.insert("authorization".to_owned(), "Bearer k".to_owned());
    assert_eq!(case.broken_promises(), ["it runs for its key's organisation"]);
}

#[test]
fn an_answer_to_another_request_is_seen() {
    let mut case = Case::booked();
    case.answers("a", 200).attempt = Some("b".to_owned());
    assert_eq!(case.broken_promises(), ["a success is whole and its own"]);
}

#[test]
fn a_stream_with_an_event_twice_is_seen() {
    let mut case = Case::new();
    case.sends("a", Kind::Tour, WINERY);
    case.runs("a");
    case.answers("a", 200).body =
        (1..=20).map(|id| format!("id: {id}\ndata: event {id} of a\n\n")).collect();
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
    let twice = "id: 20\ndata: event 20 of a\n\n";
    case.answers("a", 200).body =
        (1..=20).map(|id| format!("id: {id}\ndata: event {id} of a\n\n")).collect::<String>()
            + twice;
    assert_eq!(case.broken_promises(), ["a success is whole and its own"]);
}

#[test]
fn a_stream_that_goes_on_at_another_software_is_seen() {
    let mut case = Case::new();
    case.sends("a", Kind::Tour, WINERY);
    case.runs("a");
    let first = TakenUp { first: "a".to_owned(), last: 3 };
    case.sends("b", Kind::Tour, WINERY).takes_up = Some(first);
    case.runs("b").headers.insert("last-event-id".to_owned(), "3".to_owned());
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
    let mut other = case.upstream.clone();
    other.software = "v2".to_owned();
    other.runs = vec![case.upstream.runs.pop().unwrap()];
    let upstreams = [case.upstream.clone(), other];
    assert_eq!(case.broken_promises_of(&upstreams), ["a stream keeps its software"]);
}

/// Guards against an answer that is cut although no upstream failed.
#[test]
fn a_request_that_is_cut_while_upstreams_are_sound_is_seen() {
    let mut case = Case::booked();
    case.sent[0].end = Some(End::Broken("early".to_owned()));
    assert_eq!(case.broken_promises(), ["sound upstreams lose nothing"]);
    case.sent[0].round = 2;
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
}

/// Guards against a stream that is ended in a silence of its engine.
#[test]
fn a_stream_that_ends_in_a_silence_is_seen() {
    let mut case = Case::new();
    case.sends("a", Kind::Tour, WINERY).received = 5;
    case.runs("a");
    case.sent[0].end = Some(End::Broken("early".to_owned()));
    assert_eq!(case.broken_promises(), ["sound upstreams lose nothing"]);
}

/// Guards against a failure in place of the answer of a silent upstream.
#[test]
fn a_failure_while_upstreams_are_sound_is_seen() {
    for (status, lost) in [(500, true), (502, true), (503, false), (504, true)] {
        let mut case = Case::new();
        case.sends("a", Kind::Seats, WINERY);
        case.answers("a", status);
        assert_eq!(!case.broken_promises().is_empty(), lost, "{status}");
    }
}

/// Guards against a connection that is closed in place of an answer or a refusal, where the
/// entry does not stop.
#[test]
fn a_request_that_gets_no_word_from_a_running_entry_is_seen() {
    let mut case = Case::new();
    case.sends("a", Kind::Seats, WINERY).end = Some(End::Broken("closed".to_owned()));
    assert_eq!(case.broken_promises(), ["sound upstreams lose nothing"]);
    case.sound.insert(1, BTreeSet::from([0]));
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
}

/// Guards against a request that nobody answers, not even at its deadline.
#[test]
fn a_request_without_an_answer_at_its_deadline_is_seen() {
    let mut case = Case::new();
    case.sends("a", Kind::Seats, WINERY).end = Some(End::Left);
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
    case.sent[0].lasted = Duration::from_millis(TIMEOUT_MS);
    assert_eq!(case.broken_promises(), ["sound upstreams lose nothing"]);
}

#[test]
fn a_configuration_that_goes_back_is_seen() {
    let mut case = Case::new();
    case.guest("a", 2, 200);
    case.guest("b", 3, 200);
    case.guest("c", 2, 401);
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
    case.guest("d", 2, 200);
    assert_eq!(case.broken_promises(), ["a configuration never goes back"]);
}

#[test]
fn a_key_that_dies_while_it_is_the_newest_is_seen() {
    let mut case = Case::new();
    case.guest("a", 3, 200);
    case.guest("b", 3, 401);
    assert_eq!(case.broken_promises(), ["a configuration never goes back"]);
}

#[test]
fn a_key_that_never_was_is_seen() {
    let mut case = Case::new();
    case.guest("a", 7, 200);
    assert_eq!(case.broken_promises(), ["an unknown key opens nothing"]);
}

#[test]
fn use_beyond_the_limit_is_seen() {
    let mut case = Case::new();
    for at in 0..80 {
        let attempt = format!("a{at}");
        case.sends(&attempt, Kind::Book, CLUB).at += Duration::from_millis(90 * at);
        case.runs(&attempt);
        case.answers(&attempt, 200);
        let allowed = at <= 69;
        assert_eq!(case.broken_promises().is_empty(), allowed, "{at}");
    }
}

#[test]
fn orders_out_of_order_are_seen() {
    let mut case = Case::new();
    let order = |holder: &str, fencing| OrderIssuer { holder: holder.to_owned(), fencing };
    case.upstream.orders = vec![order("h", 3), order("h", 3), order("h", 5)];
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
    case.upstream.orders.push(order("g", 4));
    case.upstream.overloads = 1;
    case.upstream.overheated = 1;
    assert_eq!(
        case.broken_promises(),
        [
            "no order beyond the places",
            "a cold engine gets its rate",
            "one host orders an engine",
            "fencing numbers never go back"
        ]
    );
}

#[test]
fn a_spoilt_answer_is_seen() {
    let mut case = Case::new();
    case.sends("a", Kind::Book, CLUB);
    case.runs("a");
    case.answers("a", 200);
    assert_eq!(case.broken_promises(), Vec::<&str>::new());
    case.answers("a", 200).spoilt = true;
    assert_eq!(case.broken_promises(), ["a spoilt answer reaches nobody"]);
}
