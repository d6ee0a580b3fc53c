//! Stand-ins for the platform, the engines and the plain services.
//!
//! Each binds an address and serves it on the current actix-rt thread; its
//! handle gives typed access to what it recorded, and stops it when dropped.
//! The binary runs the same ones as processes of their own. Faults are set
//! through the handle's [`Server`], or by request with a [`Control`].

mod changes;
mod control;
mod engine;
mod fault;
mod hosts;
mod lagged;
mod objects;
mod platform;
mod server;
mod service;
mod table;
mod weights;

pub use self::{
    control::{Control, ControlError},
    engine::{
        Engine, Fenced, Settings as EngineSettings,
        record::{EngineRecord, Outcome, Ran},
        text::{answer_text, prompt_tokens, token_text},
    },
    fault::{Active, Fault, FaultOrder, Faults, Rule, RuleId},
    hosts::{HostList, Lag},
    objects::{Objects, ObjectsRecord},
    platform::{Platform, PlatformRecord},
    server::Server,
    service::{CALL, Executed, Executions, IDEMPOTENCY, PlainService},
    table::{Table, TableRecord},
    weights::{FULL, LOAD, Sharing, Take, Weights, WeightsRecord},
};
