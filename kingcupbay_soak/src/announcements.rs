//! Checks that daemons obey what an upstream says of itself in its answers.
//!
//! The stand-in counts from outside what arrives. The checks run while all is well, as a
//! daemon that was restarted or cut off need not know what was said.

use std::time::{Duration, Instant};

use kingcupbay_core::random::Random;

use crate::{
    fleet::{Fleet, Upstream},
    promises::Breach,
};

/// Time after an announcement from which arrivals count. Requests that were sent before the
/// first answer with it are still on their way until then.
const FIRST_ANSWER_TIME: Duration = Duration::from_millis(500);

/// Span in which requests to a limited upstream are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests per second that a limited upstream names.
const LIMIT_PER_SEC: &str = "2";

/// Requests and orders that such an upstream may get in [`LIMIT_WINDOW`]: one and a half
/// times the limit and five.
const LIMITED_MAX: usize = 17;

/// Rest that an upstream asks for.
const REST_TIME: Duration = Duration::from_secs(2);

/// Requests that a resting upstream may get from one daemon.
const RESTING_MAX: usize = 2;

/// How long an upstream says that it leaves.
const LEAVING_TIME: Duration = Duration::from_millis(1_500);

/// Lets one upstream limit its requests, ask for rest or say that it leaves, and returns a
/// breach if it gets more than it may. `callers` is the number of callers per entry.
pub(crate) async fn check(fleet: &Fleet, random: &mut Random, callers: usize) -> Option<Breach> {
    let upstreams: Vec<&Upstream> = fleet.upstreams().collect();
    let upstream = upstreams[random.below(upstreams.len() as u64) as usize];
    let began = Instant::now();
    let first_answers = fleet.entries.len() * callers;
    let (promise, arrived, allowed) = match random.below(3) {
        0 => {
            upstream.runner.set_limit(Some(LIMIT_PER_SEC));
            tokio::time::sleep(FIRST_ANSWER_TIME + LIMIT_WINDOW).await;
            upstream.runner.set_limit(None);
            let busiest = upstream.runner.busiest(began + FIRST_ANSWER_TIME, LIMIT_WINDOW);
            ("a limited upstream gets its rate", busiest, LIMITED_MAX)
        }
        1 => {
            upstream.runner.set_rest(Some(&REST_TIME.as_secs().to_string()));
            tokio::time::sleep(REST_TIME).await;
            upstream.runner.set_rest(None);
            let allowed = first_answers + RESTING_MAX * fleet.entries.len();
            ("a resting upstream gets nothing", arrivals(upstream, began), allowed)
        }
        _ => {
            upstream.runner.set_leaving(true);
            tokio::time::sleep(LEAVING_TIME).await;
            let arrived = arrivals(upstream, began);
            fleet.restart_announced(upstream);
            ("an upstream that says it leaves gets nothing", arrived, first_answers)
        }
    };
    let details = format!("{} got {arrived} requests, {allowed} allowed", upstream.id);
    (arrived > allowed).then_some(Breach { promise, details })
}

/// Returns the number of requests that count since the announcement at `began`. Each caller
/// may have one on its way when its entry has the first answer.
fn arrivals(upstream: &Upstream, began: Instant) -> usize {
    upstream.runner.arrivals().iter().filter(|at| **at >= began + FIRST_ANSWER_TIME).count()
}
