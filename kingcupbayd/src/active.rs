//! Requests that a daemon works on now, for its state dump.

use std::{cell::RefCell, collections::BTreeMap, fmt::Write as _, rc::Rc};

use kingcupbay_core::{id::RequestId, time::Instant};

/// What a dump shows of one request.
#[derive(Clone, Debug)]
struct Row {
    organisation: String,
    model: String,
    upstream: String,
    began: Instant,
    tokens: u32,
}

type Rows = Rc<RefCell<BTreeMap<RequestId, Row>>>;

/// Every request that this daemon works on.
#[derive(Clone, Default)]
pub(crate) struct ActiveRequests {
    rows: Rows,
}

/// One request; its drop takes it off the list.
pub(crate) struct ActiveGuard {
    request: RequestId,
    rows: Rows,
}

impl ActiveRequests {
    /// Puts a request on the list until the guard is dropped.
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

    /// One line for each request, in the order of their ids.
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
    /// Names the upstream that has the request.
    pub(crate) fn on_upstream(&self, upstream: &str) {
        if let Some(row) = self.rows.borrow_mut().get_mut(&self.request)
            && row.upstream != upstream
        {
            upstream.clone_into(&mut row.upstream);
        }
    }

    /// Counts the tokens of the request.
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
