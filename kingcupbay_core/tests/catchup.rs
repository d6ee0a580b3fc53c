//! Fetching a newer configuration from other entries.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{deployment::catchup::CatchUp, id::Number, time::Instant};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

/// Returns the number of fetches that an entry with configuration 5 begins in ten
/// seconds while twenty others report configuration 7 ten times a second. A fetch takes
/// `takes` milliseconds and delivers configuration 7 if `succeeds`.
fn fetches(takes: u64, succeeds: bool) -> u32 {
    let mut catch_up = CatchUp::default();
    let (mut own, mut begun, mut ends) = (Number(5), 0, None);
    for now in (0..10_000).step_by(5) {
        if ends.is_some_and(|end| end <= now) {
            ends = None;
            own = if succeeds { Number(7) } else { own };
            catch_up.on_fetch_end(at(now), own);
        }
        if catch_up.begin_fetch(at(now), own, Number(7)) {
            assert_eq!(ends, None, "one at a time");
            begun += 1;
            ends = Some(now + takes);
        }
    }
    begun
}

/// Some entries cannot reach the store while the operator writes. If each of them
/// fetched the configuration on every usage report with a newer number, 200 times a
/// second, the answers would saturate their links and arrive too late. In one such case,
/// three callers in four were not served for half a minute after the store had recovered.
#[test]
fn a_lagging_entry_limits_its_fetches() {
    assert_eq!(fetches(100, true), 1);
    let failed = fetches(1_500, false);
    assert!((3..=6).contains(&failed), "{failed}");
}

/// The store's feed delivers a change shortly after another entry has reported it. No
/// fetch may begin in between.
#[test]
fn what_the_feed_delivers_is_not_fetched() {
    let mut catch_up = CatchUp::default();
    assert!(!catch_up.begin_fetch(at(0), Number(5), Number(6)));
    assert!(!catch_up.begin_fetch(at(300), Number(5), Number(6)));
    assert!(!catch_up.begin_fetch(at(500), Number(6), Number(6)));
}

/// A key is withdrawn while this entry cannot reach the store. It must fetch the newer
/// configuration within a second.
#[test]
fn an_entry_cut_off_from_the_store_fetches_soon() {
    let mut catch_up = CatchUp::default();
    let fetched = (0..1_000).step_by(100).find(|&now| {
        // A report of an entry that lags too must change nothing.
        assert!(!catch_up.begin_fetch(at(now), Number(5), Number(4)));
        catch_up.begin_fetch(at(now), Number(5), Number(6))
    });
    assert_eq!(fetched, Some(400));
    catch_up.on_fetch_end(at(500), Number(6));
    assert!(!catch_up.begin_fetch(at(600), Number(6), Number(7)));
    assert!(catch_up.begin_fetch(at(1_000), Number(6), Number(7)));
}

/// The operator writes three times a second while this entry cannot reach the store. If
/// each newer number restarted the wait for the feed, the fetch would only follow the
/// last one, and withdrawn keys and removed routes would stay in use until then. In one
/// such case, numbers were acknowledged at 6.03, 6.33 and 6.63 s and fetched at 7.07 s.
#[test]
fn a_series_of_changes_does_not_delay_the_fetch() {
    let mut catch_up = CatchUp::default();
    let fetched = (0..5_000).step_by(100).find(|&now| {
        let theirs = Number(6 + now / 300);
        catch_up.begin_fetch(at(now), Number(5), theirs)
    });
    assert_eq!(fetched, Some(400));
}

/// The operator adds a route, and the first entry from which it is fetched does not
/// answer. If the second fetch began late, callers of the route would be refused for
/// longer than the bound.
#[test]
fn a_failed_fetch_is_followed_by_another_soon() {
    let mut catch_up = CatchUp::default();
    assert!(!catch_up.begin_fetch(at(0), Number(5), Number(6)));
    assert!(catch_up.begin_fetch(at(400), Number(5), Number(6)));
    catch_up.on_fetch_end(at(1_200), Number(5));
    let mut moments = (1_200..3_000).step_by(50);
    let again = moments.find(|&now| catch_up.begin_fetch(at(now), Number(5), Number(6)));
    assert_eq!(again, Some(1_450));
    catch_up.on_fetch_end(at(2_250), Number(5));
    let again =
        moments.find(|&now| now >= 2_250 && catch_up.begin_fetch(at(now), Number(5), Number(6)));
    assert_eq!(again, Some(2_750), "the pause doubles with each failed fetch");
}
