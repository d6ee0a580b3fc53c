//! Requests that a daemon is working on, for its state dump.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write as _, rc::Rc};

use kingcupbay_core::{id::RequestId, time::Instant};

/// State of one request as the dump shows it.
#[derive(Clone, Debug)]
struct Row {
    organisation: String,
    model: String,
    upstream: String,
    began: Instant,
    tokens: u32,
}

type Rows = Rc<RefCell<BTreeMap<RequestId, Row>>>;

/// All requests that this daemon is working on.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequests {
    rows: Rows,
}

/// A listed request; dropping it removes it from the list.
pub(crate) struct ActiveGuard {
    request: RequestId,
    rows: Rows,
}

impl ActiveRequests {
    /// Adds a request to the list until the guard is dropped.
    pub(crate) fn enter(
        &self,
        request: RequestId,
        organisation: &str,
        model: &str,
        began: Instant,
    ) -> ActiveGuard {
        let row = Row {
            organisation: organisation.to_owned(),
            model: model.to_owned(),
            upstream: String::new(),
            began,
            tokens: 0,
        };
        self.rows.borrow_mut().insert(request, row);
        ActiveGuard { request, rows: self.rows.clone() }
    }

    /// Returns one line for each request, in the order of their ids.
    pub(crate) fn dump(&self, now: Instant) -> String {
        let mut out = String::new();
        for (request, row) in self.rows.borrow().iter() {
            let _ = writeln!(
                out,
                "request={request} organisation={} model={} upstream={} age_ms={} tokens={}",
                row.organisation,
                row.model,
                row.upstream,
                now.since(row.began).as_millis(),
                row.tokens,
            );
        }
        out
    }
}

impl ActiveGuard {
    /// Records the upstream that runs the request.
    pub(crate) fn on_upstream(&self, upstream: &str) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&self.request)
            && row.upstream != upstream
        {
            upstream.clone_into(&mut row.upstream);
        }
    }

    /// Records the number of tokens of the request so far.
    pub(crate) fn on_tokens(&self, tokens: u32) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&self.request) {
            row.tokens = tokens;
        }
    }
}

impl Drop for ActiveGuard {
    fn drop(&mut self) {
        self.rows.borrow_mut().remove(&self.request);
    }
}
