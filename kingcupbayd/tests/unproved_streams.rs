//! Streams whose heads do not prove that an upstream made them.

#![allow(clippy::unwrap_used)]

mod common;

use common::registered::{KEY, STREAM_HEADERS, event_ids, request_tour, start_two_engines};
use kingcupbay_standin::{SpoiledHead, UpstreamSettings};

/// An engine's answer lacks its signature, or names an encoding. It must not be passed on as a
/// success, and the stream must be begun at another engine.
#[actix_rt::test]
async fn a_stream_without_a_proof_is_not_passed_on() {
    for spoiled in [SpoiledHead::Unsigned, SpoiledHead::Encoded] {
        let settings = |id: &str| UpstreamSettings::engine(id, 6);
        let (fleet, engines, _sidecars) = start_two_engines(settings).await;
        assert_eq!(request_tour(&fleet, "a1", None).await.status, 200);
        engines[0].set_spoiled(Some(spoiled));
        let (before, mut served) = (engines[0].runs().len(), 0);
        for number in 0..12 {
            let adapter = format!("base/a{number}");
            let headers = [("x-model", &*adapter), STREAM_HEADERS[1]];
            let attempt = format!("b{number}");
            let got = fleet.send_with("POST", "/tour/day", &attempt, KEY, &headers).await;
            if got.status == 200 {
                let proof = format!("stamp-of-{attempt}");
                assert_eq!(got.signature, Some(proof), "{spoiled:?}, stream {number}");
                assert_eq!(event_ids(&got.body.unwrap()), [1, 2, 3, 4, 5, 6]);
                served += 1;
            }
        }
        assert!(engines[0].runs().len() > before, "the first engine has begun no stream");
        assert!(served > 0, "no stream was served");
    }
}
