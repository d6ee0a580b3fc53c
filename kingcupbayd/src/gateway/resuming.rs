//! Goes on with a stream at another engine if its engine is silent or fails.

use kingcupbay_core::{
    health::Exchange,
    time::{Instant, Span},
};
use slog::{info, warn};

use crate::{
    clock,
    gateway::{
        generate::{self, StartPoint, Started},
        reply::Refusal,
        stream::{EVENT_TIMEOUT, Relay},
    },
    http::link::LinkError,
    registered::parts,
};

/// Time, as a multiple of the latency target, for which another engine is looked for once one
/// has failed in the middle of a stream.
const RESUME_TIME_FACTOR: u64 = 2;

/// Pause between two searches for another engine once one has failed.
const RESUME_PAUSE: Span = Span::from_millis(100);

impl Relay {
    /// Looks for another engine that resumes the stream after the last whole event, once an
    /// engine has failed with `error`. Returns that error if this is not possible.
    pub(super) async fn resume(&mut self, error: LinkError) -> Result<(), LinkError> {
        let now = clock::now();
        let gateway = self.job.gateway.clone();
        let remaining = self.job.remaining();
        gateway.health.borrow_mut().on_exchange(now, &self.instance.id, Exchange::Failed);
        warn!(gateway.node.log, ""; "event" => "broke_off", "request" => &self.job.metadata.attempt,
            "upstream" => &self.instance.id, "last_event" => self.last_event,
            "error" => %error, "left_ms" => remaining.as_millis());
        self.link = None;
        self.permit = None;
        self.partial.clear();
        self.waiting = Some(now);
        let began = Some(self.answered);
        let may_go_on = self.search.is_some()
            || (parts::on_cut(&self.job, &self.instance, &error, began).await
                && self.begin_search());
        if !may_go_on || remaining == Span::ZERO {
            gateway.metrics.on_broken(&self.job.route.name);
            return Err(error);
        }
        self.cut = Some(error);
        Ok(())
    }

    /// Looks for another engine while the one of now is silent. Its connection stays open: the
    /// stream goes on at the engine that writes first.
    pub(super) fn on_silence(&mut self) {
        let now = clock::now();
        if self.waiting.is_none() {
            self.waiting = Some(now);
            let gateway = &self.job.gateway;
            gateway.health.borrow_mut().on_silence(now, &self.instance.id);
            gateway.metrics.on_silence("stream");
            warn!(gateway.node.log, ""; "event" => "silent",
                "request" => &self.job.metadata.attempt, "upstream" => &self.instance.id,
                "last_event" => self.last_event, "left_ms" => self.job.remaining().as_millis());
        }
        self.begin_search();
    }

    /// Looks for another engine that resumes the stream. Returns whether one may.
    fn begin_search(&mut self) -> bool {
        let Some(eligible) = self.eligible().filter(|_| self.may_resume()) else { return false };
        let point = StartPoint {
            last_event: self.last_event,
            eligible,
            since: clock::now(),
            is_speculative: self.link.is_some(),
        };
        let (job, service) = (self.job.clone(), self.service.clone());
        let tried = self.tried.clone();
        self.movable = None;
        let search = async move { generate::start(&job, &service, &tried, point).await };
        self.search = Some(Box::pin(search));
        true
    }

    /// Ends the search for another engine, as the one of now has sent whole events; `before` is
    /// when the ones before were forwarded. Bytes of an event without an end are a silence.
    pub(super) fn on_events(&mut self, before: Instant) {
        let now = clock::now();
        self.search_at = now + EVENT_TIMEOUT;
        if self.waiting.take().is_none() {
            return;
        }
        (self.search, self.search_pause) = (None, generate::SEARCH_PAUSE);
        let gateway = &self.job.gateway;
        gateway.health.borrow_mut().on_exchange(now, &self.instance.id, Exchange::Succeeded);
        gateway.metrics.on_silence("went_on");
        info!(gateway.node.log, ""; "event" => "went_on",
            "request" => &self.job.metadata.attempt, "upstream" => &self.instance.id,
            "last_event" => self.last_event, "ms" => now.since(before).as_millis());
        self.watch();
    }

    /// Goes on at the engine that was found.
    pub(super) fn on_found(
        &mut self,
        found: Result<Box<Started>, Refusal>,
    ) -> Result<(), LinkError> {
        self.search = None;
        let Started { instance, answer, permit, version } = match found {
            Ok(started) if started.is_success() => *started,
            found => return self.on_not_found(found.ok()),
        };
        let gateway = &self.job.gateway;
        gateway.metrics.on_resumed();
        info!(gateway.node.log, ""; "event" => "resumed",
            "request" => &self.job.metadata.attempt, "upstream" => &instance.id,
            "software" => &instance.software, "last_event" => self.last_event);
        if self.cut.take().is_none() {
            gateway.metrics.on_silence("replaced");
        }
        (self.waiting, self.search_pause) = (None, generate::SEARCH_PAUSE);
        self.partial.clear();
        self.instance = instance;
        self.set_answer(answer);
        self.permit = permit;
        self.version = version;
        self.watch();
        Ok(())
    }

    /// Waits for the engine of now after a search in vain, which may have found one that answers
    /// with a failure. If the one of now has failed, fails once its caller has waited too long.
    fn on_not_found(&mut self, failure: Option<Box<Started>>) -> Result<(), LinkError> {
        let now = clock::now();
        let gateway = self.job.gateway.clone();
        let why = self.tried.end.get().as_str();
        gateway.metrics.on_not_resumed(why);
        let waited = now.since(self.waiting.unwrap_or(now));
        let may_search = self.may_resume() && self.job.remaining() > Span::ZERO;
        if self.cut.is_none() || (may_search && waited < self.resume_time()) {
            let pause = if self.cut.is_none() { self.search_pause } else { RESUME_PAUSE };
            self.search_at = now + pause;
            self.search_pause = generate::next_pause(self.search_pause);
            return Ok(());
        }
        warn!(gateway.node.log, ""; "event" => "not_resumed",
            "request" => &self.job.metadata.attempt, "why" => why,
            "status" => failure.map(|started| started.answer.head.status.as_u16()),
            "sends" => self.tried.sends.get(), "waited_ms" => waited.as_millis());
        gateway.metrics.on_broken(&self.job.route.name);
        Err(self.cut.take().unwrap_or(LinkError::Early))
    }

    /// Returns how long another engine is looked for once one has failed.
    fn resume_time(&self) -> Span {
        Span::from_micros(self.job.route.latency_target.as_micros() * RESUME_TIME_FACTOR)
    }
}
