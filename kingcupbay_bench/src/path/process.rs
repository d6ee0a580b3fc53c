//! Reads the resource usage of a process from the kernel.

use std::fs;

use kingcupbay_core::time::Span;

/// Clock ticks per second: fixed at 100 for user programs on Linux.
const TICKS_PER_SECOND: u64 = 100;

/// Size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// Processor time and memory of one process.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Usage {
    /// Processor time, user and system.
    pub(super) time: Span,
    /// Resident bytes; a difference is at least 0.
    pub(super) memory: u64,
}

impl Usage {
    /// Reads the usage of process `id`; zero if there is no such process.
    pub(super) fn read(id: u32) -> Usage {
        let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
        // The process name in parentheses may contain spaces; fields follow it.
        let fields: Vec<&str> = stat.rsplit(')').next().unwrap_or("").split_whitespace().collect();
        let number = |at: usize| fields.get(at).and_then(|text| text.parse().ok()).unwrap_or(0u64);
        let ticks = number(11) + number(12);
        Usage {
            time: Span::from_micros(ticks * 1_000_000 / TICKS_PER_SECOND),
            memory: number(21) * PAGE_BYTES,
        }
    }

    /// Returns the usage since `earlier`.
    pub(super) fn since(self, earlier: Usage) -> Usage {
        Usage {
            time: self.time.saturating_sub(earlier.time),
            memory: self.memory.saturating_sub(earlier.memory),
        }
    }

    /// Returns the sum of both.
    pub(super) fn plus(self, other: Usage) -> Usage {
        Usage { time: self.time + other.time, memory: self.memory + other.memory }
    }
}
