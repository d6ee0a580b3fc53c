//! The tool against a small operators' port: commands, lost answers, exit codes.

#![allow(clippy::unwrap_used)]

mod admin;

use std::{
    net::{TcpListener, TcpStream},
    path::PathBuf,
};

use admin::{Admin, Fault, code, errors, run};
use kingcupbay_core::config::model::KeyHash;

const WINERY: &[&str] = &["organisation", "set", "winery", "--rate", "100", "--burst", "1000"];

/// A file of this test's own in the build's directory for them.
fn file(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).unwrap();
    path.to_str().unwrap().to_owned()
}

#[test]
fn every_command_changes_or_shows_its_row() {
    let admin = Admin::start(&[]);
    let words = |line: &'static str| line.split(' ').collect::<Vec<_>>();
    assert_eq!(admin.done(WINERY), "number 1 is in force\n");
    admin.done(&words("adapter set tasting --organisation winery --base small"));
    admin.done(&words("version add tasting@v1 --source w/1"));
    admin.done(&words("version add tasting@v2 --source w/2"));
    admin.done(&words("adapter set tasting --organisation winery --base small --default v1"));
    // A default that is not named again stays.
    admin.done(&words("adapter set tasting --organisation winery --base large"));
    admin.done(&words("version remove tasting@v2"));
    admin.done(&words(
        "upstream set gpu1 --host h1 --address 127.0.0.1:9 --zone z1 --base large --slots 4 \
         --fenced true",
    ));
    admin.done(&words("upstream leave gpu1"));
    admin.done(&words(
        "upstream set desk --host h2 --address 127.0.0.1:8 --zone z1 --service booking",
    ));
    admin.done(&words("route set book --organisation winery --service booking --once true"));
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
        let printed = admin.done(&words(line));
        assert!(printed.starts_with(expected), "{line}:\n{printed}");
    }
    let rows: serde_json::Value =
        serde_json::from_str(&admin.done(&words("route list --json"))).unwrap();
    let book = serde_json::json!({
        "name": "book", "organisation": "winery", "service": "booking", "once": true,
    });
    assert_eq!(rows, serde_json::json!([book]));
    admin.done(&words("route remove book"));
    admin.done(&words("upstream remove desk"));
    admin.done(&words("adapter remove tasting"));
    admin.done(&words("organisation remove winery"));
    let history = admin.done(&words("history --after 14"));
    let last = history.lines().last().unwrap();
    assert!(last.starts_with("15 "), "{history}");
    assert!(last.ends_with("ops     remove organisation winery"), "{history}");
}

#[test]
fn a_key_is_shown_once_and_only_its_hash_is_sent() {
    let admin = Admin::start(&[]);
    admin.done(WINERY);
    let secret = admin.done(&["key", "issue", "desk", "--organisation", "winery"]);
    let secret = secret.trim();
    assert!(secret.starts_with("kcb_") && secret.len() == 4 + 64, "{secret}");
    assert!(admin.state.lock().unwrap().config.key(secret).is_some());
    let sent = serde_json::to_string(&admin.state.lock().unwrap().posted).unwrap();
    assert!(!sent.contains(&secret[4..]));
    let list = admin.done(&["key", "list"]);
    assert!(list.contains(&hex::encode(KeyHash::of(secret).0)), "{list}");
    admin.done(&["key", "withdraw", "desk"]);
    assert!(admin.state.lock().unwrap().config.key(secret).is_none());
}

#[test]
fn a_stale_patch_changes_nothing_and_names_the_number_in_force() {
    let admin = Admin::start(&[]);
    admin.done(WINERY);
    let stale = admin.run(&[WINERY, &["--against", "0"]].concat());
    assert_eq!(code(&stale), 3);
    assert_eq!(errors(&stale), "kingcupbay: stale: made against 0, but 1 is in force\n");
    let stale = admin.run(&[WINERY, &["--against", "0", "--json"]].concat());
    assert!(errors(&stale).contains("\"current\":1"), "{}", errors(&stale));
    let files = file("stale.ini", "[organisation winery]\nrate = 1\nburst = 1\n");
    let stale = admin.run(&["apply", "--against", "0", &files]);
    assert_eq!((code(&stale), admin.state.lock().unwrap().history.len()), (3, 1));
}

/// The daemon's connection closes after the table took the patch. An operator
/// who repeats by hand would make the change twice or be told "stale" about
/// their own patch; the tool repeats the same id and learns that it is done.
#[test]
fn a_lost_answer_is_resolved_by_the_same_patch_again() {
    for lost in [Fault::LostAnswer, Fault::LostRequest, Fault::Unacknowledged] {
        let admin = Admin::start(&[lost]);
        assert_eq!(admin.done(WINERY), "number 1 is in force\n");
        let state = admin.state.lock().unwrap();
        assert_eq!((state.posted.len(), state.history.len()), (2, 1));
        assert_eq!(state.posted[0], state.posted[1]);
    }
}

/// The answer is lost, and the daemon asked next calls the repeat stale: its
/// own patch made the next number. Telling the operator "nothing changed"
/// would be false; the history tells whose patch it was.
#[test]
fn a_stale_answer_after_a_lost_one_is_settled_by_the_history() {
    let admin = Admin::start(&[Fault::LostAndForgotten]);
    assert_eq!(admin.done(WINERY), "number 1 was taken\n");
    let admin = Admin::start(&[Fault::Overtaken]);
    let stale = admin.run(WINERY);
    assert_eq!(code(&stale), 3, "{}", errors(&stale));
}

#[test]
fn a_daemon_that_cannot_be_reached_is_passed_over() {
    let admin = Admin::start(&[]);
    // The near end of a connection: held, so nobody can come to listen there.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let held = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let gone = held.local_addr().unwrap();
    let output = run(&[gone, admin.address], WINERY);
    assert_eq!(code(&output), 0, "{}", errors(&output));
    let none = run(&[gone], WINERY);
    assert_eq!(code(&none), 4);
    assert!(errors(&none).contains(&gone.to_string()));
}

/// A daemon says truly that nothing reached the table; another one does not
/// know. The operator must not be told "nothing changed" in the second case.
#[test]
fn not_taken_is_told_apart_from_unknown() {
    let admin = Admin::start(&[Fault::NotTaken; 3]);
    let output = admin.run(WINERY);
    assert_eq!(code(&output), 4, "{}", errors(&output));
    let told = "no daemon could do it; nothing changed";
    let down = format!("kingcupbay: {told}\n{}: the table is down\n", admin.address);
    assert_eq!(errors(&output), down);
    for faults in [
        [Fault::Unknown; 3],
        [Fault::LostRequest; 3],
        [Fault::Unacknowledged; 3],
        [Fault::NotTaken, Fault::Unknown, Fault::NotTaken],
    ] {
        let admin = Admin::start(&faults);
        let output = admin.run(WINERY);
        assert_eq!(code(&output), 5, "{}", errors(&output));
        let id = admin.state.lock().unwrap().posted[0].id;
        assert!(errors(&output).contains(&format!("patch {id}")));
    }
}

#[test]
fn files_are_planned_applied_and_planned_to_nothing() {
    let admin = Admin::start(&[]);
    let first = file("first.ini", "[organisation winery]\nrate = 1\nburst = 2\n");
    let text = "[adapter tasting]\norganisation = winery\nbase = small\n";
    let second = file("second.ini", text);
    let plan = admin.done(&["plan", &first, &second]);
    let expected = "against 0: 2 changes\n  set organisation winery rate=1 burst=2\n  \
                    set adapter tasting organisation=winery base=small default=-\n";
    assert_eq!(plan, expected);
    assert!(admin.done(&["diff", &first]).starts_with("+[organisation winery]\n+rate = 1\n"));
    let applied = admin.done(&["apply", "--against", "0", &first, &second]);
    assert_eq!(applied, "number 1 is in force, 2 changes\n");
    assert_eq!(admin.done(&["diff", &first, &second]), "");
    let again = admin.done(&["apply", "--against", "1", &first, &second]);
    assert_eq!(again, "number 1 is in force, no change\n");
    assert_eq!(admin.state.lock().unwrap().posted.len(), 1);
    assert_eq!(
        admin.done(&["export"]),
        format!("{}\n{text}", std::fs::read_to_string(&first).unwrap())
    );
}

#[test]
fn a_declaration_that_does_not_check_is_refused_with_its_line() {
    let admin = Admin::start(&[]);
    let bad = file("bad.ini", "[organisation winery]\nrate = 0\nburst = 2\ncolour = red\n");
    let output = admin.run(&["plan", &bad]);
    assert_eq!(code(&output), 1);
    let shown = errors(&output);
    assert!(shown.contains("bad.ini:2: [organisation winery] rate: found \"0\""), "{shown}");
    assert!(shown.contains("bad.ini:4: [organisation winery] colour"), "{shown}");
    let version = "[organisation w]\nrate = 1\nburst = 1\n[adapter a]\norganisation = w\n\
                   base = b\n[version a@v1]\nsource = one\n";
    admin.done(&["apply", "--against", "0", &file("version.ini", version)]);
    let edited = file("edited.ini", &version.replace("one", "other"));
    let output = admin.run(&["apply", "--against", "1", &edited]);
    assert_eq!(code(&output), 1);
    assert!(errors(&output).contains("edited.ini:7: version a@v1: source = other"));
}

#[test]
fn usage_errors_and_refusals_have_their_codes() {
    let admin = Admin::start(&[]);
    let refused = admin.run(&["organisation", "remove", "nobody"]);
    assert_eq!(code(&refused), 1);
    assert_eq!(errors(&refused), "kingcupbay: refused: organisation nobody does not exist\n");
    assert_eq!(code(&admin.run(&["upstream", "leave", "nobody"])), 1);
    assert_eq!(code(&admin.run(&["member", "leave", "nobody"])), 1);
    let absent = admin.run(&["dump", "h9"]);
    assert_eq!(code(&absent), 1);
    assert_eq!(errors(&absent), "kingcupbay: refused: no such member\n");
    assert_eq!(code(&admin.run(&["plan", "/nowhere/x.ini"])), 2);
    assert_eq!(code(&admin.run(&["apply", "x.ini"])), 2);
    assert_eq!(code(&admin.run(&["organisation", "list", "--colour"])), 2);
    assert_eq!(code(&run(&[], &["organisation", "list"])), 2);
}

/// Completions and the man page are committed; they must say what the tool
/// does. When this fails, write them again with the command it names.
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
