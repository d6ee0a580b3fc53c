//! The closing line of each request, and what the metrics learn from it.

use std::rc::Rc;

use kingcupbay_core::{
    id::RequestId,
    time::{Instant, Span},
    wire::{engine::Usage, error::Failure},
};
use slog::{Logger, info, warn};

use super::{Entry, admission::Caller};
use crate::{active::ActiveGuard, clock, metrics::Metrics};

/// A request between its admission and its end.
///
/// Invariant: exactly one closing line is logged, by [`Account::close`] or by
/// the drop, which means that the caller has left.
pub(crate) struct Account {
    request: RequestId,
    caller: Caller,
    model: String,
    upstream: String,
    began: Instant,
    first: Option<Span>,
    last: Instant,
    tokens: u32,
    usage: Usage,
    open: bool,
    entered: ActiveGuard,
    metrics: Rc<Metrics>,
    log: Logger,
}

/// A request that was not admitted, with what is known of its caller.
pub(crate) struct Refusal {
    /// Name of the organisation; empty where the key told none.
    organisation: String,
    failure: Failure,
}

impl Refusal {
    /// A refusal of a caller who is known.
    pub(crate) fn of(caller: &Caller, failure: Failure) -> Refusal {
        Refusal { organisation: caller.name.clone(), failure }
    }

    /// Writes the closing line, counts the refusal, and hands the failure out.
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
    /// The answer is whole.
    Whole(Usage),
    /// The request failed, and the caller was told.
    Failed(Failure),
}

impl Account {
    /// A request that has just been admitted.
    pub(crate) fn open(
        request: RequestId,
        caller: Caller,
        model: String,
        entry: &Entry,
    ) -> Account {
        entry.metrics.streams.inc();
        let began = clock::now();
        let entered = entry.active.enter(request, &caller.name, &model, began);
        Account {
            request,
            caller,
            model,
            upstream: String::new(),
            began,
            first: None,
            last: began,
            tokens: 0,
            usage: Usage::default(),
            open: true,
            entered,
            metrics: entry.metrics.clone(),
            log: entry.log.clone(),
        }
    }

    /// Names the upstream of the present attempt.
    pub(crate) fn on_attempt(&mut self, upstream: &str) {
        if self.upstream != upstream {
            upstream.clone_into(&mut self.upstream);
            self.entered.on_upstream(upstream);
        }
    }

    /// One token went to the caller.
    pub(crate) fn on_token(&mut self) {
        let now = clock::now();
        let gap = now.since(self.last).as_secs_f64();
        match self.first {
            Some(_) => self.metrics.gap.observe(gap),
            None => {
                self.first = Some(now.since(self.began));
                let labels = [self.caller.name.as_str()];
                self.metrics.first_token.with_label_values(&labels).observe(gap);
            }
        }
        self.last = now;
        self.tokens += 1;
        self.entered.on_tokens(self.tokens);
        self.metrics.tokens.inc();
    }

    /// Writes the closing line.
    pub(crate) fn close(&mut self, ending: &Ending) {
        match ending {
            Ending::Whole(usage) => {
                self.usage = *usage;
                self.finish("ok");
            }
            Ending::Failed(failure) => {
                if self.tokens > 0 {
                    self.count_undelivered();
                }
                self.finish(failure.code.as_str());
            }
        }
    }

    fn count_undelivered(&self) {
        self.metrics.undelivered.with_label_values(&[self.caller.name.as_str()]).inc();
        warn!(self.log, ""; "event" => "undelivered", "request" => %self.request,
            "organisation" => &self.caller.name, "model" => &self.model,
            "upstream" => &self.upstream, "tokens" => self.tokens);
    }

    fn finish(&mut self, outcome: &str) {
        if !std::mem::replace(&mut self.open, false) {
            return;
        }
        self.metrics.streams.dec();
        self.metrics.requests.with_label_values(&[self.caller.name.as_str(), outcome]).inc();
        let (adapter, version) = self.model.split_once('@').unwrap_or((&self.model, ""));
        info!(self.log, ""; "event" => "request", "request" => %self.request,
            "organisation" => &self.caller.name, "adapter" => adapter, "version" => version,
            "upstream" => &self.upstream, "outcome" => outcome, "tokens" => self.tokens,
            "prompt_tokens" => self.usage.prompt_tokens, "number" => self.caller.number.0,
            "first_ms" => self.first.map_or(0, Span::as_millis),
            "total_ms" => clock::now().since(self.began).as_millis());
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        if self.open {
            self.count_undelivered();
            self.finish("caller_left");
        }
    }
}
