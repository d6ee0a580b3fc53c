//! Answers to generation requests, streamed or complete, in the format of the
//! endpoint.

use std::{
    rc::Rc,
    time::{SystemTime, UNIX_EPOCH},
};

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use bytes::Bytes;
use futures_util::stream;
use kingcupbay_core::{
    id::RequestId,
    wire::{
        engine::Usage,
        error::{Code, Failure},
        run::Work,
    },
};
use serde::Serialize;

use super::{
    Entry,
    admission::{self, Caller},
    headers,
    outcome::{Ending, Refusal, RequestLog},
    prompt::{self, GenerationRequest, Shape},
    relay::{Job, Relay, Step, Target},
};
use crate::{
    clock,
    http::{body, budget::HeldBytes, reply},
    server::socket::Peer,
    share::Reservation,
};

/// Last event of a stream whose answer is complete.
const DONE_EVENT: &str = "data: [DONE]\n\n";

/// A running generation, with the state that is released when it ends.
struct Answer {
    relay: Relay,
    log: RequestLog,
    reservation: Reservation,
    shape: Shape,
    request: RequestId,
    model: String,
    created: u64,
    prompt_tokens: u64,
    tokens: u64,
}

/// Answers `POST /v1/chat/completions` and `POST /v1/completions`.
pub(crate) async fn generate(
    entry: Rc<Entry>,
    request: Request,
    shape: Shape,
) -> Response<BoxBody> {
    match admit(entry.clone(), request, shape).await {
        Ok((answer, true)) => stream_answer(answer).await,
        Ok((answer, false)) => collect_answer(answer).await,
        Err(refusal) => reply::failure(&refusal.close(&entry.metrics, &entry.log)),
    }
}

/// Admits a request; returns the answer and whether it is to be streamed.
async fn admit(
    entry: Rc<Entry>,
    request: Request,
    shape: Shape,
) -> Result<(Answer, bool), Refusal> {
    let caller = admission::authenticate(&entry, &request)?;
    let refuse = |failure| Refusal::of(&caller, failure);
    prepare(entry, request, shape, &caller).await.map_err(refuse)
}

/// Checks the request of a known caller and reserves its tokens.
async fn prepare(
    entry: Rc<Entry>,
    mut request: Request,
    shape: Shape,
    caller: &Caller,
) -> Result<(Answer, bool), Failure> {
    let callers = entry.settings.callers.as_ref().expect("an entry has [callers]");
    let deadline = headers::deadline(&request, callers, clock::now())?;
    let (limit, timeout) = (callers.body_limit, callers.body_timeout);
    let HeldBytes { bytes, held } =
        body::read(&mut request, Some(&caller.name), limit, timeout).await?;
    let parsed = prompt::parse(shape, &bytes)?;
    drop(bytes);
    let config = entry.fleet.config();
    let version = config.version(caller.organisation, &parsed.model).ok_or_else(|| {
        let message = format!("no model {} for this access key", parsed.model);
        Failure::not_run(Code::NotFound, message)
    })?;
    let model = config.model_name(version).expect("a resolved version exists");
    let max_tokens = parsed.max_tokens.unwrap_or(callers.max_tokens);
    let prompt_tokens = parsed.prompt.tokens();
    let tokens = prompt_tokens + u64::from(max_tokens);
    let reservation = entry.shares.reserve(caller.organisation, tokens).await?;
    let id = new_request_id();
    let log = RequestLog::open(id, caller.clone(), model.clone(), &entry);
    let GenerationRequest { prompt, sampling, stream, .. } = parsed;
    let work = Work::Generate { version, prompt, max_tokens, offset: 0, sampling };
    let job = Job {
        request: id,
        caller: caller.clone(),
        peer: Peer::of(&request),
        deadline,
        target: Target::Model(version),
        work,
        _held: held,
    };
    let answer = Answer {
        relay: Relay::new(entry, job),
        log,
        reservation,
        shape,
        request: id,
        model,
        created: unix_seconds(),
        prompt_tokens,
        tokens: 0,
    };
    Ok((answer, stream))
}

/// Returns a random request id.
pub(crate) fn new_request_id() -> RequestId {
    let mut id = [0; 16];
    getrandom::fill(&mut id).expect("the system's random source works");
    RequestId(id)
}

/// Returns the wall-clock time in seconds since the Unix epoch.
fn unix_seconds() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_secs())
}

impl Answer {
    async fn next(&mut self) -> Step {
        let step = self.relay.next().await;
        self.log.on_attempt(self.relay.upstream());
        match &step {
            Step::Token(_) => {
                self.log.on_token();
                self.tokens += 1;
                self.reservation.used(self.prompt_tokens + self.tokens);
            }
            Step::Done { usage, .. } => {
                self.reservation.used(u64::from(usage.total_tokens));
                self.log.close(&Ending::Complete(*usage));
            }
            Step::Failed(failure) => self.log.close(&Ending::Failed(failure.clone())),
            Step::Called { .. } => {}
        }
        step
    }

    /// Returns the JSON of one streamed event.
    fn chunk(&self, text: &str, reason: Option<&str>, usage: Option<Usage>) -> String {
        let delta = Delta { content: text };
        let choice = match self.shape {
            Shape::Chat => {
                ChunkChoice { index: 0, delta: Some(delta), text: None, finish_reason: reason }
            }
            Shape::Text => {
                ChunkChoice { index: 0, delta: None, text: Some(text), finish_reason: reason }
            }
        };
        let object = match self.shape {
            Shape::Chat => "chat.completion.chunk",
            Shape::Text => "text_completion",
        };
        self.json(object, [choice], usage)
    }

    /// Returns the JSON of a complete answer.
    fn completion(&self, text: &str, reason: &str, usage: Usage) -> String {
        let reason = Some(reason);
        let message = CompletionMessage { role: "assistant", content: text };
        match self.shape {
            Shape::Chat => {
                let choice = CompletionChoice {
                    index: 0,
                    message: Some(message),
                    text: None,
                    finish_reason: reason,
                };
                self.json("chat.completion", [choice], Some(usage))
            }
            Shape::Text => {
                let choice = CompletionChoice {
                    index: 0,
                    message: None,
                    text: Some(text),
                    finish_reason: reason,
                };
                self.json("text_completion", [choice], Some(usage))
            }
        }
    }

    fn json<T: Serialize>(
        &self,
        object: &'static str,
        choices: [T; 1],
        usage: Option<Usage>,
    ) -> String {
        let body = Completion {
            id: self.request,
            object,
            created: self.created,
            model: &self.model,
            choices,
            usage,
        };
        serde_json::to_string(&body).expect("answers serialise")
    }
}

/// Sends the answer as a stream of events. The first step is awaited before the
/// status is sent, so that a refusal is an ordinary error answer and not a
/// stream that ends early.
async fn stream_answer(mut answer: Answer) -> Response<BoxBody> {
    let first = match answer.next().await {
        Step::Failed(failure) => return reply::failure(&failure),
        step => step,
    };
    let state = Some((answer, Some(first)));
    let events = stream::unfold(state, |state| async move {
        let (mut answer, first) = state?;
        let step = match first {
            Some(step) => step,
            None => answer.next().await,
        };
        let (text, more) = event(&answer, &step);
        Some((Ok(Bytes::from(text)), more.then_some((answer, None))))
    });
    reply::stream("text/event-stream", events)
}

/// Returns the event of a step, and whether more events follow.
fn event(answer: &Answer, step: &Step) -> (String, bool) {
    match step {
        Step::Token(text) => (format!("data: {}\n\n", answer.chunk(text, None, None)), true),
        Step::Done { reason, usage } => {
            let last = answer.chunk("", Some(reason), Some(*usage));
            (format!("data: {last}\n\n{DONE_EVENT}"), false)
        }
        Step::Failed(failure) => (format!("data: {}\n\n", reply::failure_json(failure)), false),
        Step::Called { .. } => unreachable!("a model's upstream answers with tokens"),
    }
}

/// Collects all tokens and sends the answer as one body.
async fn collect_answer(mut answer: Answer) -> Response<BoxBody> {
    let mut text = String::new();
    loop {
        match answer.next().await {
            Step::Token(token) => text.push_str(&token),
            Step::Done { reason, usage } => {
                let body = answer.completion(&text, &reason, usage);
                return reply::json_text(StatusCode::OK, body);
            }
            Step::Failed(failure) => return reply::failure(&failure),
            Step::Called { .. } => unreachable!("a model's upstream answers with tokens"),
        }
    }
}

#[derive(Serialize)]
struct Completion<'a, T> {
    id: RequestId,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [T; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    content: &'a str,
}

#[derive(Serialize)]
struct CompletionChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<CompletionMessage<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct CompletionMessage<'a> {
    role: &'static str,
    content: &'a str,
}
