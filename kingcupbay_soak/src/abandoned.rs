//! Checks that nothing is sent for callers that left while their entry stood still.

use std::{rc::Rc, time::Duration};

use futures_util::future::join_all;
use kingcupbay_core::random::Random;

use crate::{
    callers::{Caller, Context, Spec},
    promises::Breach,
    sent::Kind,
};

/// Callers that leave.
const CALLERS: u64 = 16;

/// Most milliseconds for which a caller waits.
const PATIENCE_MAX: u64 = 300;

/// Time from the leaving of the last caller until the entry goes on.
const ABSENCE: Duration = Duration::from_millis(700);

/// Time in which an entry that goes on has sent what it is going to send.
const SEND_TIME: Duration = Duration::from_millis(500);

/// Pauses one entry while callers send requests of all kinds to it and leave. Some have a
/// connection from before.
pub(crate) async fn check(context: &Rc<Context>, random: &mut Random) -> Option<Breach> {
    let fleet = &context.fleet;
    let entry = random.below(fleet.entries.len() as u64) as usize;
    let mut callers: Vec<Caller> = (0..CALLERS)
        .map(|at| Caller::new(context, &format!("absent-{at}"), entry, random.draw()))
        .collect();
    let (kept, _) = callers.split_at_mut(CALLERS as usize / 2);
    join_all(kept.iter_mut().map(|caller| caller.send(Spec::new(Kind::Seats)))).await;
    if fleet.entries[entry].daemon.borrow_mut().pause().is_err() {
        return None;
    }
    let left = callers.iter_mut().enumerate().map(|(at, caller)| {
        let mut spec = Spec::new(Kind::ORDINARY[at % Kind::ORDINARY.len()]);
        spec.leave_after = Duration::from_millis(20 + random.below(PATIENCE_MAX));
        async move { caller.send(spec).await.attempt }
    });
    let attempts = join_all(left).await;
    tokio::time::sleep(ABSENCE).await;
    fleet.entries[entry].daemon.borrow_mut().resume().ok()?;
    tokio::time::sleep(SEND_TIME).await;
    let runs = fleet.upstreams().flat_map(|upstream| upstream.runner.runs());
    let ran = runs.filter(|run| attempts.contains(&run.attempt)).count();
    let details = format!("{ran} of {CALLERS} ran");
    (ran > 0).then_some(Breach { promise: "nothing is sent for callers that have left", details })
}
