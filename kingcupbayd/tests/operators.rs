//! Tests of the operators' tool against running daemons.

#![allow(clippy::unwrap_used)]

mod common;

use std::process::Command;

use common::{
    Process, build_request, completion_body, model_upstream, send_request, start_daemon,
    start_standin, wait_for_number, wait_until_ready,
};
use kingcupbay_core::config::change::Change;

/// Runs the tool and returns its exit code, output and errors.
fn run_tool(daemons: &[&Process], args: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(common::binary_path("kingcupbay"));
    command.env_remove("KINGCUPBAY_DAEMON").args(["--author", "ops"]).args(args);
    for daemon in daemons {
        command.arg("--daemon").arg(daemon.address("operators").to_string());
    }
    let output = command.output().unwrap();
    let text = |bytes| String::from_utf8(bytes).unwrap();
    (output.status.code().unwrap(), text(output.stdout), text(output.stderr))
}

/// Runs the tool, which must succeed, and returns its output.
fn run_ok(daemon: &Process, args: &[&str]) -> String {
    let (code, output, errors) = run_tool(&[daemon], args);
    assert_eq!(code, 0, "{args:?}: {errors}");
    output
}

/// Configures organisation, key, adapter, version and upstream with the tool
/// alone. Guards against commands that daemons refuse or apply wrongly: the
/// issued key must work and appear in no export or dump, a stale patch must be
/// refused, and the dump of any host must be available from any daemon.
#[actix_rt::test]
async fn an_operator_configures_a_fleet_with_the_tool() {
    let platform = start_standin("platform", &["--load", "1"]);
    let engine = start_standin("engine", &["--fenced", "--load", "1"]);
    let upstream = start_daemon("upstream", "upstream-1", &platform, "");
    let entry = start_daemon("entry", "entry-1", &platform, "");
    wait_until_ready(&upstream).await;
    wait_until_ready(&entry).await;
    let words = |line: &'static str| line.split(' ').collect::<Vec<_>>();
    run_ok(&entry, &words("organisation set winery --rate 10000 --burst 100000"));
    let secret = run_ok(&entry, &words("key issue desk --organisation winery"));
    run_ok(&upstream, &words("adapter set tasting --organisation winery --base base"));
    run_ok(&entry, &words("version add tasting@v1 --source weights/tasting/v1"));
    let Change::SetUpstream { upstream: row } = model_upstream("gpu-1", "upstream-1", &engine)
    else {
        unreachable!("it sets an upstream")
    };
    let set = words("upstream set gpu-1 --host upstream-1 --zone zone-a --base base --slots 8");
    let rest = ["--fenced", "true", "--address", row.address.as_str()];
    let taken = run_ok(&entry, &[set, rest.to_vec()].concat());
    let number: u64 = taken.split(' ').nth(1).unwrap().parse().unwrap();
    wait_for_number(&upstream, number).await;
    wait_for_number(&entry, number).await;

    let request = build_request(&entry, "/v1/completions").bearer_auth(secret.trim());
    let answer = send_request(request, &completion_body("tasting@v1", 3)).await;
    assert_eq!((answer.status, answer.events().len()), (200, 4), "{}", answer.body);

    let export = run_ok(&entry, &["export"]);
    assert!(!export.contains(secret.trim()));
    let file = std::path::PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("operators.ini");
    std::fs::write(&file, export.replace("burst = 100000", "burst = 5000")).unwrap();
    let file = file.to_str().unwrap();
    let plan = run_ok(&entry, &["plan", file]);
    let expected =
        format!("against {number}: 1 change\n  set organisation winery rate=10000 burst=5000\n");
    assert_eq!(plan, expected);
    let against = number.to_string();
    run_ok(&entry, &["apply", "--against", &against, file]);
    let (code, _, errors) = run_tool(&[&entry], &["apply", "--against", &against, file]);
    let stale = format!("stale: made against {number}, but {} is in force", number + 1);
    assert!(code == 3 && errors.contains(&stale), "{errors}");

    let history = run_ok(&entry, &["history", "--after", &against]);
    assert!(history.contains("ops     set organisation winery"), "{history}");
    assert!(run_ok(&upstream, &["status"]).contains("upstream-1"));
    for (asked, host) in [(&entry, "upstream-1"), (&entry, "entry-1"), (&upstream, "entry-1")] {
        let dump = run_ok(asked, &["dump", host]);
        assert!(dump.starts_with(&format!("host={host} ")), "{dump}");
        assert!(!dump.contains(secret.trim()));
    }
    let (code, _, errors) = run_tool(&[&entry], &["dump", "nowhere"]);
    assert!(code == 1 && errors.contains("refused: no such member"), "{errors}");
}

/// The first daemon that the operator names has been killed. Guards against a
/// tool that fails instead of sending the patch to the second one.
#[actix_rt::test]
async fn another_daemon_takes_the_patch_when_the_first_is_gone() {
    let platform = start_standin("platform", &[]);
    let (one, two) = (
        start_daemon("entry", "entry-1", &platform, ""),
        start_daemon("entry", "entry-2", &platform, ""),
    );
    wait_until_ready(&one).await;
    wait_until_ready(&two).await;
    one.signal("-KILL");
    let args = ["organisation", "set", "winery", "--rate", "1", "--burst", "1"];
    let (code, output, errors) = run_tool(&[&one, &two], &args);
    assert_eq!(code, 0, "{errors}");
    assert!(output.contains("is in force"), "{output}");
}
