//! Tests of the command-line tool against a fake operators' port: commands, lost
//! answers and exit codes.

#![allow(clippy::unwrap_used)]

mod admin;

use std::{
    net::{TcpListener, TcpStream},
    path::PathBuf,
};

use admin::{AdminServer, Fault, exit_code, run, stderr_text};
use kingcupbay_core::config::model::KeyHash;

const SET_WINERY: &[&str] = &["organisation", "set", "winery", "--rate", "100", "--burst", "1000"];

/// Writes a file into the directory for temporary files of tests and returns its
/// path.
fn write_file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

/// Runs the commands that change or list rows and compares the tables, so that a
/// command that sends a wrong change or prints a wrong column is found.
#[test]
fn every_command_changes_or_shows_its_row() {
    let admin = AdminServer::start(&[]);
    let words = |line: &'static str| line.split(' ').collect::<Vec<_>>();
    assert_eq!(admin.run_ok(SET_WINERY), "number 1 is in force\n");
    admin.run_ok(&words("adapter set tasting --organisation winery --base small"));
    admin.run_ok(&words("version add tasting@v1 --source w/1"));
    admin.run_ok(&words("version add tasting@v2 --source w/2"));
    admin.run_ok(&words("adapter set tasting --organisation winery --base small --default v1"));
    // Without --default the default of the adapter is kept.
    admin.run_ok(&words("adapter set tasting --organisation winery --base large"));
    admin.run_ok(&words("version remove tasting@v2"));
    admin.run_ok(&words(
        "upstream set gpu1 --host h1 --address 127.0.0.1:9 --zone z1 --base large --slots 4 \
         --fenced true",
    ));
    admin.run_ok(&words("upstream leave gpu1"));
    admin.run_ok(&words(
        "upstream set desk --host h2 --address 127.0.0.1:8 --zone z1 --service booking",
    ));
    admin.run_ok(&words("route set book --organisation winery --service booking --once true"));
    let listed = [
        ("organisation list", "NAME    RATE  BURST\nwinery  100   1000\n"),
        (
            "adapter list",
            "NAME     ORGANISATION  BASE   DEFAULT  VERSIONS\n\
             tasting  winery        large  v1       1\n",
        ),
        ("version list", "ADAPTER  LABEL  SOURCE\ntasting  v1     w/1\n"),
        (
            "upstream list",
            "NAME  HOST  ADDRESS      ZONE  SERVES                          LEAVING\n\
             gpu1  h1    127.0.0.1:9  z1    base=large slots=4 fenced=true  true\n\
             desk  h2    127.0.0.1:8  z1    service=booking                 false\n",
        ),
        ("route list", "NAME  ORGANISATION  SERVICE  ONCE\nbook  winery        booking  true\n"),
        ("member list", "HOST  ADDRESS  ZONE  ROLE  INCARNATION\n"),
        ("status", "FIELD     VALUE\nnumber    3\nstanding  true\n"),
        ("dump h1", "host h1\n"),
        ("export --json", "{\n  \"declaration\": \"[organisation winery]\\nrate = 100\\n"),
    ];
    for (line, expected) in listed {
        let printed = admin.run_ok(&words(line));
        assert!(printed.starts_with(expected), "{line}:\n{printed}");
    }
    let rows: serde_json::Value =
        serde_json::from_str(&admin.run_ok(&words("route list --json"))).unwrap();
    let book = serde_json::json!({
        "name": "book", "organisation": "winery", "service": "booking", "once": true,
    });
    assert_eq!(rows, serde_json::json!([book]));
    admin.run_ok(&words("route remove book"));
    admin.run_ok(&words("upstream remove desk"));
    admin.run_ok(&words("adapter remove tasting"));
    admin.run_ok(&words("organisation remove winery"));
    let history = admin.run_ok(&words("history --after 14"));
    let last = history.lines().last().unwrap();
    assert!(last.starts_with("15 "), "{history}");
    assert!(last.ends_with("ops     remove organisation winery"), "{history}");
}

/// The tool must send only the hash of a key: whoever reads the configuration or
/// its history must not find a secret there.
#[test]
fn a_key_is_shown_once_and_only_its_hash_is_sent() {
    let admin = AdminServer::start(&[]);
    admin.run_ok(SET_WINERY);
    let secret = admin.run_ok(&["key", "issue", "desk", "--organisation", "winery"]);
    let secret = secret.trim();
    assert!(secret.starts_with("kcb_") && secret.len() == 4 + 64, "{secret}");
    assert!(admin.state.lock().unwrap().config.key(secret).is_some());
    let sent = serde_json::to_string(&admin.state.lock().unwrap().posted).unwrap();
    assert!(!sent.contains(&secret[4..]));
    let list = admin.run_ok(&["key", "list"]);
    assert!(list.contains(&hex::encode(KeyHash::of(secret).0)), "{list}");
    admin.run_ok(&["key", "withdraw", "desk"]);
    assert!(admin.state.lock().unwrap().config.key(secret).is_none());
}

/// Two operators may change the configuration at once. A change made against an
/// older number must not overwrite the newer one, and its operator needs the
/// number in force to try again.
#[test]
fn a_stale_patch_changes_nothing_and_names_the_number_in_force() {
    let admin = AdminServer::start(&[]);
    admin.run_ok(SET_WINERY);
    let stale = admin.run(&[SET_WINERY, &["--against", "0"]].concat());
    assert_eq!(exit_code(&stale), 3);
    assert_eq!(stderr_text(&stale), "kingcupbay: stale: made against 0, but 1 is in force\n");
    let stale = admin.run(&[SET_WINERY, &["--against", "0", "--json"]].concat());
    assert!(stderr_text(&stale).contains("\"current\":1"), "{}", stderr_text(&stale));
    let files = write_file("stale.ini", "[organisation winery]\nrate = 1\nburst = 1\n");
    let stale = admin.run(&["apply", "--against", "0", &files]);
    assert_eq!((exit_code(&stale), admin.state.lock().unwrap().history.len()), (3, 1));
}

/// The connection closes before or after the table took the patch, or no majority
/// holds the patch yet. If the operator repeated the command, the change would be
/// made twice or be refused as stale because of the operator's own patch. The tool
/// instead posts the patch again with the same id and gets its result.
#[test]
fn a_lost_answer_is_resolved_by_the_same_patch_again() {
    for lost in [Fault::LostAnswer, Fault::LostRequest, Fault::Unacknowledged] {
        let admin = AdminServer::start(&[lost]);
        assert_eq!(admin.run_ok(SET_WINERY), "number 1 is in force\n");
        let state = admin.state.lock().unwrap();
        assert_eq!((state.posted.len(), state.history.len()), (2, 1));
        assert_eq!(state.posted[0], state.posted[1]);
    }
}

/// The answer is lost and the repeated patch is refused as stale, because the
/// first post made the next number and its id is not recognised. The message
/// "nothing changed" would be wrong; the history says whose patch made the number.
#[test]
fn a_stale_answer_after_a_lost_one_is_resolved_by_the_history() {
    let admin = AdminServer::start(&[Fault::LostAndForgotten]);
    assert_eq!(admin.run_ok(SET_WINERY), "number 1 was taken\n");
    let admin = AdminServer::start(&[Fault::Overtaken]);
    let stale = admin.run(SET_WINERY);
    assert_eq!(exit_code(&stale), 3, "{}", stderr_text(&stale));
}

/// One of the named daemons is down. The command must still succeed by another
/// one, or else fail with an error that names the unreachable daemon.
#[test]
fn a_daemon_that_cannot_be_reached_is_passed_over() {
    let admin = AdminServer::start(&[]);
    // The local address of a connection that stays open, so that no process can
    // listen there.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let unreachable = stream.local_addr().unwrap();
    let output = run(&[unreachable, admin.address], SET_WINERY);
    assert_eq!(exit_code(&output), 0, "{}", stderr_text(&output));
    let none = run(&[unreachable], SET_WINERY);
    assert_eq!(exit_code(&none), 4);
    assert!(stderr_text(&none).contains(&unreachable.to_string()));
}

/// A daemon may know that a patch did not reach the table, or not know its
/// outcome. The message "nothing changed" is correct only in the first case.
#[test]
fn a_patch_not_taken_is_distinguished_from_an_unknown_outcome() {
    let admin = AdminServer::start(&[Fault::NotTaken; 3]);
    let output = admin.run(SET_WINERY);
    assert_eq!(exit_code(&output), 4, "{}", stderr_text(&output));
    let message = "no daemon could do it; nothing changed";
    let expected = format!("kingcupbay: {message}\n{}: the table is down\n", admin.address);
    assert_eq!(stderr_text(&output), expected);
    for faults in [
        [Fault::Unknown; 3],
        [Fault::LostRequest; 3],
        [Fault::Unacknowledged; 3],
        [Fault::NotTaken, Fault::Unknown, Fault::NotTaken],
    ] {
        let admin = AdminServer::start(&faults);
        let output = admin.run(SET_WINERY);
        assert_eq!(exit_code(&output), 5, "{}", stderr_text(&output));
        let id = admin.state.lock().unwrap().posted[0].id;
        assert!(stderr_text(&output).contains(&format!("patch {id}")));
    }
}

/// Files are planned, compared and applied. Applying them again must find no
/// change and post no patch, so that a repeated apply makes no new number.
#[test]
fn an_applied_declaration_plans_no_further_change() {
    let admin = AdminServer::start(&[]);
    let first = write_file("first.ini", "[organisation winery]\nrate = 1\nburst = 2\n");
    let text = "[adapter tasting]\norganisation = winery\nbase = small\n";
    let second = write_file("second.ini", text);
    let plan = admin.run_ok(&["plan", &first, &second]);
    let expected = "against 0: 2 changes\n  set organisation winery rate=1 burst=2\n  \
                    set adapter tasting organisation=winery base=small default=-\n";
    assert_eq!(plan, expected);
    assert!(admin.run_ok(&["diff", &first]).starts_with("+[organisation winery]\n+rate = 1\n"));
    let applied = admin.run_ok(&["apply", "--against", "0", &first, &second]);
    assert_eq!(applied, "number 1 is in force, 2 changes\n");
    assert_eq!(admin.run_ok(&["diff", &first, &second]), "");
    let again = admin.run_ok(&["apply", "--against", "1", &first, &second]);
    assert_eq!(again, "number 1 is in force, no change\n");
    assert_eq!(admin.state.lock().unwrap().posted.len(), 1);
    assert_eq!(
        admin.run_ok(&["export"]),
        format!("{}\n{text}", std::fs::read_to_string(&first).unwrap())
    );
}

/// A declaration with mistakes or a change that is refused must be reported with
/// file and line; a daemon, which gets only the changes, cannot name the line.
#[test]
fn an_invalid_declaration_is_refused_with_its_line() {
    let admin = AdminServer::start(&[]);
    let bad = write_file("bad.ini", "[organisation winery]\nrate = 0\nburst = 2\ncolour = red\n");
    let output = admin.run(&["plan", &bad]);
    assert_eq!(exit_code(&output), 1);
    let shown = stderr_text(&output);
    assert!(shown.contains("bad.ini:2: [organisation winery] rate: found \"0\""), "{shown}");
    assert!(shown.contains("bad.ini:4: [organisation winery] colour"), "{shown}");
    let version = "[organisation w]\nrate = 1\nburst = 1\n[adapter a]\norganisation = w\n\
                   base = b\n[version a@v1]\nsource = one\n";
    admin.run_ok(&["apply", "--against", "0", &write_file("version.ini", version)]);
    let edited = write_file("edited.ini", &version.replace("one", "other"));
    let output = admin.run(&["apply", "--against", "1", &edited]);
    assert_eq!(exit_code(&output), 1);
    assert!(stderr_text(&output).contains("edited.ini:7: version a@v1: source = other"));
}

/// Scripts must be able to tell usage errors (2) from refusals (1).
#[test]
fn usage_errors_and_refusals_have_their_exit_codes() {
    let admin = AdminServer::start(&[]);
    let refused = admin.run(&["organisation", "remove", "nobody"]);
    assert_eq!(exit_code(&refused), 1);
    assert_eq!(stderr_text(&refused), "kingcupbay: refused: organisation nobody does not exist\n");
    assert_eq!(exit_code(&admin.run(&["upstream", "leave", "nobody"])), 1);
    assert_eq!(exit_code(&admin.run(&["member", "leave", "nobody"])), 1);
    let absent = admin.run(&["dump", "h9"]);
    assert_eq!(exit_code(&absent), 1);
    assert_eq!(stderr_text(&absent), "kingcupbay: refused: no such member\n");
    assert_eq!(exit_code(&admin.run(&["plan", "/nowhere/x.ini"])), 2);
    assert_eq!(exit_code(&admin.run(&["apply", "x.ini"])), 2);
    assert_eq!(exit_code(&admin.run(&["organisation", "list", "--colour"])), 2);
    assert_eq!(exit_code(&run(&[], &["organisation", "list"])), 2);
}

/// The completions and the man page are committed and become outdated when the
/// command line changes. If this test fails, generate them again with the command
/// in its message.
#[test]
fn the_committed_pages_are_current() {
    let pages = [
        ("man/kingcupbay.1", vec!["man"]),
        ("completions/kingcupbay.bash", vec!["completions", "bash"]),
        ("completions/_kingcupbay", vec!["completions", "zsh"]),
        ("completions/kingcupbay.fish", vec!["completions", "fish"]),
    ];
    for (path, args) in pages {
        let extra = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../extra").join(path);
        let committed = std::fs::read_to_string(extra).unwrap();
        let output = run(&[], &args);
        let current = String::from_utf8(output.stdout).unwrap();
        assert!(committed == current, "write extra/{path} by `kingcupbay {}`", args.join(" "));
    }
}
