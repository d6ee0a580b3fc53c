//! One engine: which adapter versions it holds, and how many requests run.

use std::{
    cell::{Cell, RefCell},
    collections::BTreeSet,
    rc::Rc,
};

use kingcupbay_core::{
    id::VersionId,
    wire::{
        engine::LoadAdapter,
        error::{Code, Failure},
    },
};
use tokio::sync::{Mutex, OwnedSemaphorePermit, Semaphore};

use super::{Upstream, engine};

/// State of one engine.
pub(crate) struct Runner {
    upstream: Rc<Upstream>,
    address: String,
    batch: std::sync::Arc<Semaphore>,
    loaded: RefCell<BTreeSet<VersionId>>,
    loading: Mutex<()>,
    running: Rc<Cell<u32>>,
}

/// The right to run one request; its drop gives the place back.
pub(crate) struct Place {
    _permit: OwnedSemaphorePermit,
    running: Rc<Cell<u32>>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.running.set(self.running.get() - 1);
    }
}

impl Runner {
    /// An engine that nothing is known of.
    pub(crate) fn new(upstream: Rc<Upstream>, address: String) -> Runner {
        let batch = std::sync::Arc::new(Semaphore::new(upstream.settings.tuning.batch as usize));
        Runner {
            upstream,
            address,
            batch,
            loaded: RefCell::default(),
            loading: Mutex::new(()),
            running: Rc::default(),
        }
    }

    /// The engine's address.
    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Waits for a place with the version loaded.
    pub(crate) async fn place(
        self: Rc<Runner>,
        version: VersionId,
        model: String,
        source: String,
    ) -> Result<Place, Failure> {
        let permit = self.batch.clone().acquire_owned().await;
        let permit = permit.expect("the semaphore is never closed");
        let _loading = self.loading.lock().await;
        if !self.loaded.borrow().contains(&version) {
            self.load(model, source).await?;
            self.loaded.borrow_mut().insert(version);
        }
        self.running.set(self.running.get() + 1);
        Ok(Place { _permit: permit, running: self.running.clone() })
    }

    async fn load(&self, model: String, source: String) -> Result<(), Failure> {
        self.upstream.metrics.load_stalls.inc();
        let order = LoadAdapter { lora_name: model, lora_path: source, fencing: 1 };
        let loaded = engine::load(&self.upstream.clients, &self.address, &order).await;
        let outcome = if loaded.is_ok() { "ok" } else { "failed" };
        self.upstream.metrics.loads.with_label_values(&[outcome]).inc();
        loaded.map_err(|error| Failure::not_run(Code::LoadFailed, error.to_string()))
    }

    /// The engine's state in key=value pairs.
    pub(crate) fn dump(&self) -> String {
        format!("running={} loaded={}", self.running.get(), self.loaded.borrow().len())
    }
}
