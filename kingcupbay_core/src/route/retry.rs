//! Whether a request that failed on one upstream may go to another.

/// Part of a retry that each first attempt earns: retries add at most a
/// tenth to the load, however many upstreams fail.
const EARNED: u32 = 100;

/// Price of one retry, in the same unit.
const PRICE: u32 = 1_000;

/// Most retries saved up.
const SAVED: u32 = 20;

/// Kind of work, as far as repeating it goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkKind {
    /// Generation: repeating it costs time only.
    Generate,
    /// A call that may be repeated.
    Call,
    /// A call that runs at most once.
    Once,
}

/// How far a failed attempt came, as the entry can prove.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// It was refused as not run, or never sent.
    NotRun,
    /// It was sent; no byte of the answer has gone to the caller.
    Sent,
    /// The caller has the answer up to this token.
    Streaming {
        /// Tokens delivered.
        offset: u32,
    },
}

/// What may be done after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retry {
    /// Try another upstream from the start.
    Again,
    /// Try another upstream from this token on.
    Resume {
        /// Tokens delivered.
        offset: u32,
    },
    /// The work must not be tried again.
    Never,
    /// It might be, but retries have used up their part of the load.
    Spent,
}

/// Limits retries to a part of all requests, so that a failing fleet is not
/// brought down by its callers' second attempts.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: at most `SAVED * PRICE`.
    level: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { level: SAVED * PRICE }
    }
}

impl RetryBudget {
    /// Notes the first attempt of a request.
    pub fn record_first_attempt(&mut self) {
        self.level = (self.level + EARNED).min(SAVED * PRICE);
    }

    /// Decides on another attempt and takes its price.
    ///
    /// A once-only call is never tried again, also when it was refused as not
    /// run: its claim names the attempt, and the caller repeats it by key.
    pub fn retry(&mut self, work: WorkKind, progress: Progress) -> Retry {
        let retry = match (work, progress) {
            (WorkKind::Once, _) => return Retry::Never,
            (_, Progress::NotRun | Progress::Sent) => Retry::Again,
            // An answer that has begun is resumed whatever the budget: when a
            // zone goes, its streams break all at once, and there are never
            // more resumptions than there were streams.
            (WorkKind::Generate, Progress::Streaming { offset }) => {
                return Retry::Resume { offset };
            }
            (WorkKind::Call, Progress::Streaming { .. }) => return Retry::Never,
        };
        match self.level.checked_sub(PRICE) {
            Some(level) => {
                self.level = level;
                retry
            }
            None => Retry::Spent,
        }
    }
}
