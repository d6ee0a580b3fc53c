//! Stand-in for the platform's weight store.
//!
//! `POST /weights/take` answers when the load would be done; `GET /state`
//! returns a [`WeightsRecord`]. A load runs at full speed while at most
//! [`FULL_SPEED_LOADS`] are in flight over all engines, and takes
//! proportionally longer beyond that.

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

/// Path of the request that performs a load.
pub(crate) const TAKE: &str = "/weights/take";

/// Most loads in flight that all run at full speed.
pub const FULL_SPEED_LOADS: u32 = 8;

/// Default duration of a load at full speed.
pub const LOAD_TIME: Duration = Duration::from_millis(250);

/// Body of `POST /weights/take`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TakeRequest {
    /// Path of the weights to load.
    pub path: String,
}

/// Counts of a weight store since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct WeightsRecord {
    /// Number of loads in flight now.
    pub in_flight: u32,
    /// Highest number of loads in flight at once.
    pub most: u32,
    /// Number of started loads, by path.
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
    bandwidth: RefCell<SharedBandwidth>,
    record: RefCell<WeightsRecord>,
    /// Notified whenever the speed may have changed.
    speed_changed: watch::Sender<()>,
}

/// Progress of the loads in flight, which share the bandwidth equally.
///
/// Work is counted in nanoseconds at full speed, so that the rounding error of
/// each change stays far below the resolution of timers.
#[derive(Clone, Copy, Debug)]
pub struct SharedBandwidth {
    /// Work, in nanoseconds, that a load in flight since the start would have done.
    done: u64,
    /// Time of the last update of `done`.
    updated: Duration,
    in_flight: u32,
}

impl SharedBandwidth {
    /// Creates a state without loads at time `now`.
    pub fn new(now: Duration) -> SharedBandwidth {
        SharedBandwidth { done: 0, updated: now, in_flight: 0 }
    }

    /// Starts a load of `work` and returns the value of total work at which it is done.
    pub fn begin(&mut self, now: Duration, work: Duration) -> u64 {
        self.advance(now);
        self.in_flight += 1;
        self.done + work.as_nanos() as u64
    }

    /// Ends a load, whether completed or abandoned.
    pub fn end(&mut self, now: Duration) {
        self.advance(now);
        self.in_flight -= 1;
    }

    /// Returns the time from `now` until `target` is reached if no load starts or ends.
    pub fn time_left(&self, now: Duration, target: u64) -> Duration {
        let mut then = *self;
        then.advance(now);
        let work = target.saturating_sub(then.done);
        let stretched = work * u64::from(self.in_flight.max(FULL_SPEED_LOADS));
        Duration::from_nanos(stretched.div_ceil(u64::from(FULL_SPEED_LOADS)))
    }

    /// Returns the number of loads in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    fn advance(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.updated).as_nanos() as u64;
        self.done +=
            passed * u64::from(FULL_SPEED_LOADS) / u64::from(self.in_flight.max(FULL_SPEED_LOADS));
        self.updated = now;
    }
}

impl Weights {
    /// Starts a store on `address`, on the current thread. `load` is the
    /// duration of a load at full speed. Fails when the address cannot be bound.
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

    /// Returns the counts.
    pub fn record(&self) -> WeightsRecord {
        self.state.record()
    }
}

impl Default for State {
    fn default() -> State {
        State {
            origin: Instant::now(),
            bandwidth: RefCell::new(SharedBandwidth::new(Duration::ZERO)),
            record: RefCell::default(),
            speed_changed: watch::Sender::new(()),
        }
    }
}

impl State {
    pub(crate) fn record(&self) -> WeightsRecord {
        self.record.borrow().clone()
    }

    fn begin(self: &Rc<Self>, path: String, work: Duration) -> InFlight {
        let mut bandwidth = self.bandwidth.borrow_mut();
        let target = bandwidth.begin(self.origin.elapsed(), work);
        let mut record = self.record.borrow_mut();
        record.in_flight = bandwidth.in_flight();
        record.most = record.most.max(record.in_flight);
        *record.taken.entry(path).or_default() += 1;
        self.speed_changed.send_replace(());
        InFlight { state: Rc::clone(self), target }
    }

    fn end(&self) {
        let mut bandwidth = self.bandwidth.borrow_mut();
        bandwidth.end(self.origin.elapsed());
        self.record.borrow_mut().in_flight = bandwidth.in_flight();
        self.speed_changed.send_replace(());
    }

    fn time_left(&self, target: u64) -> Duration {
        self.bandwidth.borrow().time_left(self.origin.elapsed(), target)
    }
}

/// A load in flight. Dropping it ends the load, also when its engine disconnects.
struct InFlight {
    state: Rc<State>,
    target: u64,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.state.end();
    }
}

impl InFlight {
    /// Waits until the load is done, at a speed that depends on the other loads.
    async fn finish(self) {
        let mut speed_changed = self.state.speed_changed.subscribe();
        loop {
            let time_left = self.state.time_left(self.target);
            if time_left.is_zero() {
                return;
            }
            tokio::select! {
                _ = speed_changed.changed() => {}
                () = sleep(time_left) => {}
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

/// Answers a request for the store; returns `None` for any other request.
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
