//! One request, read whole, and the ways to answer it.

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

/// Longest body taken: a configuration snapshot of the largest user fits.
const BODY_MAX: usize = 256 << 20;

/// The answer to a [`Call`].
pub(crate) type Answer = Response<BoxBody>;

/// A request whose body has arrived whole.
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// The connection it came on.
    pub(crate) conn: Rc<Conn>,
}

impl Call {
    pub(crate) async fn receive(mut request: Request) -> Result<Call, Answer> {
        let conn = request
            .conn_data::<Rc<Conn>>()
            .cloned()
            .expect("the accept loop attaches it to every connection");
        let mut payload = request.take_payload();
        let mut body = BytesMut::new();
        while let Some(part) = payload.next().await {
            let part = part.map_err(|err: PayloadError| text(StatusCode::BAD_REQUEST, &err))?;
            if body.len() + part.len() > BODY_MAX {
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

    /// The body as JSON, or the answer that refuses it.
    pub(crate) fn json<T: DeserializeOwned>(&self) -> Result<T, Answer> {
        serde_json::from_slice(&self.body).map_err(|err| text(StatusCode::BAD_REQUEST, &err))
    }
}

/// 200 with a JSON body.
pub(crate) fn json(value: &impl Serialize) -> Answer {
    status_json(StatusCode::OK, value)
}

/// A JSON body with another status.
pub(crate) fn status_json(status: StatusCode, value: &impl Serialize) -> Answer {
    let body = serde_json::to_vec(value).expect("stand-in answers have string keys");
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}

/// A refusal that says why.
pub(crate) fn text(status: StatusCode, why: impl ToString) -> Answer {
    Response::build(status).body(why.to_string()).map_into_boxed_body()
}

/// An empty answer.
pub(crate) fn empty(status: StatusCode) -> Answer {
    Response::with_body(status, BoxBody::new(()))
}

/// 200 with plain bytes.
pub(crate) fn bytes(body: Bytes) -> Answer {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "application/octet-stream"))
        .body(body)
        .map_into_boxed_body()
}

/// 200 with server-sent events.
pub(crate) fn events(body: impl MessageBody + 'static) -> Answer {
    Response::build(StatusCode::OK)
        .insert_header((header::CONTENT_TYPE, "text/event-stream"))
        .insert_header((header::CACHE_CONTROL, "no-cache"))
        .message_body(body)
        .expect("the headers above are valid")
        .map_into_boxed_body()
}

/// The answer to a path or method that is not served.
pub(crate) fn unknown() -> Answer {
    text(StatusCode::NOT_FOUND, "no such path or method")
}
