//! Applies the fault rules in force to a request.

use std::{future::pending, rc::Rc, time::Duration};

use actix_http::StatusCode;
use actix_rt::time::sleep;

use super::{
    Shared,
    call::{self, Answer, Call},
};
use crate::fault::Fault;

/// Combined effect of all rules that hit one request.
#[derive(Default)]
struct FaultPlan {
    delay_before: Duration,
    failure: Option<Failure>,
    delay_after: Duration,
    error_answer: bool,
    lose_answer: bool,
}

/// Failure that replaces the request's effect.
enum Failure {
    Outage,
    Reset,
    Silent,
}

impl FaultPlan {
    fn new(faults: Vec<Fault>) -> FaultPlan {
        let mut plan = FaultPlan::default();
        for fault in faults {
            match fault {
                Fault::Slow { millis } => plan.delay_before += Duration::from_millis(millis),
                Fault::LateAnswer { millis } => plan.delay_after += Duration::from_millis(millis),
                Fault::ErrorAnswer => plan.error_answer = true,
                Fault::LoseAnswer => plan.lose_answer = true,
                Fault::Outage => plan.failure = Some(Failure::Outage),
                Fault::Reset => plan.failure = Some(Failure::Reset),
                Fault::Silent => plan.failure = Some(Failure::Silent),
                _ => {}
            }
        }
        plan
    }
}

/// Selects the faults of requests; the engine handles the others itself.
fn request_fault(fault: Fault) -> Option<Fault> {
    let is = matches!(
        fault,
        Fault::Slow { .. }
            | Fault::LateAnswer { .. }
            | Fault::ErrorAnswer
            | Fault::LoseAnswer
            | Fault::Outage
            | Fault::Reset
            | Fault::Silent
    );
    is.then_some(fault)
}

/// Answers a call after the rules that hit it are applied.
pub(super) async fn answer(shared: &Shared, call: Call) -> Answer {
    let hits = shared.behaviour.faults.borrow_mut().hit(&call.path, request_fault);
    let plan = FaultPlan::new(hits);
    let conn = call.conn.clone();
    if plan.failure.is_some() {
        delay(plan.delay_before).await;
    }
    match plan.failure {
        Some(Failure::Outage) => {
            return call::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        Some(Failure::Reset) => {
            conn.reset();
            return pending().await;
        }
        Some(Failure::Silent) => return pending().await,
        None => {}
    }
    let Some(answer) = run_handler(shared, plan.delay_before, call).await else {
        return pending().await;
    };
    delay(plan.delay_after).await;
    if plan.lose_answer {
        conn.reset();
        return pending().await;
    }
    if plan.error_answer {
        return call::text(StatusCode::INTERNAL_SERVER_ERROR, "error");
    }
    answer
}

/// Runs the handler after a delay. A delayed request runs as its own task, so
/// it takes effect even when its caller, who cannot know that, has given up.
/// Returns `None` when the thread ends.
async fn run_handler(shared: &Shared, delay: Duration, call: Call) -> Option<Answer> {
    let handler = Rc::clone(&shared.behaviour.answer);
    if delay.is_zero() {
        return Some(handler(call).await);
    }
    let delayed = async move {
        sleep(delay).await;
        handler(call).await
    };
    actix_rt::spawn(delayed).await.ok()
}

/// Sleeps for `time`. Sets no timer for zero, as a timer would cost every
/// request a millisecond.
async fn delay(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
