//! The platform's weight store: `POST /weights/take` answers when the load
//! would be done; `GET /state` for a [`WeightsRecord`].
//!
//! A load takes its full time while at most [`FULL_SPEED_LOADS`] are in flight over all
//! engines, and proportionally longer beyond that.

use std::{cell::RefCell, collections::BTreeMap, io, net::SocketAddr, rc::Rc, time::Duration};

use actix_http::{Method, StatusCode};
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use tokio::{
    sync::watch,
    time::{Instant, sleep},
};

use crate::server::{
    Behaviour, Handler, Server,
    call::{self, Answer, Call},
};

/// Path of the one request.
pub(crate) const TAKE: &str = "/weights/take";

/// Loads in flight that still have full speed each.
pub const FULL_SPEED_LOADS: u32 = 8;

/// Time of a load at full speed, unless set otherwise.
pub const LOAD_TIME: Duration = Duration::from_millis(250);

/// Body of `POST /weights/take`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TakeRequest {
    /// What to load.
    pub path: String,
}

/// What the weight store counted since it started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightsRecord {
    /// Loads in flight now.
    pub in_flight: u32,
    /// Most loads in flight at once.
    pub most: u32,
    /// Loads begun, by path.
    pub taken: BTreeMap<String, u64>,
}

/// A running weight store.
pub struct Weights {
    server: Server,
    state: Rc<State>,
}

/// Loads in flight and counts.
pub(crate) struct State {
    origin: Instant,
    sharing: RefCell<SharedBandwidth>,
    record: RefCell<WeightsRecord>,
    /// Changes whenever the speed may have changed.
    changed: watch::Sender<()>,
}

/// Progress of the loads in flight, which all have the same speed.
///
/// Work is counted in nanoseconds at full speed, so that rounding at each
/// change stays far below a timer's grain.
#[derive(Clone, Copy, Debug)]
pub struct SharedBandwidth {
    /// Work that a load in flight since the beginning would have done.
    done: u64,
    /// When `done` was brought up to date.
    at: Duration,
    in_flight: u32,
}

impl SharedBandwidth {
    /// No load in flight at time `now`.
    pub fn new(now: Duration) -> SharedBandwidth {
        SharedBandwidth { done: 0, at: now, in_flight: 0 }
    }

    /// Begins a load of `work`; the mark at which it is done.
    pub fn begin(&mut self, now: Duration, work: Duration) -> u64 {
        self.advance(now);
        self.in_flight += 1;
        self.done + work.as_nanos() as u64
    }

    /// Ends a load, done or given up.
    pub fn end(&mut self, now: Duration) {
        self.advance(now);
        self.in_flight -= 1;
    }

    /// Time from `now` until the mark is reached if nothing changes.
    pub fn left(&self, now: Duration, mark: u64) -> Duration {
        let mut then = *self;
        then.advance(now);
        let work = mark.saturating_sub(then.done);
        let stretched = work * u64::from(self.in_flight.max(FULL_SPEED_LOADS));
        Duration::from_nanos(stretched.div_ceil(u64::from(FULL_SPEED_LOADS)))
    }

    /// Loads in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.at).as_nanos() as u64;
        self.done +=
            passed * u64::from(FULL_SPEED_LOADS) / u64::from(self.in_flight.max(FULL_SPEED_LOADS));
        self.at = now;
    }
}

impl Weights {
    /// Starts a store on `address`, on the current thread, with the time of
    /// a load at full speed.
    pub fn start(address: SocketAddr, load: Duration) -> io::Result<Weights> {
        let state = Rc::default();
        let server = Server::start(address, Behaviour::new(handler(&state, load)))?;
        Ok(Weights { server, state })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the HTTP server mutably, to open its control address.
    pub fn server_mut(&mut self) -> &mut Server {
        &mut self.server
    }

    /// What it counted.
    pub fn record(&self) -> WeightsRecord {
        self.state.record()
    }
}

impl Default for State {
    fn default() -> State {
        State {
            origin: Instant::now(),
            sharing: RefCell::new(SharedBandwidth::new(Duration::ZERO)),
            record: RefCell::default(),
            changed: watch::Sender::new(()),
        }
    }
}

impl State {
    pub(crate) fn record(&self) -> WeightsRecord {
        self.record.borrow().clone()
    }

    fn begin(self: &Rc<Self>, path: String, work: Duration) -> InFlight {
        let mut sharing = self.sharing.borrow_mut();
        let mark = sharing.begin(self.origin.elapsed(), work);
        let mut record = self.record.borrow_mut();
        record.in_flight = sharing.in_flight();
        record.most = record.most.max(record.in_flight);
        *record.taken.entry(path).or_default() += 1;
        self.changed.send_replace(());
        InFlight { state: Rc::clone(self), mark }
    }

    fn end(&self) {
        let mut sharing = self.sharing.borrow_mut();
        sharing.end(self.origin.elapsed());
        self.record.borrow_mut().in_flight = sharing.in_flight();
        self.changed.send_replace(());
    }

    fn left(&self, mark: u64) -> Duration {
        self.sharing.borrow().left(self.origin.elapsed(), mark)
    }
}

/// A load in flight; its drop ends it, also when its engine has gone.
struct InFlight {
    state: Rc<State>,
    mark: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.end();
    }
}

impl InFlight {
    /// Waits until the load is done at whatever speed it gets.
    async fn finish(self) {
        let mut changed = self.state.changed.subscribe();
        loop {
            let left = self.state.left(self.mark);
            if left.is_zero() {
                return;
            }
            tokio::select! {
                _ = changed.changed() => {}
                () = sleep(left) => {}
            }
        }
    }
}

fn handler(state: &Rc<State>, load: Duration) -> Handler {
    let state = Rc::clone(state);
    Rc::new(move |call| {
        let state = Rc::clone(&state);
        async move {
            match (&call.method, call.path.as_str()) {
                (&Method::GET, "/state") => call::json(&state.record()),
                _ => answer(&state, load, &call).await.unwrap_or_else(call::unknown),
            }
        }
        .boxed_local()
    })
}

/// The answer to a request for the store, `None` when it is not for it.
pub(crate) async fn answer(state: &Rc<State>, load: Duration, call: &Call) -> Option<Answer> {
    if (&call.method, call.path.as_str()) != (&Method::POST, TAKE) {
        return None;
    }
    let take: TakeRequest = match call.json() {
        Ok(take) => take,
        Err(refusal) => return Some(refusal),
    };
    state.begin(take.path, load).finish().await;
    Some(call::empty(StatusCode::OK))
}
