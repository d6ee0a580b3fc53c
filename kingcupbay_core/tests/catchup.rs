//! Asking other entries for a newer configuration.

#![allow(clippy::unwrap_used)]

use kingcupbay_core::{deployment::catchup::CatchUp, id::Number, time::Instant};

fn at(millis: u64) -> Instant {
    Instant::from_micros(1_000_000 + millis * 1_000)
}

/// Twenty others tell of number 7 ten times a second, this entry is at 5; a
/// fetch takes `takes` ms. Fetches begun in ten seconds.
fn fetches(takes: u64, brings: bool) -> u32 {
    let mut catch_up = CatchUp::default();
    let (mut own, mut begun, mut ends) = (Number(5), 0, None);
    for now in (0..10_000).step_by(5) {
        if ends.is_some_and(|end| end <= now) {
            ends = None;
            own = if brings { Number(7) } else { own };
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

/// The store is away for some entries while the operator writes. Each tally that
/// named a newer number made them fetch it from its sender, 200 times a second
/// each, until their links were full of answers that came too late; for half a
/// minute three callers in four were not served, although the store was back.
#[test]
fn being_behind_makes_no_storm() {
    assert_eq!(fetches(100, true), 1);
    let vain = fetches(1_500, false);
    assert!((3..=6).contains(&vain), "{vain}");
}

/// The store's feed tells everybody within a moment; nobody need ask.
#[test]
fn what_the_feed_brings_is_not_asked_for() {
    let mut catch_up = CatchUp::default();
    assert!(!catch_up.begin_fetch(at(0), Number(5), Number(6)));
    assert!(!catch_up.begin_fetch(at(300), Number(5), Number(6)));
    assert!(!catch_up.begin_fetch(at(500), Number(6), Number(6)));
}

/// A key was withdrawn while the store is away here: the first second must bring
/// the news.
#[test]
fn an_entry_cut_off_from_the_store_asks_soon() {
    let mut catch_up = CatchUp::default();
    let asked = (0..1_000).step_by(100).find(|&now| {
        // One that lags too says nothing new in between.
        assert!(!catch_up.begin_fetch(at(now), Number(5), Number(4)));
        catch_up.begin_fetch(at(now), Number(5), Number(6))
    });
    assert_eq!(asked, Some(400));
    catch_up.on_fetch_end(at(500), Number(6));
    assert!(!catch_up.begin_fetch(at(600), Number(6), Number(7)));
    assert!(catch_up.begin_fetch(at(1_000), Number(6), Number(7)));
}

/// The operator writes three times a second while the store is away here. Each newer
/// number began the wait for the feed anew, so nobody was asked until the last of
/// them, and withdrawn keys and dropped routes lived on for as long. An entry's lines
/// of such a moment: numbers acknowledged at 6.03, 6.33 and 6.63 s, asked at 7.07 s.
#[test]
fn a_row_of_changes_does_not_put_off_asking() {
    let mut catch_up = CatchUp::default();
    let asked = (0..5_000).step_by(100).find(|&now| {
        let theirs = Number(6 + now / 300);
        catch_up.begin_fetch(at(now), Number(5), theirs)
    });
    assert_eq!(asked, Some(400));
}

/// A new route was confirmed. The first entry that is asked for it does not answer, and
/// callers of the route were refused past the bound, as the second was asked late.
#[test]
fn after_a_fetch_in_vain_another_entry_is_asked_soon() {
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
    assert_eq!(again, Some(2_750), "each time in vain the pause doubles");
}
