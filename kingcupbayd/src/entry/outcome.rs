//! Final log line and metrics of each request.

use std::rc::Rc;

use kingcupbay_core::{
    id::RequestId,
    time::{Instant, Span},
    wire::{engine::Usage, error::Failure},
};
use slog::{Logger, info, warn};

use super::{Entry, admission::Caller};
use crate::{active::ActiveGuard, clock, metrics::Metrics};

/// Log state of a request between its admission and its end.
///
/// Invariant: exactly one final line is logged, by [`RequestLog::close`] or by
/// the drop, which means that the caller has disconnected.
pub(crate) struct RequestLog {
    request: RequestId,
    caller: Caller,
    model: String,
    upstream: String,
    started: Instant,
    first_token: Option<Span>,
    last_token: Instant,
    tokens: u32,
    usage: Usage,
    unlogged: bool,
    entered: ActiveGuard,
    metrics: Rc<Metrics>,
    log: Logger,
}

/// A refused request, with the name of its organisation if that is known.
pub(crate) struct Refusal {
    /// Name of the organisation; empty if the caller was not authenticated.
    organisation: String,
    failure: Failure,
}

impl Refusal {
    /// Creates the refusal of a request of a known caller.
    pub(crate) fn of(caller: &Caller, failure: Failure) -> Refusal {
        Refusal { organisation: caller.name.clone(), failure }
    }

    /// Writes the final log line, counts the refusal, and returns the failure.
    pub(crate) fn close(self, metrics: &Metrics, log: &Logger) -> Failure {
        let code = self.failure.code.as_str();
        metrics.requests.with_label_values(&[self.organisation.as_str(), code]).inc();
        info!(log, ""; "event" => "refused", "organisation" => self.organisation,
            "outcome" => code, "retry_after_ms" => self.failure.retry_after.map_or(0, Span::as_millis));
        self.failure
    }
}

impl From<Failure> for Refusal {
    fn from(failure: Failure) -> Refusal {
        Refusal { organisation: String::new(), failure }
    }
}

/// How a request ended.
#[derive(Clone, Debug)]
pub(crate) enum Ending {
    /// The whole answer was sent.
    Complete(Usage),
    /// The request failed, and the failure was sent to the caller.
    Failed(Failure),
}

impl RequestLog {
    /// Starts the log of a request that has just been admitted.
    pub(crate) fn open(
        request: RequestId,
        caller: Caller,
        model: String,
        entry: &Entry,
    ) -> RequestLog {
        entry.metrics.streams.inc();
        let started = clock::now();
        let entered = entry.active.enter(request, &caller.name, &model, started);
        RequestLog {
            request,
            caller,
            model,
            upstream: String::new(),
            started,
            first_token: None,
            last_token: started,
            tokens: 0,
            usage: Usage::default(),
            unlogged: true,
            entered,
            metrics: entry.metrics.clone(),
            log: entry.log.clone(),
        }
    }

    /// Sets the upstream of the current attempt.
    pub(crate) fn on_attempt(&mut self, upstream: &str) {
        if self.upstream != upstream {
            upstream.clone_into(&mut self.upstream);
            self.entered.on_upstream(upstream);
        }
    }

    /// Counts one token sent to the caller.
    pub(crate) fn on_token(&mut self) {
        let now = clock::now();
        let pause = now.since(self.last_token).as_secs_f64();
        match self.first_token {
            Some(_) => self.metrics.gap.observe(pause),
            None => {
                self.first_token = Some(now.since(self.started));
                let labels = [self.caller.name.as_str()];
                self.metrics.first_token.with_label_values(&labels).observe(pause);
            }
        }
        self.last_token = now;
        self.tokens += 1;
        self.entered.on_tokens(self.tokens);
        self.metrics.tokens.inc();
    }

    /// Writes the final log line.
    pub(crate) fn close(&mut self, ending: &Ending) {
        match ending {
            Ending::Complete(usage) => {
                self.usage = *usage;
                self.log_end("ok");
            }
            Ending::Failed(failure) => {
                if self.tokens > 0 {
                    self.count_undelivered();
                }
                self.log_end(failure.code.as_str());
            }
        }
    }

    /// Counts and logs an answer that was not delivered whole.
    fn count_undelivered(&self) {
        self.metrics.undelivered.with_label_values(&[self.caller.name.as_str()]).inc();
        warn!(self.log, ""; "event" => "undelivered", "request" => %self.request,
            "organisation" => &self.caller.name, "model" => &self.model,
            "upstream" => &self.upstream, "tokens" => self.tokens);
    }

    /// Writes the final log line, unless it was written already.
    fn log_end(&mut self, outcome: &str) {
        if !std::mem::replace(&mut self.unlogged, false) {
            return;
        }
        self.metrics.streams.dec();
        self.metrics.requests.with_label_values(&[self.caller.name.as_str(), outcome]).inc();
        let (adapter, version) = self.model.split_once('@').unwrap_or((&self.model, ""));
        info!(self.log, ""; "event" => "request", "request" => %self.request,
            "organisation" => &self.caller.name, "adapter" => adapter, "version" => version,
            "upstream" => &self.upstream, "outcome" => outcome, "tokens" => self.tokens,
            "prompt_tokens" => self.usage.prompt_tokens, "number" => self.caller.number.0,
            "first_ms" => self.first_token.map_or(0, Span::as_millis),
            "total_ms" => clock::now().since(self.started).as_millis());
    }
}

impl Drop for RequestLog {
    fn drop(&mut self) {
        if self.unlogged {
            self.count_undelivered();
            self.log_end("caller_left");
        }
    }
}
