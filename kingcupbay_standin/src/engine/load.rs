//! Loading an adapter version: a slot, and the weights from the store.

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

/// Answers a load order when the load is over. The load goes on when the
/// orderer does not wait for it.
pub(crate) async fn load(shared: &Rc<Shared>, order: LoadAdapter) -> Answer {
    let begun = shared.state.borrow_mut().begin_load(&order.lora_name, order.fencing);
    let end = match begun {
        Err(refused) => return super::refusal(&refused),
        Ok(Load::Loaded) => return call::empty(StatusCode::OK),
        Ok(Load::Joined(end)) => end,
        Ok(Load::Begun { end, incarnation }) => {
            let restarted = end.clone();
            actix_rt::spawn(carry_out(Rc::clone(shared), order, incarnation, restarted));
            end
        }
    };
    if ended_well(end).await {
        call::empty(StatusCode::OK)
    } else {
        call::text(StatusCode::SERVICE_UNAVAILABLE, "the load failed")
    }
}

/// A restart drops the sender, which is a failure too.
async fn ended_well(mut end: LoadEnd) -> bool {
    let ended = end.wait_for(Option::is_some).await;
    ended.is_ok_and(|ended| *ended == Some(true))
}

async fn carry_out(shared: Rc<Shared>, order: LoadAdapter, incarnation: u64, restarted: LoadEnd) {
    let fails = |fault| (fault == Fault::FailLoads).then_some(());
    let failed = !shared.faults.borrow_mut().hit(LOAD, fails).is_empty();
    let fetched = tokio::select! {
        fetched = fetch(&shared, &order.lora_path) => fetched,
        // Only a restart ends a load that is still being carried out; its
        // place at the weight store is then free at once.
        _ = ended_well(restarted) => return,
    };
    let mut state = shared.state.borrow_mut();
    let loaded = fetched && !failed;
    state.end_load(&order.lora_name, incarnation, loaded, || shared.loses_event());
}

async fn fetch(shared: &Shared, path: &str) -> bool {
    let (weights, time) = {
        let settings = &RefCell::borrow(&shared.state).settings;
        (settings.weight_store, settings.load_time)
    };
    match weights {
        Some(address) => take(&shared.client, address, path).await,
        None => {
            actix_rt::time::sleep(time).await;
            true
        }
    }
}

async fn take(client: &awc::Client, address: SocketAddr, path: &str) -> bool {
    let url = format!("http://{address}{TAKE}");
    let answer = client.post(url).send_json(&TakeRequest { path: path.to_owned() }).await;
    answer.is_ok_and(|answer| answer.status().is_success())
}
