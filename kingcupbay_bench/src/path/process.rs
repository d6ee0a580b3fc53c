//! What a process has used, as the kernel counts it.

use std::fs;

use kingcupbay_core::time::Span;

/// Kernel ticks a second: fixed at 100 for user programs on Linux.
const TICKS: u64 = 100;

/// Bytes of a page.
const PAGE: u64 = 4_096;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time, user and system.
    pub(super) time: Span,
    /// Resident bytes; a difference never falls below zero.
    pub(super) memory: u64,
}

impl Usage {
    /// What process `id` has used so far; zero when there is none.
    pub(super) fn read(id: u32) -> Usage {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The name in parentheses may hold spaces; the fields begin behind it.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let ticks = number(11) + number(12);
        Usage { time: Span::from_micros(ticks * 1_000_000 / TICKS), memory: number(21) * PAGE }
    }

    /// What was used since `earlier`.
    pub(super) fn since(self, earlier: Usage) -> Usage {
        Usage {
            time: self.time.saturating_sub(earlier.time),
            memory: self.memory.saturating_sub(earlier.memory),
        }
    }

    /// Both together.
    pub(super) fn plus(self, other: Usage) -> Usage {
        Usage { time: self.time + other.time, memory: self.memory + other.memory }
    }
}
