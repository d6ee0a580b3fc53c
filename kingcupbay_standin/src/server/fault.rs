//! A request's way through the faults in force.

use std::{future::pending, rc::Rc, time::Duration};

use actix_http::StatusCode;
use actix_rt::time::sleep;

use super::{
    Shared,
    call::{self, Answer, Call},
};
use crate::fault::Fault;

/// What the rules that hit one request make of it together.
#[derive(Default)]
struct Plan {
    before: Duration,
    instead: Option<Instead>,
    after: Duration,
    error: bool,
    lost: bool,
}

/// What happens instead of the request's effect.
enum Instead {
    Outage,
    Reset,
    Silent,
}

impl Plan {
    fn new(faults: Vec<Fault>) -> Plan {
        let mut plan = Plan::default();
        for fault in faults {
            match fault {
                Fault::Slow { millis } => plan.before += Duration::from_millis(millis),
                Fault::LateAnswer { millis } => plan.after += Duration::from_millis(millis),
                Fault::ErrorAnswer => plan.error = true,
                Fault::LoseAnswer => plan.lost = true,
                Fault::Outage => plan.instead = Some(Instead::Outage),
                Fault::Reset => plan.instead = Some(Instead::Reset),
                Fault::Silent => plan.instead = Some(Instead::Silent),
                _ => {}
            }
        }
        plan
    }
}

/// Whether a fault concerns requests as such; the others are the engine's.
fn of_requests(fault: Fault) -> Option<Fault> {
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

pub(super) async fn answer(shared: &Shared, call: Call) -> Answer {
    let hits = shared.behaviour.faults.borrow_mut().hit(&call.path, of_requests);
    let plan = Plan::new(hits);
    let conn = call.conn.clone();
    if plan.instead.is_some() {
        pause(plan.before).await;
    }
    match plan.instead {
        Some(Instead::Outage) => {
            return call::text(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        Some(Instead::Reset) => {
            conn.reset();
            return pending().await;
        }
        Some(Instead::Silent) => return pending().await,
        None => {}
    }
    let Some(answer) = take_effect(shared, plan.before, call).await else {
        return pending().await;
    };
    pause(plan.after).await;
    if plan.lost {
        conn.reset();
        return pending().await;
    }
    if plan.error {
        return call::text(StatusCode::INTERNAL_SERVER_ERROR, "error");
    }
    answer
}

/// A delayed request runs as a task of its own: it takes effect even when
/// its caller, who cannot know, has given up. `None` when the thread ends.
async fn take_effect(shared: &Shared, delay: Duration, call: Call) -> Option<Answer> {
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

/// No timer without a fault: it would cost every request a millisecond.
async fn pause(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}
