//! Callers, each with a connection that it reuses as long as possible.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::header::{self, HeaderMap};
use kingcupbay_core::random::Random;
use kingcupbay_standin::{CallerRequest, attempt_and_signature};
use kingcupbayd::{Link, LinkError};

use crate::{
    fleet::Fleet,
    operator::{CLUB, GUESTS, TIMEOUT_MS, WINERY, guest_key, permanent_key},
    proxy::SPOILT_FIELD,
    sent::{Answer, End, Kind, Sent, TakenUp},
};

/// Adapters that callers name: more than two engines have slots for, so that
/// adapters are loaded and evicted while the third engine is away.
pub const ADAPTERS: [&str; 7] =
    ["roses", "tulips", "irises", "asters", "lilies", "violets", "peonies"];

/// Time that a caller waits past its deadline, so that it sees a late answer.
const EXTRA_WAIT: Duration = Duration::from_secs(4);

/// Share of the ordinary requests whose caller leaves early.
const LEAVERS_PERCENT: u64 = 5;

/// Most requests that take up one broken stream.
const TAKE_UPS_MAX: usize = 3;

/// Prompt and output tokens of a request of [`CLUB`].
const CLUB_TOKENS: (u64, u64) = (700, 300);

/// Prompt and output tokens of any other request.
const TOKENS: (u64, u64) = (60, 40);

/// State shared by all callers.
pub struct Context {
    /// The fleet that they send requests to.
    pub fleet: Fleet,
    /// Requests in the order in which they were sent.
    pub sent: RefCell<Vec<Sent>>,
    /// Current round; 0 between rounds.
    pub round: Cell<u32>,
    /// Set at the end of the run: callers send no further requests.
    pub finished: Cell<bool>,
}

/// One caller.
pub struct Caller {
    context: Rc<Context>,
    name: String,
    /// The connection of the last request, if it can carry another.
    link: Option<Link>,
    random: Random,
    /// Index of the entry that it calls; the next one after a failure.
    entry: usize,
}

/// Description of a request to send.
#[derive(Clone, Debug)]
pub struct Spec {
    /// The kind of request.
    pub kind: Kind,
    /// The organisation whose key it carries.
    pub organisation: &'static str,
    /// The access key.
    pub key: String,
    /// Time after which the caller gives up.
    pub leave_after: Duration,
    /// Adapter of a stream; drawn at random if `None`.
    pub adapter: Option<&'static str>,
    /// The broken stream that it takes up.
    pub takes_up: Option<Sent>,
    /// A further part of the prompt of a stream.
    pub part: Option<String>,
    /// The prompt of a stream whose tries are alike but for their attempts.
    pub same: Option<String>,
}

impl Spec {
    /// A request of [`WINERY`] whose caller waits for the answer.
    pub fn new(kind: Kind) -> Spec {
        Spec {
            kind,
            organisation: WINERY,
            key: permanent_key(WINERY),
            leave_after: Duration::from_millis(TIMEOUT_MS) + EXTRA_WAIT,
            adapter: None,
            takes_up: None,
            part: None,
            same: None,
        }
    }

    /// A request of [`GUESTS`] with the key of configuration `number`.
    pub fn guest(number: u64) -> Spec {
        Spec { organisation: GUESTS, key: guest_key(number), ..Spec::new(Kind::Guest) }
    }

    fn club() -> Spec {
        Spec { organisation: CLUB, key: permanent_key(CLUB), ..Spec::new(Kind::Seats) }
    }
}

impl Caller {
    /// Creates a caller that first calls `entry`.
    pub fn new(context: &Rc<Context>, name: &str, entry: usize, seed: u64) -> Caller {
        Caller {
            context: context.clone(),
            name: name.to_owned(),
            link: None,
            random: Random::new(seed),
            entry,
        }
    }

    /// Sends requests of all ordinary kinds until the run ends.
    pub async fn send_ordinary_requests(mut self) {
        while !self.context.finished.get() {
            let kind = Kind::ORDINARY[self.random.below(4) as usize];
            let mut spec = Spec::new(kind);
            if self.random.below(100) < LEAVERS_PERCENT {
                spec.leave_after = Duration::from_millis(5 + self.random.below(150));
            }
            let mut sent = self.send(spec).await;
            self.change_entry_after_failure(&sent);
            for _ in 0..TAKE_UPS_MAX {
                self.sleep_between(5, 40).await;
                if sent.kind != Kind::Tour || !sent.is_broken_stream() {
                    break;
                }
                sent = self.send(Spec { takes_up: Some(sent), ..Spec::new(Kind::Tour) }).await;
                self.change_entry_after_failure(&sent);
            }
        }
    }

    /// Sends more requests of [`CLUB`] than its limit allows, until the run ends.
    pub async fn exceed_limit(mut self) {
        while !self.context.finished.get() {
            let sent = self.send(Spec::club()).await;
            self.change_entry_after_failure(&sent);
            self.sleep_between(20, 60).await;
        }
    }

    /// Sends requests with the [`GUESTS`] keys of the newest and of older
    /// configurations to one entry, one at a time, until the run ends.
    pub async fn check_guest_keys(mut self) {
        while !self.context.finished.get() {
            let newest = self.context.fleet.operator.number();
            let number = newest.saturating_sub(self.random.below(4)).max(1);
            self.send(Spec::guest(number)).await;
            self.sleep_between(10, 30).await;
        }
    }

    /// Sends one request, waits for its end and records both.
    pub async fn send(&mut self, spec: Spec) -> Sent {
        let context = self.context.clone();
        let sent = self.record(&spec);
        let index = {
            let mut all = context.sent.borrow_mut();
            all.push(sent.clone());
            all.len() - 1
        };
        let received = Cell::new(sent.received);
        let exchange = self.exchange(&sent, &received);
        let end = tokio::time::timeout(spec.leave_after, exchange).await.unwrap_or(End::Left);
        let ended = &mut context.sent.borrow_mut()[index];
        ended.received = received.get();
        ended.lasted = ended.at.elapsed();
        ended.newest = context.fleet.operator.number();
        ended.end = Some(end);
        ended.clone()
    }

    /// Sends a resumable stream request ([`Kind::Tour`]) for `adapter`.
    pub async fn send_stream(&mut self, adapter: &'static str) -> Sent {
        self.send(Spec { adapter: Some(adapter), ..Spec::new(Kind::Tour) }).await
    }

    fn record(&mut self, spec: &Spec) -> Sent {
        let context = &self.context;
        let (prompt, output) = token_counts(spec.organisation);
        let at = context.sent.borrow().len();
        let kind = spec.kind;
        let any = ADAPTERS[self.random.below(ADAPTERS.len() as u64) as usize];
        let adapter = spec.adapter.unwrap_or(any);
        let host = &context.fleet.entries[self.entry];
        Sent {
            attempt: format!("{}-{at}", self.name),
            kind,
            organisation: spec.organisation,
            key: spec.key.clone(),
            entry: self.entry,
            incarnation: host.daemon.borrow().incarnation(),
            round: context.round.get(),
            path: match &spec.same {
                Some(_) => kind.prefix().to_owned(),
                None => format!("{}{}?at={at}", kind.prefix(), self.random.below(1_000)),
            },
            body: match kind {
                _ if spec.same.is_some() => "the same".to_owned(),
                Kind::Seats | Kind::Guest => String::new(),
                _ => format!("{} {at}", "x".repeat(self.random.below(6_000) as usize)),
            },
            adapter: match &spec.takes_up {
                Some(broken) => broken.adapter.clone(),
                None => kind.streams().then(|| adapter.to_owned()),
            },
            takes_up: spec.takes_up.as_ref().map(|broken| TakenUp {
                first: broken.first_attempt().to_owned(),
                last: broken.received,
            }),
            prompt: kind.streams().then(|| {
                spec.same.clone().unwrap_or_else(|| prompt_parts(spec.part.as_deref(), at))
            }),
            received: spec.takes_up.as_ref().map_or(0, |broken| broken.received),
            tokens: prompt + output,
            at: Instant::now(),
            lasted: Duration::ZERO,
            newest: 0,
            end: None,
        }
    }

    async fn exchange(&mut self, sent: &Sent, received: &Cell<u64>) -> End {
        let kept = self.link.take().filter(Link::is_clean);
        let link = match kept {
            Some(link) => Ok(link),
            None => match self.context.fleet.entries[sent.entry].caller_address() {
                Some(address) => Link::open(address).await,
                None => return End::Unsent,
            },
        };
        let Ok(mut link) = link else { return End::Unsent };
        match exchange_whole(&mut link, sent, received).await {
            Ok(answer) => {
                self.link = Some(link).filter(Link::is_reusable);
                End::Answered(answer)
            }
            Err(error) => End::Broken(error.to_string()),
        }
    }

    /// Switches to the next entry after a failure, as the balancer does with a
    /// caller's next connection.
    fn change_entry_after_failure(&mut self, sent: &Sent) {
        if matches!(sent.end, Some(End::Broken(_) | End::Unsent)) {
            self.entry = (self.entry + 1) % self.context.fleet.entries.len();
        }
    }

    async fn sleep_between(&mut self, low: u64, high: u64) {
        let time = low + self.random.below(high - low + 1);
        tokio::time::sleep(Duration::from_millis(time)).await;
    }
}

/// Sends one request and reads its whole answer. Sets `received` to the last whole event of a
/// stream.
async fn exchange_whole(
    link: &mut Link,
    sent: &Sent,
    received: &Cell<u64>,
) -> Result<Answer, LinkError> {
    let body = sent.body.as_bytes();
    let head = link.exchange(sent.kind.method(), &sent.path, headers(sent), body).await?;
    let mut bytes = Vec::new();
    while let Some(chunk) = link.chunk().await? {
        bytes.extend_from_slice(&chunk);
        if sent.kind.streams() && head.status.is_success() {
            received.set(last_event(&bytes).unwrap_or(received.get()));
        }
    }
    let (attempt, signature) = attempt_and_signature(&head.headers);
    Ok(Answer {
        status: head.status.as_u16(),
        stamp: signature,
        attempt,
        returns: head.headers.contains_key(header::RETRY_AFTER),
        spoilt: head.headers.contains_key(SPOILT_FIELD),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

/// Returns the parts of the prompt of request `at`: a shared one, `part` if there is one, and its
/// own.
fn prompt_parts(part: Option<&str>, at: usize) -> String {
    let part = part.map(|part| format!("{part}:20,")).unwrap_or_default();
    format!("5c1e07a2:20,{part}{at:x}ff:20")
}

/// Returns the number of the last whole event in `bytes`.
fn last_event(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (whole, _) = text.rsplit_once("\n\n")?;
    whole.lines().rev().find_map(|line| line.strip_prefix("id: ")?.parse().ok())
}

fn headers(sent: &Sent) -> HeaderMap {
    let request = CallerRequest {
        attempt: &sent.attempt,
        key: &sent.key,
        deadline: TIMEOUT_MS,
        tokens: token_counts(sent.organisation),
        adapter: sent.adapter.as_deref(),
        prompt: sent.prompt.as_deref(),
        takes_up: sent.takes_up.as_ref().map(|stream| (stream.first.as_str(), stream.last)),
    };
    request.headers()
}

fn token_counts(organisation: &str) -> (u64, u64) {
    if organisation == CLUB { CLUB_TOKENS } else { TOKENS }
}
