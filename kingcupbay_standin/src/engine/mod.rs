//! Stand-in for a model engine, without a model.
//!
//! Orders use the types of `kingcupbay_core::wire::engine`. [`state`] manages
//! slots, batch and queue; [`load`] loads weights from the weight store into a
//! slot; [`stream`] generates tokens; [`report`] publishes load reports and
//! events, delayed or with some missing if a fault says so; [`record`] keeps
//! what happened for tests.

use std::{
    cell::RefCell,
    io,
    net::SocketAddr,
    rc::Rc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use actix_http::{Method, StatusCode, body::BodyStream};
use futures_util::FutureExt;
use kingcupbay_core::wire::engine::{Cancel, Event, Generate, LoadReport, UnloadAdapter};
use serde::{Deserialize, Serialize};

use self::{
    record::{EngineRecord, Outcome},
    state::{Refusal, State},
    stream::{Generation, Limit},
};
use crate::{
    changes::wait_until,
    fault::{Fault, FaultRules},
    server::{
        Behaviour, Server,
        call::{self, Answer, Call},
    },
    weights::LOAD_TIME,
};

mod load;
pub(crate) mod record;
mod report;
mod state;
mod stream;
pub(crate) mod text;

/// Path of load orders; rules that fail loads are matched against it.
const LOAD: &str = "/v1/load_lora_adapter";
/// Path of events; rules that lose events are matched against it.
const EVENTS: &str = "/events";

/// Settings of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Number of adapter slots.
    pub slots: u32,
    /// Most streams generated at the same time; the others wait by priority.
    pub batch_size: u32,
    /// Name of the base model, which needs no slot.
    pub base_model: String,
    /// Time from a stream's entry into the batch to its first token.
    pub first_token: Duration,
    /// Time between tokens.
    pub token_interval: Duration,
    /// Most tokens of any answer; one cut short by it ends with reason `stop`.
    pub max_tokens: u32,
    /// Address of the weight store to load from.
    pub weight_store: Option<SocketAddr>,
    /// Duration of a load without a weight store.
    pub load_time: Duration,
    /// Whether orders with an old fencing number are refused.
    pub check_fencing: bool,
    /// First incarnation; taken from the host's clock when absent.
    pub incarnation: Option<u64>,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings {
            slots: 8,
            batch_size: 256,
            base_model: "base".to_owned(),
            first_token: Duration::from_millis(20),
            token_interval: Duration::from_millis(15),
            max_tokens: u32::MAX,
            weight_store: None,
            load_time: LOAD_TIME,
            check_fencing: false,
            incarnation: None,
        }
    }
}

/// JSON body of the 409 that refuses an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FencingConflict {
    /// Highest fencing number that the engine has seen.
    pub fencing: u64,
}

/// A running engine.
pub struct Engine {
    server: Server,
    shared: Rc<Shared>,
}

pub(crate) struct Shared {
    state: Rc<RefCell<State>>,
    faults: Rc<RefCell<FaultRules>>,
    client: awc::Client,
}

impl Engine {
    /// Starts an empty engine on `address`, on the current thread. Fails when
    /// the address cannot be bound.
    pub fn start(address: SocketAddr, settings: Settings) -> io::Result<Engine> {
        let incarnation = settings.incarnation.unwrap_or_else(incarnation);
        let shared = Rc::new(Shared {
            state: Rc::new(RefCell::new(State::new(settings, incarnation))),
            faults: Rc::default(),
            // The weight store decides how long a load takes.
            client: awc::Client::builder().disable_timeout().finish(),
        });
        let server = Server::start(address, behaviour(&shared))?;
        Ok(Engine { server, shared })
    }

    /// Returns the HTTP server of this stand-in.
    pub fn server(&self) -> &Server {
        &self.server
    }

    /// Returns the HTTP server mutably, to open its control address.
    pub fn server_mut(&mut self) -> &mut Server {
        &mut self.server
    }

    /// Returns what the engine recorded.
    pub fn record(&self) -> EngineRecord {
        self.shared.state.borrow().record().clone()
    }

    /// Waits until the record satisfies a condition.
    pub async fn wait_until(&self, holds: impl Fn(&EngineRecord) -> bool) {
        let state = &self.shared.state;
        let changes = state.borrow().changes();
        wait_until(changes, || holds(state.borrow().record())).await;
    }

    /// Returns the current load, without lag.
    pub fn load_report(&self) -> LoadReport {
        self.shared.state.borrow().current_load()
    }

    /// Returns all events of this incarnation except lost ones, without lag.
    pub fn events(&self) -> Vec<Event> {
        self.shared.state.borrow().events(Duration::ZERO, 0).events
    }

    /// Sets the time to the first token and the time between tokens, also for
    /// running streams.
    pub fn set_token_times(&self, first_token: Duration, token_interval: Duration) {
        let mut state = self.shared.state.borrow_mut();
        state.settings.first_token = first_token;
        state.settings.token_interval = token_interval;
    }
}

/// Returns the clock's microseconds, so that each start of the process differs.
fn incarnation() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(1, |since| since.as_micros() as u64)
}

impl Shared {
    fn drops_event(&self) -> bool {
        let loses = |fault| (fault == Fault::LoseEvents).then_some(());
        !self.faults.borrow_mut().hit(EVENTS, loses).is_empty()
    }

    fn lag(&self, path: &str, pick: impl Fn(Fault) -> Option<u64>) -> Duration {
        let millis = self.faults.borrow_mut().hit(path, pick).into_iter().max();
        Duration::from_millis(millis.unwrap_or(0))
    }
}

fn behaviour(shared: &Rc<Shared>) -> Behaviour {
    let handler = Rc::clone(shared);
    let restarted = Rc::clone(shared);
    Behaviour {
        faults: Rc::clone(&shared.faults),
        answer: Rc::new(move |call| {
            let shared = Rc::clone(&handler);
            async move { answer(&shared, &call).await.unwrap_or_else(|refusal| refusal) }
                .boxed_local()
        }),
        restart: Rc::new(move || restarted.state.borrow_mut().restart()),
        send_buffer: None,
    }
}

async fn answer(shared: &Rc<Shared>, call: &Call) -> Result<Answer, Answer> {
    match (&call.method, call.path.as_str()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => generate(shared, call),
        (&Method::POST, LOAD) => Ok(load::load(shared, call.json()?).await),
        (&Method::POST, "/v1/unload_lora_adapter") => unload(shared, &call.json()?),
        (&Method::POST, "/v1/cancel") => {
            let order: Cancel = call.json()?;
            shared.state.borrow_mut().end_request(order.request_id, Outcome::Cancelled);
            Ok(call::empty(StatusCode::OK))
        }
        (&Method::GET, "/load") => Ok(answer_load(shared, call)),
        (&Method::GET, EVENTS) => answer_events(shared, call),
        (&Method::GET, "/state") => Ok(call::json(shared.state.borrow().record())),
        _ => Err(call::unknown()),
    }
}

fn generate(shared: &Shared, call: &Call) -> Result<Answer, Answer> {
    let order: Generate = call.json()?;
    let chat = call.path == "/v1/chat/completions";
    let shape = if chat { order.messages.is_some() } else { order.prompt.is_some() };
    if !shape || !order.stream {
        return Err(call::text(StatusCode::BAD_REQUEST, "prompt or messages, and stream=true"));
    }
    let accepted = shared.state.borrow_mut().accept_stream(&order);
    let accepted = accepted.map_err(|refused| refusal(&refused))?;
    let limits = shared.faults.borrow_mut().hit(&call.path, |fault| match fault {
        Fault::StallStreams { tokens } => Some(Limit::Stall(tokens)),
        Fault::CutStreams { tokens } => Some(Limit::Cut(tokens)),
        _ => None,
    });
    let limit = limits.first().copied();
    let generation = Generation::new(&shared.state, accepted, order, limit);
    Ok(call::events(BodyStream::new(generation.events())))
}

fn unload(shared: &Shared, order: &UnloadAdapter) -> Result<Answer, Answer> {
    let mut state = shared.state.borrow_mut();
    match state.unload(&order.lora_name, order.fencing, || shared.drops_event()) {
        Ok(()) => Ok(call::empty(StatusCode::OK)),
        Err(refused) => Err(refusal(&refused)),
    }
}

fn answer_load(shared: &Shared, call: &Call) -> Answer {
    let lag = shared.lag(&call.path, |fault| match fault {
        Fault::LagReports { millis } => Some(millis),
        _ => None,
    });
    let state = shared.state.borrow();
    call::json(&state.reports().load(tokio::time::Instant::now(), lag))
}

fn answer_events(shared: &Shared, call: &Call) -> Result<Answer, Answer> {
    let lag = shared.lag(&call.path, |fault| match fault {
        Fault::LagEvents { millis } => Some(millis),
        _ => None,
    });
    let after = call.query.strip_prefix("after=").unwrap_or("0");
    let after = after.parse().map_err(|err| call::text(StatusCode::BAD_REQUEST, &err))?;
    Ok(call::json(&shared.state.borrow().events(lag, after)))
}

fn refusal(refused: &Refusal) -> Answer {
    match *refused {
        Refusal::Fenced { newest } => {
            call::status_json(StatusCode::CONFLICT, &FencingConflict { fencing: newest })
        }
        Refusal::SlotsFull => call::text(StatusCode::INSUFFICIENT_STORAGE, "no slot is free"),
        Refusal::InUse => call::text(StatusCode::CONFLICT, "in use"),
        Refusal::UnknownModel => call::text(StatusCode::NOT_FOUND, "model not loaded"),
    }
}
