//! List of the models that a key may use.

use actix_http::{Request, Response, StatusCode, body::BoxBody};
use serde::Serialize;

use super::{Entry, admission};
use crate::http::reply;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    owned_by: String,
}

/// Answers `GET /v1/models`.
pub(crate) fn list(entry: &Entry, request: &Request) -> Response<BoxBody> {
    let caller = match admission::authenticate(entry, request) {
        Ok(caller) => caller,
        Err(failure) => return reply::failure(&failure),
    };
    let config = entry.fleet.config();
    let own = config.adapters.iter().filter(|(_, row)| row.organisation == caller.organisation);
    let versions = own.flat_map(|(_, row)| row.versions.values());
    let data = versions
        .filter_map(|&version| config.model_name(version))
        .map(|id| Model { id, object: "model", owned_by: caller.name.clone() })
        .collect();
    reply::json(StatusCode::OK, &ModelList { object: "list", data })
}
