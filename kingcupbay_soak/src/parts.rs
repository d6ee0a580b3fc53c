//! Checks that a part of prompts on which engines crash, and a request under which they end, are
//! found and refused.

use std::{rc::Rc, time::Duration};

use kingcupbay_core::random::Random;
use kingcupbay_standin::CrashStyle;

use crate::{
    callers::{ADAPTERS, Caller, Context, Spec},
    promises::Breach,
    sent::Kind,
};

/// Crashes on one part that requests sent one after the other may cause.
const CRASHES_MAX: u32 = 12;

/// Crashes that one request may cause, sent once at a time.
const REQUEST_CRASHES_MAX: u32 = 3;

/// Time in which entries decide on the crashes that they know, and tell each other.
const DECISION_TIME: Duration = Duration::from_millis(2_500);

/// Time in which every entry must refuse the part.
const LIMIT: Duration = Duration::from_secs(60);

/// Most milliseconds for which an engine is silent before it crashes.
const SILENCE_MAX_MS: u64 = 1_500;

const PROMISE: &str = "a part that crashes engines is refused";

/// Makes engines crash on a new part, and sends requests with it to all entries in turn until
/// each refuses it. Sound requests go on beside it.
pub(crate) async fn check(context: &Rc<Context>, random: &mut Random) -> Option<Breach> {
    let engines = &context.fleet.engines;
    let part = format!("{:x}", random.draw() | 1);
    engines.iter().for_each(|engine| engine.runner.crash_on(&part));
    let crashes = || engines.iter().map(|engine| engine.runner.crashes()).sum::<u32>();
    let before = crashes();
    let refused = async {
        loop {
            let mut refusing = 0;
            for entry in 0..context.fleet.entries.len() {
                let known = crashes();
                let name = format!("fatal-{}", random.draw());
                let mut caller = Caller::new(context, &name, entry, random.draw());
                let spec = Spec { part: Some(part.clone()), ..Spec::new(Kind::Tour) };
                let sent = caller.send(spec).await;
                // It waits for the end of an answer, and so for the crash.
                refusing += usize::from(sent.status() == Some(503) && crashes() == known);
                register_crashed(context);
                if crashes() - before >= 3 {
                    tokio::time::sleep(DECISION_TIME).await;
                }
                if crashes() - before > CRASHES_MAX {
                    return;
                }
            }
            if refusing == context.fleet.entries.len() && crashes() - before >= 3 {
                return;
            }
        }
    };
    let in_time = tokio::time::timeout(LIMIT, refused).await.is_ok();
    engines.iter().for_each(|engine| engine.runner.clear_fatal_parts());
    let ended = crashes() - before;
    let details = format!("{ended} crashes on {part}, all entries refuse it: {in_time}");
    (ended > CRASHES_MAX || !in_time).then_some(Breach { promise: PROMISE, details })
}

/// Makes engines crash on the part of one request, and sends that to all entries in turn until
/// each refuses it.
pub(crate) async fn check_request(context: &Rc<Context>, random: &mut Random) -> Option<Breach> {
    let engines = &context.fleet.engines;
    let own = format!("{:x}", random.draw() | 1);
    let style = draw_style(random);
    for engine in engines {
        engine.runner.set_crash_style(style);
        engine.runner.crash_on(&own);
    }
    let crashes = || engines.iter().map(|engine| engine.runner.crashes()).sum::<u32>();
    let before = crashes();
    let refused = async {
        loop {
            let mut refusing = 0;
            for entry in 0..context.fleet.entries.len() {
                let known = crashes();
                let name = format!("request-{}", random.draw());
                let mut caller = Caller::new(context, &name, entry, random.draw());
                let same = Some(format!("5c1e07a2:20,{own}:20"));
                let adapter = Some(ADAPTERS[0]);
                let sent = caller.send(Spec { same, adapter, ..Spec::new(Kind::Tour) }).await;
                refusing += usize::from(sent.status() == Some(503) && crashes() == known);
                register_crashed(context);
            }
            if refusing == context.fleet.entries.len() && crashes() - before >= REQUEST_CRASHES_MAX
            {
                return;
            }
        }
    };
    let in_time = tokio::time::timeout(LIMIT, refused).await.is_ok();
    engines.iter().for_each(|engine| engine.runner.clear_fatal_parts());
    let ended = crashes() - before;
    engines.iter().for_each(|engine| engine.runner.set_crash_style(CrashStyle::Cut));
    let details =
        format!("{ended} crashes ({style:?}) under {own}, all entries refuse it: {in_time}");
    let promise = "a request that ends upstreams is refused";
    (ended > REQUEST_CRASHES_MAX || !in_time).then_some(Breach { promise, details })
}

/// Draws how crashes show.
fn draw_style(random: &mut Random) -> CrashStyle {
    match random.below(3) {
        0 => CrashStyle::Cut,
        1 => CrashStyle::Garbage,
        _ => CrashStyle::Silent(Duration::from_millis(100 + random.below(SILENCE_MAX_MS))),
    }
}

/// Registers engines that have crashed since as started anew.
fn register_crashed(context: &Context) {
    for engine in &context.fleet.engines {
        let crashes = engine.runner.crashes();
        if engine.crashes.replace(crashes) != crashes {
            engine.born.set(engine.born.get() + 1);
            context.fleet.register(engine, engine.leaving.get());
        }
    }
}
