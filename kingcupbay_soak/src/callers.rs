//! Callers, each with a connection that it keeps as long as it can.

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
    operator::{CLUB, GUESTS, TIMEOUT, WINERY, guest_key, lasting_key},
    sent::{Answer, End, Kind, Sent},
};

/// The adapters that callers name: more than two engines have places for, so that
/// they come and go when the third is away.
pub const ADAPTERS: [&str; 7] =
    ["roses", "tulips", "irises", "asters", "lilies", "violets", "peonies"];

/// A caller waits this much longer than it says, so that it sees a late answer.
const SPARE: Duration = Duration::from_secs(4);

/// Part of the requests, in percent, whose caller leaves soon.
const LEAVERS: u64 = 5;

/// Prompt and output tokens of the club's requests.
const CLUB_TOKENS: (u64, u64) = (700, 300);

/// Prompt and output tokens of the other requests.
const TOKENS: (u64, u64) = (60, 40);

/// Everything that callers share.
pub struct Office {
    /// The fleet that they call.
    pub fleet: Fleet,
    /// What they sent, in that order.
    pub sent: RefCell<Vec<Sent>>,
    /// The round of faults.
    pub round: Cell<u32>,
    /// They send nothing new.
    pub over: Cell<bool>,
}

/// One caller.
pub struct Caller {
    office: Rc<Office>,
    name: String,
    /// The connection of the last request, if it can carry another.
    link: Option<Link>,
    random: Random,
    /// The entry that it calls; the next one after a failure.
    entry: usize,
}

/// What a caller asks for.
#[derive(Clone, Debug)]
pub struct Wish {
    /// The kind of request.
    pub kind: Kind,
    /// Whose key it carries.
    pub organisation: &'static str,
    /// The key.
    pub key: String,
    /// When the caller leaves.
    pub patience: Duration,
    /// The adapter of a stream; any if it is `None`.
    pub adapter: Option<&'static str>,
}

impl Wish {
    /// A request of the winery that is waited for.
    pub fn new(kind: Kind) -> Wish {
        Wish {
            kind,
            organisation: WINERY,
            key: lasting_key(WINERY),
            patience: Duration::from_millis(TIMEOUT) + SPARE,
            adapter: None,
        }
    }

    /// A request with the guests' key of configuration `number`.
    pub fn guest(number: u64) -> Wish {
        Wish { organisation: GUESTS, key: guest_key(number), ..Wish::new(Kind::Guest) }
    }

    fn club() -> Wish {
        Wish { organisation: CLUB, key: lasting_key(CLUB), ..Wish::new(Kind::Seats) }
    }
}

impl Caller {
    /// A caller that begins with `entry`.
    pub fn new(office: &Rc<Office>, name: &str, entry: usize, seed: u64) -> Caller {
        Caller {
            office: office.clone(),
            name: name.to_owned(),
            link: None,
            random: Random::new(seed),
            entry,
        }
    }

    /// Sends requests of all ordinary kinds until it is told to stop.
    pub async fn roam(mut self) {
        while !self.office.over.get() {
            let kind = Kind::ORDINARY[self.random.below(4) as usize];
            let mut wish = Wish::new(kind);
            if self.random.below(100) < LEAVERS {
                wish.patience = Duration::from_millis(5 + self.random.below(150));
            }
            let sent = self.ask(wish).await;
            self.move_on(&sent);
            self.pause(5, 40).await;
        }
    }

    /// Sends more of the club's requests than its limit allows.
    pub async fn press(mut self) {
        while !self.office.over.get() {
            let sent = self.ask(Wish::club()).await;
            self.move_on(&sent);
            self.pause(20, 60).await;
        }
    }

    /// Sends the guests' keys of the newest and of older configurations to one
    /// entry, one at a time.
    pub async fn watch(mut self) {
        while !self.office.over.get() {
            let newest = self.office.fleet.operator.number();
            let number = newest.saturating_sub(self.random.below(4)).max(1);
            self.ask(Wish::guest(number)).await;
            self.pause(10, 30).await;
        }
    }

    /// Sends one request and waits for its end.
    pub async fn ask(&mut self, wish: Wish) -> Sent {
        let office = self.office.clone();
        let sent = self.note(&wish);
        let place = {
            let mut all = office.sent.borrow_mut();
            all.push(sent.clone());
            all.len() - 1
        };
        let exchange = self.exchange(&sent);
        let end = tokio::time::timeout(wish.patience, exchange).await.unwrap_or(End::Left);
        let ended = &mut office.sent.borrow_mut()[place];
        ended.newest = office.fleet.operator.number();
        ended.end = Some(end);
        ended.clone()
    }

    /// Asks for a tour with `adapter`.
    pub async fn ask_for(&mut self, adapter: &'static str) -> Sent {
        self.ask(Wish { adapter: Some(adapter), ..Wish::new(Kind::Tour) }).await
    }

    fn note(&mut self, wish: &Wish) -> Sent {
        let office = &self.office;
        let (prompt, output) = tokens(wish.organisation);
        let at = office.sent.borrow().len();
        let kind = wish.kind;
        let any = ADAPTERS[self.random.below(ADAPTERS.len() as u64) as usize];
        let adapter = wish.adapter.unwrap_or(any);
        let host = &office.fleet.entries[self.entry];
        Sent {
            attempt: format!("{}-{at}", self.name),
            kind,
            organisation: wish.organisation,
            key: wish.key.clone(),
            entry: self.entry,
            incarnation: host.daemon.borrow().incarnation(),
            round: office.round.get(),
            path: format!("{}{}?at={at}", kind.prefix(), self.random.below(1_000)),
            body: match kind {
                Kind::Seats | Kind::Guest => String::new(),
                _ => format!("{} {at}", "x".repeat(self.random.below(6_000) as usize)),
            },
            adapter: kind.streams().then(|| adapter.to_owned()),
            tokens: prompt + output,
            at: Instant::now(),
            newest: 0,
            end: None,
        }
    }

    async fn exchange(&mut self, sent: &Sent) -> End {
        let kept = self.link.take().filter(Link::is_clean);
        let link = match kept {
            Some(link) => Ok(link),
            None => match self.office.fleet.entries[sent.entry].callers() {
                Some(address) => Link::open(address).await,
                None => return End::Unsent,
            },
        };
        let Ok(mut link) = link else { return End::Unsent };
        match whole(&mut link, sent).await {
            Ok(answer) => {
                self.link = Some(link).filter(Link::is_reusable);
                End::Answered(answer)
            }
            Err(error) => End::Broken(error.to_string()),
        }
    }

    /// After a failure the balancer sends a caller's next connection to
    /// another entry.
    fn move_on(&mut self, sent: &Sent) {
        if matches!(sent.end, Some(End::Broken(_) | End::Unsent)) {
            self.entry = (self.entry + 1) % self.office.fleet.entries.len();
        }
    }

    async fn pause(&mut self, low: u64, high: u64) {
        let time = low + self.random.below(high - low + 1);
        tokio::time::sleep(Duration::from_millis(time)).await;
    }
}

/// One request and its whole answer.
async fn whole(link: &mut Link, sent: &Sent) -> Result<Answer, LinkError> {
    let body = sent.body.as_bytes();
    let head = link.exchange(sent.kind.method(), &sent.path, headers(sent), body).await?;
    let mut bytes = Vec::new();
    while let Some(chunk) = link.chunk().await? {
        bytes.extend_from_slice(&chunk);
    }
    let (attempt, stamp) = attempt_and_signature(&head.headers);
    Ok(Answer {
        status: head.status.as_u16(),
        stamp,
        attempt,
        returns: head.headers.contains_key(header::RETRY_AFTER),
        body: String::from_utf8_lossy(&bytes).into_owned(),
    })
}

fn headers(sent: &Sent) -> HeaderMap {
    let asked = CallerRequest {
        attempt: &sent.attempt,
        key: &sent.key,
        deadline: TIMEOUT,
        tokens: tokens(sent.organisation),
        adapter: sent.adapter.as_deref(),
    };
    asked.headers()
}

fn tokens(organisation: &str) -> (u64, u64) {
    if organisation == CLUB { CLUB_TOKENS } else { TOKENS }
}
