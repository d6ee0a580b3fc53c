//! Sends one request to upstream daemons and relays the answer.
//!
//! A relay yields the steps of the answer in order, across failures of engines
//! and daemons. It retries before the first token, resumes by offset after it,
//! and rejects frames that belong to another request. Heartbeats between daemons
//! distinguish a silent stream from one that is only slow.

use std::{pin::Pin, rc::Rc};

use bytes::BytesMut;
use futures_util::{Stream, StreamExt};
use kingcupbay_core::{
    id::{Name, RequestId, UpstreamId, VersionId},
    route::{InFlight, Progress, WorkKind as Kind},
    time::{Instant, Span},
    wire::{
        engine::Usage,
        error::{Code, Failure, Ran},
        run::{Frame, Run, RunEvent, Work},
    },
};
use thiserror::Error;
use tokio_util::{
    codec::{FramedRead, LengthDelimitedCodec},
    io::StreamReader,
};

use super::{Entry, admission::Caller};
use crate::{
    clock,
    http::{body, budget::Held, client::Call},
    server::socket::Peer,
};

/// When to retry if every upstream refused: about the time until the next load
/// report arrives.
const BUSY_RETRY: Span = Span::from_secs(1);

/// Longest frame in bytes; the answer of a plain service may take about 1 MB.
const MAX_FRAME_BYTES: usize = 8 << 20;

type Frames = Pin<Box<dyn Stream<Item = std::io::Result<BytesMut>>>>;

/// Kind of upstream that serves a request.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An adapter version.
    Model(VersionId),
    /// A plain service.
    Service {
        /// Name of the service.
        name: Name,
        /// Whether the call runs at most once.
        once: bool,
    },
}

/// An admitted request.
pub(crate) struct Job {
    /// Identity of the request on every hop.
    pub(crate) request: RequestId,
    /// The caller.
    pub(crate) caller: Caller,
    /// Its connection.
    pub(crate) peer: Peer,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// What serves the request.
    pub(crate) target: Target,
    /// What to run.
    pub(crate) work: Work,
    /// Memory for what the caller has sent.
    pub(crate) _held: Held,
}

/// A step of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The next token.
    Token(String),
    /// The answer is complete.
    Done {
        /// `stop` or `length`.
        reason: String,
        /// Number of tokens used.
        usage: Usage,
    },
    /// A plain service's answer.
    Called {
        /// Its HTTP status.
        status: u16,
        /// Its body.
        body: Vec<u8>,
        /// Whether it is the recorded outcome of an earlier attempt.
        replayed: bool,
    },
    /// The request failed; no step follows.
    Failed(Failure),
}

/// Error of an attempt that ended without an answer or a failure sent by the
/// upstream daemon. The texts are labels of a metric.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
enum AttemptError {
    /// The daemon could not be reached; nothing was sent.
    #[error("unreachable")]
    Unreachable,
    /// No frame arrived for too long.
    #[error("silent")]
    Silent,
    /// The connection ended early.
    #[error("cut")]
    Disconnected,
    /// A frame was malformed, belonged to another request, or was out of order.
    #[error("crossed")]
    InvalidFrame,
}

struct Attempt {
    frames: Frames,
    address: String,
    _running: Option<InFlight>,
}

/// A request in progress.
pub(crate) struct Relay {
    entry: Rc<Entry>,
    job: Job,
    /// Upstreams of earlier attempts.
    tried: Vec<UpstreamId>,
    /// Those among them that refused, or could not be reached. An upstream whose
    /// answer only ended early may be tried again when there is no other.
    refused_by: Vec<UpstreamId>,
    /// Failure of the last attempt that was refused.
    last_refusal: Option<Failure>,
    attempts: u32,
    attempt: Option<Attempt>,
    upstream: String,
    /// Number of tokens sent to the caller; the next token has this offset.
    offset: u32,
    /// Whether an attempt may have run. Once set, no failure of this request may
    /// say "not run".
    may_have_run: bool,
}

impl Relay {
    /// Creates a relay that has made no attempt yet.
    pub(crate) fn new(entry: Rc<Entry>, job: Job) -> Relay {
        Relay {
            entry,
            job,
            tried: Vec::new(),
            refused_by: Vec::new(),
            last_refusal: None,
            attempts: 0,
            attempt: None,
            upstream: String::new(),
            offset: 0,
            may_have_run: false,
        }
    }

    /// Returns the name of the upstream of the latest attempt.
    pub(crate) fn upstream(&self) -> &str {
        &self.upstream
    }

    /// Returns the next step of the answer. Dropping the future between steps is
    /// harmless; dropping the relay cancels the request on every hop.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            if let Some(failure) = self.termination() {
                return self.fail(failure);
            }
            let result = match self.attempt.is_some() {
                true => self.read_frame().await,
                false => self.start_attempt().await.map(|()| None),
            };
            match result {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(failure) => return self.fail(failure),
            }
        }
    }

    /// Returns the failure of a request that must end now, whatever its upstream
    /// does.
    fn termination(&self) -> Option<Failure> {
        let config = self.entry.fleet.config();
        // A withdrawn key also stops running streams. Otherwise its holder could
        // read on until the answer ends.
        if config.keys.get(self.job.caller.key).is_none() {
            return Some(Failure::not_run(Code::KeyWithdrawn, "the access key was withdrawn"));
        }
        if self.remaining() == Span::ZERO {
            return Some(Failure::not_run(Code::Deadline, "the deadline has passed"));
        }
        None
    }

    /// Returns the time left until the deadline.
    fn remaining(&self) -> Span {
        self.job.deadline.since(clock::now())
    }

    /// Ends the request. The failure must not say "not run" if an attempt may have
    /// run.
    fn fail(&mut self, mut failure: Failure) -> Step {
        // An attempt that is ended here, by the deadline or a withdrawn key, may
        // still be running: its last frame has not arrived.
        self.may_have_run |= self.attempt.take().is_some();
        if failure.ran == Ran::NotRun && self.may_have_run {
            failure.ran = if self.offset > 0 { Ran::Ran } else { Ran::Unknown };
        }
        Step::Failed(failure)
    }

    /// Starts an attempt on an upstream that was not tried yet or, if there is
    /// none, on one that has not refused.
    async fn start_attempt(&mut self) -> Result<(), Failure> {
        if self.job.peer.has_left() {
            return Err(Failure::not_run(Code::NoUpstream, "the caller has left"));
        }
        let chosen = self.choose(&self.tried).or_else(|| self.choose(&self.refused_by));
        let Some(upstream) = chosen else {
            let failure = Failure::not_run(Code::NoUpstream, "no upstream can take the request");
            let mut failure = self.last_refusal.take().unwrap_or(failure);
            failure.retry_after.get_or_insert(BUSY_RETRY);
            return Err(failure);
        };
        if self.attempts == 0 {
            self.entry.routes.first_attempt();
        }
        self.attempts += 1;
        self.tried.push(upstream);
        let config = self.entry.fleet.config();
        let row = config.upstreams.get(upstream).expect("routing names existing rows");
        self.upstream = row.name.to_string();
        // An upstream may be declared before its host's daemon has joined.
        let Some((_, member)) = config.member(&row.host) else {
            return self.on_attempt_error(AttemptError::Unreachable, "");
        };
        let address = member.address.clone();
        match self.send(upstream, &address).await {
            Ok(frames) => {
                let running = self.entry.routes.begin(upstream);
                self.attempt = Some(Attempt { frames, address, _running: running });
                Ok(())
            }
            Err(error) => self.on_attempt_error(error, &address),
        }
    }

    /// Chooses an upstream for the target, other than those `tried`.
    fn choose(&self, tried: &[UpstreamId]) -> Option<UpstreamId> {
        match &self.job.target {
            Target::Model(version) => self.entry.routes.choose_for_model(*version, tried),
            Target::Service { name, .. } => self.entry.routes.choose_for_service(name, tried),
        }
    }

    /// Sends the request to an upstream daemon and returns the frames of its
    /// answer.
    async fn send(&mut self, upstream: UpstreamId, address: &str) -> Result<Frames, AttemptError> {
        let mut work = self.job.work.clone();
        if let Work::Generate { offset, .. } = &mut work {
            *offset = self.offset;
        }
        let run = Run {
            request: self.job.request,
            organisation: self.job.caller.organisation,
            number: self.job.caller.number,
            upstream,
            left: self.remaining(),
            work,
        };
        let body = rmp_serde::to_vec(&run).expect("an order serialises");
        let call = Call::post("/run", body);
        // A pooled connection may be dead already. Other work is retried, but a
        // call that runs at most once would count as lost, its outcome unknown.
        let sent = async {
            match self.runs_once() {
                true => self.entry.clients.send_unpooled(address, call).await,
                false => self.entry.clients.send(address, call).await,
            }
        };
        let silence = self.entry.settings.tuning.silence.into();
        match tokio::time::timeout(silence, sent).await {
            Ok(Ok(answer)) if answer.status().is_success() => {
                let bytes = Box::pin(answer.into_stream());
                let codec =
                    LengthDelimitedCodec::builder().max_frame_length(MAX_FRAME_BYTES).new_codec();
                Ok(Box::pin(FramedRead::new(StreamReader::new(bytes), codec)))
            }
            Ok(Ok(_)) => Err(AttemptError::Unreachable),
            Ok(Err(error)) if error.is_unsent() => Err(AttemptError::Unreachable),
            Ok(Err(_)) => Err(AttemptError::Disconnected),
            Err(_) => Err(AttemptError::Silent),
        }
    }

    /// Waits for the next frame of the current attempt.
    async fn read_frame(&mut self) -> Result<Option<Step>, Failure> {
        let silence = self.entry.settings.tuning.silence;
        let limit = silence.min(self.remaining());
        let attempt = self.attempt.as_mut().expect("listen follows begin");
        let address = attempt.address.clone();
        let frame = match tokio::time::timeout(limit.into(), attempt.frames.next()).await {
            // The deadline passed, not the silence limit: `next` ends the
            // request.
            Err(_) if limit < silence => return Ok(None),
            Err(_) => return self.on_attempt_error(AttemptError::Silent, &address).map(|()| None),
            Ok(None | Some(Err(_))) => {
                return self.on_attempt_error(AttemptError::Disconnected, &address).map(|()| None);
            }
            Ok(Some(Ok(bytes))) => rmp_serde::from_slice::<Frame>(&bytes),
        };
        // An answer that belongs to another request must not reach this caller.
        // A connection that delivered one cannot be trusted any more.
        match frame {
            Ok(frame) if frame.request == self.job.request => self.on_event(frame.event, &address),
            _ => self.on_attempt_error(AttemptError::InvalidFrame, &address).map(|()| None),
        }
    }

    fn on_event(&mut self, event: RunEvent, address: &str) -> Result<Option<Step>, Failure> {
        match event {
            RunEvent::Heartbeat => Ok(None),
            RunEvent::Started => {
                self.may_have_run = true;
                Ok(None)
            }
            RunEvent::Token { offset, .. } if offset < self.offset => Ok(None),
            RunEvent::Token { offset, .. } if offset > self.offset => {
                self.on_attempt_error(AttemptError::InvalidFrame, address).map(|()| None)
            }
            RunEvent::Token { text, .. } => {
                self.may_have_run = true;
                self.offset += 1;
                Ok(Some(Step::Token(text)))
            }
            RunEvent::Done { reason, usage } => {
                self.finish_attempt();
                Ok(Some(Step::Done { reason, usage }))
            }
            RunEvent::Called { status, body, replayed } => {
                self.finish_attempt();
                Ok(Some(Step::Called { status, body, replayed }))
            }
            RunEvent::Failed(failure) => self.on_failure(failure).map(|()| None),
        }
    }

    /// Ends the attempt after its last frame, and keeps its connection.
    fn finish_attempt(&mut self) {
        if let Some(Attempt { frames, .. }) = self.attempt.take() {
            actix_rt::spawn(body::drain(frames));
        }
    }

    /// Handles a failure sent by the upstream daemon. If it provably did not run
    /// the request, or the work may be repeated, another attempt may follow.
    fn on_failure(&mut self, failure: Failure) -> Result<(), Failure> {
        self.attempt = None;
        let elsewhere = matches!(
            failure.code,
            Code::Stopping
                | Code::NoUpstream
                | Code::Overloaded
                | Code::LoadFailed
                | Code::NoStanding
                | Code::UpstreamFailed
        );
        if failure.code == Code::LoadFailed
            && let (Target::Model(version), Some(&upstream)) = (&self.job.target, self.tried.last())
        {
            self.entry.routes.on_load_failed(upstream, *version);
        }
        let not_run = failure.ran == Ran::NotRun;
        if not_run {
            self.refused_by.extend(self.tried.last());
        }
        if elsewhere && self.may_retry(not_run) {
            self.count_retry(failure.code.as_str());
            self.last_refusal = Some(failure);
            return Ok(());
        }
        Err(failure)
    }

    /// Handles an attempt that ended without a failure from the upstream daemon.
    /// Generation continues on another upstream. A call that runs at most once is
    /// retried only if nothing was sent.
    fn on_attempt_error(&mut self, error: AttemptError, address: &str) -> Result<(), Failure> {
        self.attempt = None;
        self.entry.clients.forget(address);
        let not_run = error == AttemptError::Unreachable;
        if not_run {
            self.refused_by.extend(self.tried.last());
            self.tried.last().inspect(|&&upstream| self.entry.routes.on_unreachable(upstream));
        } else {
            self.may_have_run = true;
            if self.runs_once() {
                return Err(Failure {
                    code: Code::OutcomeUnknown,
                    ran: Ran::Unknown,
                    message: "the call may have run; repeat it with the same key to learn more"
                        .to_owned(),
                    retry_after: Some(BUSY_RETRY),
                });
            }
        }
        if !self.may_retry(not_run) {
            let message = format!("the upstream's daemon is {error}");
            let failure = Failure::not_run(Code::UpstreamFailed, message);
            return Err(failure.after(BUSY_RETRY));
        }
        self.count_retry(&error.to_string());
        Ok(())
    }

    /// Returns whether the request is a call that runs at most once.
    fn runs_once(&self) -> bool {
        matches!(self.job.target, Target::Service { once: true, .. })
    }

    /// Returns whether another attempt may follow one that failed.
    fn may_retry(&self, not_run: bool) -> bool {
        let kind = match &self.job.target {
            Target::Model(_) => Kind::Generate,
            Target::Service { once: false, .. } => Kind::Call,
            // A call that did not run has no claim yet.
            Target::Service { once: true, .. } if not_run => Kind::Call,
            Target::Service { once: true, .. } => Kind::Once,
        };
        let progress = match (self.offset, not_run) {
            (0, true) => Progress::NotRun,
            (0, false) => Progress::Sent,
            (offset, _) => Progress::Streaming { offset },
        };
        let left = self.attempts < self.entry.settings.tuning.attempts;
        left && self.entry.routes.may_retry(kind, progress)
    }

    fn count_retry(&self, reason: &str) {
        self.entry.metrics.retries.with_label_values(&[reason]).inc();
    }
}
