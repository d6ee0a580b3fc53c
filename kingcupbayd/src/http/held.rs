//! Memory for answers that are kept whole.
//!
//! An upstream, the store or another daemon may send bytes without end on many connections at
//! once. Each answer has a bound, and so have all of them together.

use std::{cell::Cell, rc::Rc};

/// Bytes of one answer that are held whatever the others hold, so that usual answers are read
/// while others have no end.
const FREE_BYTES: usize = 64 << 10;

/// Bytes beyond [`FREE_BYTES`] of all answers that are being read.
const HELD_MAX_BYTES: usize = 32 << 20;

/// Bytes of the answers that are being read, on all connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldAnswers {
    total: Rc<Cell<usize>>,
}

/// The part of one answer, released on drop.
#[derive(Debug)]
pub(crate) struct HeldAnswer {
    total: Rc<Cell<usize>>,
    counted: usize,
}

impl HeldAnswers {
    /// Begins to count an answer.
    pub(crate) fn begin(&self) -> HeldAnswer {
        HeldAnswer { total: self.total.clone(), counted: 0 }
    }
}

impl HeldAnswer {
    /// Counts that `length` bytes of the answer are held by now. Returns whether there is room
    /// for them.
    pub(crate) fn try_hold(&mut self, length: usize) -> bool {
        let counted = length.saturating_sub(FREE_BYTES);
        let total = self.total.get() - self.counted + counted;
        if total > HELD_MAX_BYTES {
            return false;
        }
        self.total.set(total);
        self.counted = counted;
        true
    }
}

impl Drop for HeldAnswer {
    fn drop(&mut self) {
        self.total.set(self.total.get() - self.counted);
    }
}
