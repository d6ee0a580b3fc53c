//! Stand-ins for the platform, the engines and the plain services.
//!
//! Each binds an address and serves it on the current actix-rt thread. Its
//! handle gives typed access to what it recorded and stops it when dropped.
//! The binary runs each of them as a separate process. Faults are set through
//! the handle's [`Server`], or over HTTP with a [`Control`].
//!
//! Besides its own interface, each answers these requests, to which no fault
//! applies:
//!
//! | request | answer |
//! | --- | --- |
//! | `POST /fault` with a [`FaultOrder`] | the [`RuleId`] of a new rule |
//! | `GET /fault` | [`Faults`] |
//! | `GET /fault/hit?ID=HITS` | once that rule has hit that often |
//! | `PUT /received` with `{"on":true}` | starts recording received bytes |
//! | `GET /received` | all recorded bytes |
//! | `GET /state` | its record; the host list and services have none |
//! | `GET /executions` | [`ExecutionCounts`]: the record of a plain service |

mod changes;
mod control;
mod engine;
mod fault;
mod hosts;
mod lagged;
mod objects;
mod operator;
mod platform;
mod registry;
mod server;
mod service;
mod table;
mod upstream;
mod weights;

pub use self::{
    control::{Control, ControlError},
    engine::{
        Engine, FencingConflict, Settings as EngineSettings,
        record::{EngineRecord, Outcome, StreamRecord},
        text::{answer_text, prompt_tokens, token_text},
    },
    fault::{Fault, FaultOrder, Faults, Rule, RuleId, RuleStatus},
    hosts::{HostList, Lag},
    objects::{Objects, ObjectsRecord},
    operator::{
        CallerRequest, DeclaredConfig, DeclaredOrganisation, DeclaredRoute, ROUTE_HOST,
        allow_transfers, announcement_row, attempt_and_signature, evacuation_key,
    },
    platform::{Platform, PlatformRecord},
    registry::Registry,
    server::{Pause, Server},
    service::{CALL_PATH, Execution, ExecutionCounts, IDEMPOTENCY_HEADER, PlainService},
    table::{Table, TableRecord},
    upstream::{
        BASE_MODEL, CopyCounts, CrashStyle, OrderIssuer, SpoiledHead, UpstreamRun, UpstreamServer,
        UpstreamSettings,
    },
    weights::{FULL_SPEED_LOADS, LOAD_TIME, SharedBandwidth, TakeRequest, Weights, WeightsRecord},
};
