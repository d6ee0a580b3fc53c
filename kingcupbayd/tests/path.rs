//! Tests of the whole path with separate processes: caller, entry, upstream
//! daemon, engine and platform.

#![allow(clippy::unwrap_used)]

mod common;

use common::{Fleet, build_request, completion_body, send_request};
use kingcupbay_standin::answer_text;

/// Streams an answer of each version. Guards against tokens of another version
/// or request, and against tokens lost or changed on the path.
#[actix_rt::test]
async fn a_streamed_answer_is_the_named_adapters_to_the_last_byte() {
    let fleet = Fleet::start(1, 1, &["--first", "1", "--gap", "0"], "").await;
    let entry = &fleet.entries[0];
    for model in ["tasting@v1", "tasting@v2"] {
        let answer =
            send_request(build_request(entry, "/v1/completions"), &completion_body(model, 40))
                .await;
        assert_eq!(answer.status, 200, "{}", answer.body);
        assert_eq!(answer.text(), answer_text(model, answer.request(), 0..40));
        assert!(answer.events().iter().all(|event| event["model"] == model));
        assert!(answer.body.ends_with("data: [DONE]\n\n"));
    }
}
