//! What this daemon knows of the configuration, and whether it may act on it.

use std::{
    cell::{Cell, RefCell},
    rc::Rc,
};

use bytes::Bytes;
use kingcupbay_core::{
    config::{
        model::Config,
        patch::{DELTA_PREFIX, HEAD_KEY, Head, Patch, PatchError, delta_key, snapshot_key},
    },
    id::Number,
    time::{Instant, Span},
    wire::table::{Condition, Read, Row, Txn, TxnAnswer, Write},
};
use slog::{Logger, info, warn};

use crate::{
    clock,
    config::Settings,
    metrics::Metrics,
    platform::{
        object::Objects,
        table::{Table, TableError},
    },
};

/// Age of the last good read after which this daemon starts nothing new.
pub(crate) const FRESHNESS: Span = Span::from_secs(3);

/// Most patches read in one step.
const DELTAS: usize = 256;

/// Patches after which the writer stores a snapshot.
const SNAPSHOT_EVERY: u64 = 64;

/// What became of a patch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum PatchOutcome {
    /// In the table under this number.
    Taken(Number),
    /// Refused, nothing changed.
    Refused(PatchError),
    /// Not taken: the table cannot be reached.
    NotTaken(String),
    /// The write may have taken effect; repeating the same patch tells.
    Unknown(String),
}

/// The configuration as this daemon knows it.
pub(crate) struct Fleet {
    config: RefCell<Rc<Config>>,
    /// When the read that last confirmed the configuration was sent.
    fresh: Cell<Option<Instant>>,
    table: Table,
    objects: Objects,
    metrics: Rc<Metrics>,
    log: Logger,
}

impl Fleet {
    /// A daemon that knows nothing yet and may not act.
    pub(crate) fn new(table: Table, objects: Objects, metrics: Rc<Metrics>, log: Logger) -> Fleet {
        let config = RefCell::new(Rc::new(Config::default()));
        Fleet { config, fresh: Cell::new(None), table, objects, metrics, log }
    }

    /// The configuration in use.
    pub(crate) fn config(&self) -> Rc<Config> {
        self.config.borrow().clone()
    }

    /// The newest number that no daemon with standing misses. Standing rests
    /// on reads of the table alone, so what was read here is in force.
    pub(crate) fn in_force(&self) -> Number {
        self.config.borrow().number
    }

    /// Whether this daemon may act on what it knows. Asked at each use, since
    /// the process may have been suspended since the last answer.
    pub(crate) fn holds(&self, now: Instant) -> bool {
        self.fresh.get().is_some_and(|at| now.since(at) <= FRESHNESS)
    }

    /// Reads until this daemon knows `number` or newer.
    pub(crate) async fn catch_up(&self, number: Number) -> bool {
        if self.config.borrow().number < number {
            let _ = self.refresh().await;
        }
        self.config.borrow().number >= number
    }

    /// Reads the head and everything after what is known.
    pub(crate) async fn refresh(&self) -> Result<(), TableError> {
        let sent = clock::now();
        let rows = self.table.read(&Read::Keys(vec![HEAD_KEY.to_owned()])).await?;
        let head = rows.rows.first().map(decode::<Head>).unwrap_or_default();
        let known = self.config.borrow().number;
        if known < head.snapshot && known == Number(0) {
            self.load_snapshot(head.snapshot).await;
        }
        while self.config.borrow().number < head.number {
            self.load_deltas().await?;
        }
        self.fresh.set(Some(sent));
        Ok(())
    }

    async fn load_snapshot(&self, number: Number) {
        let loaded = self.objects.get(&snapshot_key(number)).await;
        match loaded {
            Ok(Some(bytes)) => match rmp_serde::from_slice::<Config>(&bytes) {
                Ok(config) => self.adopt(config),
                Err(error) => {
                    warn!(self.log, ""; "event" => "snapshot_unreadable", "number" => number.0,
                        "error" => %error);
                }
            },
            // Without the snapshot the patches since the beginning do.
            Ok(None) => {}
            Err(error) => {
                warn!(self.log, ""; "event" => "snapshot_unread", "number" => number.0, "error" => %error);
            }
        }
    }

    async fn load_deltas(&self) -> Result<(), TableError> {
        let from = delta_key(self.config.borrow().number.next());
        let to = format!("{DELTA_PREFIX}~");
        let rows = self.table.read(&Read::Range { from, to, limit: DELTAS }).await?;
        if rows.rows.is_empty() {
            return Err(TableError::Lost("the head names a patch that is not there".to_owned()));
        }
        for row in &rows.rows {
            let patch: Patch = decode(row);
            // Another read may have brought this one in the meantime.
            if patch.against < self.config.borrow().number {
                continue;
            }
            let next = self.config.borrow().patched(&patch);
            self.adopt(next.expect("the writer checked the patch against the same rows"));
        }
        Ok(())
    }

    /// Takes a newer configuration into use; numbers never go back.
    fn adopt(&self, config: Config) {
        if config.number <= self.config.borrow().number {
            return;
        }
        info!(self.log, ""; "event" => "config", "number" => config.number.0);
        self.metrics.config_number.set(config.number.0 as i64);
        *self.config.borrow_mut() = Rc::new(config);
    }

    /// Takes an operator's patch. A repeat of a patch already taken is
    /// answered with its number, and changes nothing.
    pub(crate) async fn patch(&self, patch: &Patch) -> PatchOutcome {
        if let Err(error) = self.refresh().await {
            return PatchOutcome::NotTaken(error.to_string());
        }
        let config = self.config();
        let next = match config.patched(patch) {
            Ok(next) => next,
            Err(PatchError::Stale { .. }) if self.is_ours(patch).await == Ok(true) => {
                return PatchOutcome::Taken(patch.against.next());
            }
            Err(error) => return PatchOutcome::Refused(error),
        };
        match self.write(patch, &next).await {
            Ok(TxnAnswer::Committed) => self.taken(next).await,
            Ok(TxnAnswer::Conflict(_)) => self.stale(patch).await,
            Err(TableError::Unreached(why)) => PatchOutcome::NotTaken(why),
            Err(TableError::Lost(why)) => self.resolve(patch, next, why).await,
        }
    }

    async fn write(&self, patch: &Patch, next: &Config) -> Result<TxnAnswer, TableError> {
        let rows = self.table.read(&Read::Keys(vec![HEAD_KEY.to_owned()])).await;
        let rows = rows.map_err(|error| TableError::Unreached(error.to_string()))?;
        let row = rows.rows.first();
        let old: Head = row.map(decode).unwrap_or_default();
        if old.number != patch.against {
            return Ok(TxnAnswer::Conflict(rows.rows));
        }
        let head = Head { number: next.number, snapshot: old.snapshot };
        let revision = row.map_or(0, |row| row.revision);
        let key = delta_key(next.number);
        let txn = Txn {
            conditions: vec![
                Condition { key: HEAD_KEY.to_owned(), revision },
                Condition { key: key.clone(), revision: 0 },
            ],
            writes: vec![
                Write { key: HEAD_KEY.to_owned(), value: Some(encode(&head)) },
                Write { key, value: Some(encode(patch)) },
            ],
        };
        self.table.txn(&txn).await
    }

    async fn taken(&self, next: Config) -> PatchOutcome {
        let number = next.number;
        self.adopt(next);
        if number.0.is_multiple_of(SNAPSHOT_EVERY) {
            self.store_snapshot().await;
        }
        PatchOutcome::Taken(number)
    }

    async fn stale(&self, patch: &Patch) -> PatchOutcome {
        if let Err(error) = self.refresh().await {
            return PatchOutcome::NotTaken(error.to_string());
        }
        match self.is_ours(patch).await {
            Ok(true) => PatchOutcome::Taken(patch.against.next()),
            Ok(false) => {
                let current = self.config.borrow().number;
                PatchOutcome::Refused(PatchError::Stale { against: patch.against, current })
            }
            Err(error) => PatchOutcome::Unknown(error.to_string()),
        }
    }

    /// The answer to a write was lost; the row under the next number tells
    /// whose patch it holds.
    async fn resolve(&self, patch: &Patch, next: Config, why: String) -> PatchOutcome {
        match self.is_ours(patch).await {
            Ok(true) => self.taken(next).await,
            Ok(false) => PatchOutcome::Unknown(why),
            Err(error) => PatchOutcome::Unknown(error.to_string()),
        }
    }

    async fn is_ours(&self, patch: &Patch) -> Result<bool, TableError> {
        let key = delta_key(patch.against.next());
        let rows = self.table.read(&Read::Keys(vec![key])).await?;
        Ok(rows.rows.first().is_some_and(|row| decode::<Patch>(row).id == patch.id))
    }

    /// Stores the configuration in the object store, then names it in the
    /// head. A failure costs only the next newcomer's time.
    async fn store_snapshot(&self) {
        let config = self.config();
        let bytes = rmp_serde::to_vec(&*config).expect("a configuration serialises");
        let stored = self.objects.put(&snapshot_key(config.number), Bytes::from(bytes)).await;
        if let Err(error) = stored {
            warn!(self.log, ""; "event" => "snapshot_unstored", "error" => %error);
            return;
        }
        let Ok(rows) = self.table.read(&Read::Keys(vec![HEAD_KEY.to_owned()])).await else {
            return;
        };
        let Some(row) = rows.rows.first() else { return };
        let head = Head { snapshot: config.number, ..decode(row) };
        let txn = Txn {
            conditions: vec![Condition { key: HEAD_KEY.to_owned(), revision: row.revision }],
            writes: vec![Write { key: HEAD_KEY.to_owned(), value: Some(encode(&head)) }],
        };
        let _ = self.table.txn(&txn).await;
    }

    /// Patches after `after`, oldest first.
    pub(crate) async fn history(&self, after: Number) -> Result<Vec<(Number, Patch)>, TableError> {
        let from = delta_key(after.next());
        let to = format!("{DELTA_PREFIX}~");
        let rows = self.table.read(&Read::Range { from, to, limit: DELTAS }).await?;
        let patches = rows.rows.iter().map(decode::<Patch>);
        Ok(patches.map(|patch| (patch.against.next(), patch)).collect())
    }
}

/// Keeps the configuration fresh until the daemon ends.
pub(crate) async fn keep_fresh(fleet: Rc<Fleet>, settings: Rc<Settings>) {
    loop {
        if let Err(error) = fleet.refresh().await {
            warn!(fleet.log, ""; "event" => "table_unread", "error" => %error);
        }
        fleet.metrics.standing.set(i64::from(fleet.holds(clock::now())));
        tokio::time::sleep(settings.tuning.read_period.into()).await;
    }
}

pub(crate) fn decode<T: serde::de::DeserializeOwned>(row: &Row) -> T {
    serde_json::from_str(&row.value).expect("only this project writes its rows")
}

pub(crate) fn encode<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("rows serialise")
}
