//! Loads an adapter version into a slot, with weights from the weight store.

use std::{cell::RefCell, net::SocketAddr, rc::Rc};

use actix_http::StatusCode;
use kingcupbay_core::wire::engine::LoadAdapter;

use super::{
    LOAD, Shared,
    state::{Load, LoadEnd},
};
use crate::{
    fault::Fault,
    server::call::{self, Answer},
    weights::{TAKE, TakeRequest},
};

/// Answers a load order when the load has ended. The load continues even if
/// the client disconnects.
pub(crate) async fn load(shared: &Rc<Shared>, order: LoadAdapter) -> Answer {
    let started = shared.state.borrow_mut().begin_load(&order.lora_name, order.fencing);
    let end = match started {
        Err(refused) => return super::refusal(&refused),
        Ok(Load::Loaded) => return call::empty(StatusCode::OK),
        Ok(Load::Joined(end)) => end,
        Ok(Load::Started { end, incarnation }) => {
            let restarted = end.clone();
            actix_rt::spawn(run_load(Rc::clone(shared), order, incarnation, restarted));
            end
        }
    };
    if load_succeeded(end).await {
        call::empty(StatusCode::OK)
    } else {
        call::text(StatusCode::SERVICE_UNAVAILABLE, "the load failed")
    }
}

/// Waits for the end of a load and returns whether it succeeded. A restart
/// drops the sender, which counts as a failure.
async fn load_succeeded(mut end: LoadEnd) -> bool {
    let ended = end.wait_for(Option::is_some).await;
    ended.is_ok_and(|ended| *ended == Some(true))
}

async fn run_load(shared: Rc<Shared>, order: LoadAdapter, incarnation: u64, restarted: LoadEnd) {
    let fails = |fault| (fault == Fault::FailLoads).then_some(());
    let failed = !shared.faults.borrow_mut().hit(LOAD, fails).is_empty();
    let fetched = tokio::select! {
        fetched = fetch(&shared, &order.lora_path) => fetched,
        // While the load runs, only a restart can end it. Dropping the fetch
        // then releases its share of the weight store at once.
        _ = load_succeeded(restarted) => return,
    };
    let mut state = shared.state.borrow_mut();
    let loaded = fetched && !failed;
    state.end_load(&order.lora_name, incarnation, loaded, || shared.drops_event());
}

async fn fetch(shared: &Shared, path: &str) -> bool {
    let (weights, time) = {
        let settings = &RefCell::borrow(&shared.state).settings;
        (settings.weight_store, settings.load_time)
    };
    match weights {
        Some(address) => take_weights(&shared.client, address, path).await,
        None => {
            actix_rt::time::sleep(time).await;
            true
        }
    }
}

async fn take_weights(client: &awc::Client, address: SocketAddr, path: &str) -> bool {
    let url = format!("http://{address}{TAKE}");
    let answer = client.post(url).send_json(&TakeRequest { path: path.to_owned() }).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
