//! A request with its whole body, and helpers that build answers.

use std::rc::Rc;

use actix_http::{
    Method, Request, Response, StatusCode,
    body::{BoxBody, MessageBody},
    error::PayloadError,
    header::{self, HeaderMap},
};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use serde::{Serialize, de::DeserializeOwned};

use super::conn::Conn;

/// Longest accepted body. The configuration snapshot of the largest user fits.
const MAX_BODY_BYTES: usize = 256 << 20;

/// The answer to a [`Call`].
pub(crate) type Answer = Response<BoxBody>;

/// A request whose body has been received completely.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The connection that it arrived on.
    pub(crate) conn: Rc<Conn>,
}

impl Call {
    /// Receives the whole body of a request; fails with the answer that refuses it.
    pub(crate) async fn receive(mut request: Request) -> Result<Call, Answer> {
        let conn = request
            .conn_data::<Rc<Conn>>()
            .cloned()
            .expect("the accept loop attaches it to every connection");
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|err: PayloadError| text(StatusCode::BAD_REQUEST, &err))?;
            if body.len() + part.len() > MAX_BODY_BYTES {
                return Err(text(StatusCode::PAYLOAD_TOO_LARGE, "body too large"));
            }
            body.extend_from_slice(&part);
        }
        let head = request.head();
        Ok(Call {
            method: head.method.clone(),
            path: head.uri.path().to_owned(),
            query: head.uri.query().unwrap_or_default().to_owned(),
            headers: head.headers.clone(),
            body: body.freeze(),
            conn,
        })
    }

    /// Parses the body as JSON; fails with the answer that refuses the request.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|err| text(StatusCode::BAD_REQUEST, &err))
    }
}

/// Builds a 200 answer with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Answer {
    status_json(StatusCode::OK, value)
}

/// Builds an answer with a JSON body and the given status.
pub(crate) fn status_json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("stand-in answers have string keys");
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// Builds a refusal whose body gives the reason.
pub(crate) fn text(status: StatusCode, reason: impl ToString) -> Answer {
    Response::build(status).body(reason.to_string()).map_into_boxed_body()
}

/// Builds an answer with an empty body.
pub(crate) fn empty(status: StatusCode) -> Answer {
    Response::with_body(status, BoxBody::new(()))
}

/// Builds a 200 answer with a body of plain bytes.
pub(crate) fn bytes(body: Bytes) -> Answer {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/octet-stream"))
        .body(body)
        .map_into_boxed_body()
}

/// Builds a 200 answer with server-sent events.
pub(crate) fn events(body: impl MessageBody + 'static) -> Answer {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .message_body(body)
        .expect("the headers above are valid")
        .map_into_boxed_body()
}

/// Builds the answer to a path or method that is not served.
pub(crate) fn unknown() -> Answer {
    text(StatusCode::NOT_FOUND, "no such path or method")
}
