//! One request on its way through upstream daemons.
//!
//! A relay yields the steps of the answer in order, whatever happens on the
//! way: it retries before the first token, resumes by offset after it, drops
//! frames that belong to another request, and tells a stream that went silent
//! from one that is merely slow by the heartbeats between daemons.

use std::{pin::Pin, rc::Rc};

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt, TryStreamExt};
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
    http::{body, client::never_left},
};

/// When to come back if every upstream refused: a load report takes about as
/// long to come in.
const BUSY_RETRY: Span = Span::from_secs(1);

/// Longest frame: a plain service's answer may be a megabyte or so.
const FRAME_LIMIT: usize = 8 << 20;

type Frames = Pin<Box<dyn Stream<Item = std::io::Result<BytesMut>>>>;

/// What serves a request.
#[derive(Clone, Debug)]
pub(crate) enum Target {
    /// An adapter version.
    Model(VersionId),
    /// A plain service.
    Service {
        /// The service.
        name: Name,
        /// Whether the call runs at most once.
        once: bool,
    },
}

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    /// Its identity on every hop.
    pub(crate) request: RequestId,
    /// Who asks.
    pub(crate) caller: Caller,
    /// When the caller stops waiting.
    pub(crate) deadline: Instant,
    /// What serves it.
    pub(crate) target: Target,
    /// What to run.
    pub(crate) work: Work,
}

/// A step of an answer.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// The next token.
    Token(String),
    /// The answer is whole.
    Done {
        /// `stop` or `length`.
        reason: String,
        /// Tokens counted.
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

/// Why an attempt ended without an answer or a failure of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Error)]
enum Broken {
    /// The daemon could not be reached; nothing was sent.
    #[error("unreachable")]
    Unreachable,
    /// Nothing came for too long.
    #[error("silent")]
    Silent,
    /// The connection ended early.
    #[error("cut")]
    Cut,
    /// A frame was malformed, of another request, or out of order.
    #[error("crossed")]
    Crossed,
}

struct Attempt {
    frames: Frames,
    address: String,
    _running: Option<InFlight>,
}

/// A request on its way.
pub(crate) struct Relay {
    entry: Rc<Entry>,
    job: Job,
    /// Upstreams of earlier attempts.
    tried: Vec<UpstreamId>,
    /// Those among them that refused, or could not be reached. An upstream
    /// that only broke off may be tried again when there is no other.
    refused: Vec<UpstreamId>,
    /// Why the last attempt was refused.
    refusal: Option<Failure>,
    attempts: u32,
    attempt: Option<Attempt>,
    upstream: String,
    /// Tokens that went to the caller; the next one has this offset.
    offset: u32,
    /// Whether an attempt may have run. Once set, no failure of this request
    /// may say "not run".
    reached: bool,
}

impl Relay {
    /// A relay that has not begun.
    pub(crate) fn new(entry: Rc<Entry>, job: Job) -> Relay {
        Relay {
            entry,
            job,
            tried: Vec::new(),
            refused: Vec::new(),
            refusal: None,
            attempts: 0,
            attempt: None,
            upstream: String::new(),
            offset: 0,
            reached: false,
        }
    }

    /// The upstream of the latest attempt.
    pub(crate) fn upstream(&self) -> &str {
        &self.upstream
    }

    /// The next step of the answer. Dropping the future between steps is
    /// harmless; dropping the relay cancels the request on every hop.
    pub(crate) async fn next(&mut self) -> Step {
        loop {
            if let Some(failure) = self.ended() {
                return self.failed(failure);
            }
            let result = match self.attempt.is_some() {
                true => self.listen().await,
                false => self.begin().await.map(|()| None),
            };
            match result {
                Ok(Some(step)) => return step,
                Ok(None) => {}
                Err(failure) => return self.failed(failure),
            }
        }
    }

    /// Whether the request must end now, whatever its upstream does.
    fn ended(&self) -> Option<Failure> {
        let config = self.entry.fleet.config();
        // A withdrawn key stops its running streams too: whoever holds the
        // key would go on reading for as long as an answer lasts.
        if config.keys.get(self.job.caller.key).is_none() {
            return Some(Failure::not_run(Code::KeyWithdrawn, "the access key was withdrawn"));
        }
        if self.left() == Span::ZERO {
            return Some(Failure::not_run(Code::Deadline, "the deadline has passed"));
        }
        None
    }

    fn left(&self) -> Span {
        self.job.deadline.since(clock::now())
    }

    fn failed(&mut self, mut failure: Failure) -> Step {
        // An attempt that is cut off here, by the deadline or a withdrawn
        // key, may be running: its last word has not come.
        self.reached |= self.attempt.take().is_some();
        if failure.ran == Ran::NotRun && self.reached {
            failure.ran = if self.offset > 0 { Ran::Ran } else { Ran::Unknown };
        }
        Step::Failed(failure)
    }

    /// Starts an attempt on an upstream that was not tried yet.
    async fn begin(&mut self) -> Result<(), Failure> {
        let chosen = self.choose(&self.tried).or_else(|| self.choose(&self.refused));
        let Some(upstream) = chosen else {
            let failure = Failure::not_run(Code::NoUpstream, "no upstream can take the request");
            let mut failure = self.refusal.take().unwrap_or(failure);
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
            return self.broken(Broken::Unreachable, "");
        };
        let address = member.address.clone();
        match self.send(upstream, &address).await {
            Ok(frames) => {
                let running = self.entry.routes.begin(upstream);
                self.attempt = Some(Attempt { frames, address, _running: running });
                Ok(())
            }
            Err(broken) => self.broken(broken, &address),
        }
    }

    fn choose(&self, tried: &[UpstreamId]) -> Option<UpstreamId> {
        match &self.job.target {
            Target::Model(version) => self.entry.routes.model(*version, tried),
            Target::Service { name, .. } => self.entry.routes.service(name, tried),
        }
    }

    async fn send(&mut self, upstream: UpstreamId, address: &str) -> Result<Frames, Broken> {
        let mut work = self.job.work.clone();
        if let Work::Generate { offset, .. } = &mut work {
            *offset = self.offset;
        }
        let run = Run {
            request: self.job.request,
            organisation: self.job.caller.organisation,
            number: self.job.caller.number,
            upstream,
            left: self.left(),
            work,
        };
        let body = rmp_serde::to_vec(&run).expect("an order serialises");
        let url = format!("http://{address}/run");
        // A pooled connection may be dead already. Other work is tried again;
        // this call would count as lost, with nobody able to say otherwise.
        let client = match self.once() {
            true => self.entry.clients.unpooled(),
            false => self.entry.clients.get(address),
        };
        let sent = client.post(url).send_body(Bytes::from(body));
        let silence = self.entry.settings.tuning.silence.into();
        match tokio::time::timeout(silence, sent).await {
            Ok(Ok(response)) if response.status().is_success() => {
                let bytes = response.map_err(std::io::Error::other);
                let codec =
                    LengthDelimitedCodec::builder().max_frame_length(FRAME_LIMIT).new_codec();
                Ok(Box::pin(FramedRead::new(StreamReader::new(bytes), codec)))
            }
            Ok(Ok(_)) => Err(Broken::Unreachable),
            Ok(Err(error)) if never_left(&error) => Err(Broken::Unreachable),
            Ok(Err(_)) => Err(Broken::Cut),
            Err(_) => Err(Broken::Silent),
        }
    }

    /// Waits for the next frame of the present attempt.
    async fn listen(&mut self) -> Result<Option<Step>, Failure> {
        let silence = self.entry.settings.tuning.silence;
        let limit = silence.min(self.left());
        let attempt = self.attempt.as_mut().expect("listen follows begin");
        let address = attempt.address.clone();
        let frame = match tokio::time::timeout(limit.into(), attempt.frames.next()).await {
            // The deadline, not the silence: the loop ends the request.
            Err(_) if limit < silence => return Ok(None),
            Err(_) => return self.broken(Broken::Silent, &address).map(|()| None),
            Ok(None | Some(Err(_))) => return self.broken(Broken::Cut, &address).map(|()| None),
            Ok(Some(Ok(bytes))) => rmp_serde::from_slice::<Frame>(&bytes),
        };
        // An answer that belongs to another request must not reach this
        // caller; where one came, the connection cannot be trusted further.
        match frame {
            Ok(frame) if frame.request == self.job.request => self.on_event(frame.event, &address),
            _ => self.broken(Broken::Crossed, &address).map(|()| None),
        }
    }

    fn on_event(&mut self, event: RunEvent, address: &str) -> Result<Option<Step>, Failure> {
        match event {
            RunEvent::Heartbeat => Ok(None),
            RunEvent::Started => {
                self.reached = true;
                Ok(None)
            }
            RunEvent::Token { offset, .. } if offset < self.offset => Ok(None),
            RunEvent::Token { offset, .. } if offset > self.offset => {
                self.broken(Broken::Crossed, address).map(|()| None)
            }
            RunEvent::Token { text, .. } => {
                self.reached = true;
                self.offset += 1;
                Ok(Some(Step::Token(text)))
            }
            RunEvent::Done { reason, usage } => {
                self.release();
                Ok(Some(Step::Done { reason, usage }))
            }
            RunEvent::Called { status, body, replayed } => {
                self.release();
                Ok(Some(Step::Called { status, body, replayed }))
            }
            RunEvent::Failed(failure) => self.refused(failure).map(|()| None),
        }
    }

    /// Ends the attempt whose last frame came, and keeps its connection.
    fn release(&mut self) {
        if let Some(Attempt { frames, .. }) = self.attempt.take() {
            actix_rt::spawn(body::exhaust(frames));
        }
    }

    /// The upstream daemon gave a reason. Where it provably did not run the
    /// request, another upstream may.
    fn refused(&mut self, failure: Failure) -> Result<(), Failure> {
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
            self.refused.extend(self.tried.last());
        }
        if elsewhere && self.may_retry(not_run) {
            self.count_retry(failure.code.as_str());
            self.refusal = Some(failure);
            return Ok(());
        }
        Err(failure)
    }

    /// The attempt ended without a word. Generation goes on elsewhere; a call
    /// that must not run twice does so only when nothing was sent.
    fn broken(&mut self, broken: Broken, address: &str) -> Result<(), Failure> {
        self.attempt = None;
        self.entry.clients.forget(address);
        let not_run = broken == Broken::Unreachable;
        if not_run {
            self.refused.extend(self.tried.last());
            self.tried.last().inspect(|&&upstream| self.entry.routes.on_unreachable(upstream));
        } else {
            self.reached = true;
            if self.once() {
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
            let message = format!("the upstream's daemon is {broken}");
            let failure = Failure::not_run(Code::UpstreamFailed, message);
            return Err(failure.after(BUSY_RETRY));
        }
        self.count_retry(&broken.to_string());
        Ok(())
    }

    fn once(&self) -> bool {
        matches!(self.job.target, Target::Service { once: true, .. })
    }

    /// Whether another attempt may follow one that failed.
    fn may_retry(&self, not_run: bool) -> bool {
        let kind = match &self.job.target {
            Target::Model(_) => Kind::Generate,
            Target::Service { once: false, .. } => Kind::Call,
            // Nothing was claimed yet where nothing was run.
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
