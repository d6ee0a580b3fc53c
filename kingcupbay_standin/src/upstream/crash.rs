//! Crashes of an upstream on requests that are fatal to it.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
    time::{Duration, Instant},
};

use actix_http::{ConnectionType, body::BodyStream};
use futures_util::stream;

use super::{run::Phase, state::State};
use crate::server::call::{Answer, Call};

/// Time from the head of an answer to the crash of an engine that crashes on its prompt.
const CRASH_DELAY: Duration = Duration::from_millis(8);

/// How a crash shows to who has sent the fatal request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CrashStyle {
    /// Connections are reset in the middle of the answer.
    #[default]
    Cut,
    /// Bytes that are no answer come before connections are reset.
    Garbage,
    /// No answer comes, and connections are reset this long after.
    Silent(Duration),
    /// A whole head and no body come, and the connection is closed. A plain service only.
    Empty,
}

/// What is fatal to an upstream, and its crashes so far.
#[derive(Default)]
pub(super) struct Crashes {
    /// Parts of prompts on which it crashes as it begins to answer.
    pub(super) parts: RefCell<BTreeSet<String>>,
    /// Text in the bodies or paths of requests on which it crashes.
    pub(super) text: RefCell<Option<String>>,
    pub(super) style: Cell<CrashStyle>,
    pub(super) times: RefCell<Vec<Instant>>,
    /// Ends the process and starts it again after a while.
    pub(super) end: RefCell<Option<Box<dyn Fn()>>>,
}

impl Crashes {
    /// Returns whether the upstream crashes on `call`.
    fn is_fatal(&self, call: &Call) -> bool {
        let text = self.text.borrow();
        let has_text = |text: &String| {
            let text = text.as_bytes();
            let contains =
                |bytes: &[u8]| bytes.windows(text.len().max(1)).any(|found| found == text);
            contains(&call.body) || contains(call.path.as_bytes())
        };
        text.as_ref().is_some_and(has_text) || self.has_fatal_part(call)
    }

    fn has_fatal_part(&self, call: &Call) -> bool {
        let parts = self.parts.borrow();
        let prefix = call.headers.get("x-prompt-prefix").and_then(|text| text.to_str().ok());
        let mut ids = prefix
            .unwrap_or_default()
            .split(',')
            .map(|part| part.trim().split(':').next().unwrap_or(part));
        ids.any(|id| parts.contains(id))
    }
}

impl State {
    /// Crashes soon if `call`, which it begins to run, is fatal. Returns whether it is.
    pub(super) fn on_run(self: &Rc<Self>, call: &Call) -> bool {
        let is_fatal = self.crashes.is_fatal(call);
        if is_fatal {
            if self.crashes.style.get() == CrashStyle::Garbage {
                call.conn.garble();
            }
            self.crash_soon();
        }
        is_fatal
    }

    /// Returns the answer of a plain service that crashes in the middle of it.
    pub(super) fn broken_answer(&self, mut head: actix_http::ResponseBuilder) -> Answer {
        if self.crashes.style.get() == CrashStyle::Empty {
            let body = stream::empty::<Result<bytes::Bytes, std::io::Error>>();
            let mut answer = head.body(BodyStream::new(body)).map_into_boxed_body();
            answer.head_mut().no_chunking(true);
            answer.head_mut().set_connection_type(ConnectionType::Close);
            return answer;
        }
        let body = stream::pending::<Result<bytes::Bytes, std::io::Error>>();
        head.body(BodyStream::new(body)).map_into_boxed_body()
    }

    /// Returns whether it sends nothing of its answer to `call`, which it runs.
    pub(super) fn is_silent_on(&self, call: &Call) -> bool {
        matches!(self.crashes.style.get(), CrashStyle::Silent(_)) && self.crashes.is_fatal(call)
    }

    /// Crashes once the head of an answer has been written.
    fn crash_soon(self: &Rc<Self>) {
        let state = Rc::clone(self);
        let delay = match self.crashes.style.get() {
            CrashStyle::Silent(time) => time,
            _ => CRASH_DELAY,
        };
        let restarts = self.restarts.get();
        actix_rt::spawn(async move {
            tokio::time::sleep(delay).await;
            // It may have crashed on another request meanwhile.
            if state.restarts.get() != restarts || state.faults.borrow().refuses() {
                return;
            }
            state.crashes.times.borrow_mut().push(Instant::now());
            for run in state.running.borrow().values() {
                run.phase.send_replace(Phase::Ended);
            }
            state.restart();
            if state.settings.unframed {
                // The connections end before the port refuses new ones.
                tokio::time::sleep(Duration::from_millis(1)).await;
            }
            if let Some(end) = state.crashes.end.borrow().as_ref() {
                end();
            }
        });
    }
}
