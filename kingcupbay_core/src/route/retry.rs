//! Retry budget for requests that failed on one upstream.

/// Credit that each first attempt adds to the budget, in thousandths of a retry.
/// It limits retries to a tenth of the load, however many upstreams fail.
const CREDIT_PER_REQUEST: u32 = 100;

/// Credit that one retry costs, in thousandths of a retry.
const RETRY_COST: u32 = 1_000;

/// Maximum number of retries for which credit accumulates.
const MAX_SAVED_RETRIES: u32 = 20;

/// The kind of a request, which decides whether it may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// A generation; repeating it only costs time.
    Generate,
    /// A service call that may be repeated.
    Call,
    /// A service call that must run at most once.
    Once,
}

/// The progress of a failed attempt, as far as the entry can prove it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// The request was refused as not run, or never sent.
    NotRun,
    /// The request was sent, but no byte of the answer was delivered to the caller.
    Sent,
    /// The answer was delivered to the caller up to this token.
    Streaming {
        /// Number of tokens delivered.
        offset: u32,
    },
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Retry on another upstream from the start.
    Again,
    /// Continue on another upstream after the tokens already delivered.
    Resume {
        /// Number of tokens delivered.
        offset: u32,
    },
    /// The request must not be retried.
    Never,
    /// The request could be retried, but the retry budget is used up.
    Spent,
}

/// A budget that limits retries to a share of all requests, so that retries do
/// not overload a fleet that is already failing.
#[derive(Debug)]
pub struct RetryBudget {
    /// Available credit in thousandths of a retry. Invariant: at most
    /// `MAX_SAVED_RETRIES * RETRY_COST`.
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { credit: MAX_SAVED_RETRIES * RETRY_COST }
    }
}

impl RetryBudget {
    /// Records the first attempt of a request, which adds credit.
    pub fn record_first_attempt(&mut self) {
        self.credit = (self.credit + CREDIT_PER_REQUEST).min(MAX_SAVED_RETRIES * RETRY_COST);
    }

    /// Decides whether a failed attempt is retried, and charges the retry.
    ///
    /// [`WorkKind::Once`] is never retried, even if the attempt was refused as not
    /// run: the claim is bound to the attempt, and the caller repeats the call with
    /// its idempotency key. If nothing was claimed, pass [`WorkKind::Call`].
    pub fn retry(&mut self, work: WorkKind, progress: Progress) -> Retry {
        let retry = match (work, progress) {
            (WorkKind::Once, _) => return Retry::Never,
            (_, Progress::NotRun | Progress::Sent) => Retry::Again,
            // An answer that has begun is resumed regardless of the budget: when a
            // zone fails, all of its streams break at the same time, and there are
            // never more resumptions than there were streams.
            (WorkKind::Generate, Progress::Streaming { offset }) => {
                return Retry::Resume { offset };
            }
            (WorkKind::Call, Progress::Streaming { .. }) => return Retry::Never,
        };
        match self.credit.checked_sub(RETRY_COST) {
            Some(credit) => {
                self.credit = credit;
                retry
            }
            None => Retry::Spent,
        }
    }
}
