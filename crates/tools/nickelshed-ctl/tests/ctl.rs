//! Runs the program `nickelshed-ctl` and checks its exit codes and output.
mod common;

use common::{TestFolder, PROGRAM};
use std::fs;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::Command;

const EXAMPLE: &str = include_str!("../../../../deploy/sidecar.toml");

fn read(folder: &TestFolder, name: &str) -> String {
    fs::read_to_string(folder.0.join(name)).unwrap()
}

fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..").join(path)
}

#[test]
fn two_members_with_the_same_name_or_address_are_reported_across_files() {
    let folder = TestFolder::new("members");
    let member = |application: &str, port: u16, listen: u16, name: &str| {
        let fleet = format!("[fleet]\nname = \"alarm\"\nmember = \"{name}\"\nlisten = \"127.0.0.1:{listen}\"\n\n[connections]");
        let text = EXAMPLE.replace("prognozy-wschod", application).replace("7400", &port.to_string());
        text.replace("target/sidecar", &format!("target/{application}")).replace("[connections]", &fleet)
    };
    folder.write("a.toml", &member("a", 7400, 7450, "one"));
    folder.write("b.toml", &member("b", 7401, 7450, "two"));
    folder.write("c.toml", &member("c", 7402, 7452, "one"));
    let (code, text) = folder.run(&["check", "a.toml", "b.toml"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("NS806") && text.contains("both receive datagrams at 127.0.0.1:7450"), "{text}");
    let (code, text) = folder.run(&["check", "a.toml", "c.toml"]);
    assert_eq!(code, 1, "{text}");
    assert!(
        text.contains("NS805") && text.contains("two members named `one` in the fleet `alarm`"),
        "{text}"
    );
}

/// Compares the whole output for two errors that users have named, because operators act on that text.
#[test]
fn a_port_conflict_and_a_deadline_after_abandonment_are_reported_in_full() {
    let folder = TestFolder::new("full-output");
    let second =
        EXAMPLE.replace("prognozy-wschod", "prognozy-zachod").replace("target/sidecar", "target/zachod");
    folder.write("wschod.toml", EXAMPLE);
    folder.write("zachod.toml", &second);
    let (code, text) = folder.run(&["check", "wschod.toml", "zachod.toml"]);
    let expected = r#"error[NS801]: applications `prognozy-wschod` and `prognozy-zachod` both use port 7400 on one host: 127.0.0.1:7400 and 127.0.0.1:7400
 --> zachod.toml:4:10
  |
4 | listen = "127.0.0.1:7400"
  |          ^^^^^^^^^^^^^^^^
  |
 ::: wschod.toml:4:10
  |
4 | listen = "127.0.0.1:7400"
  |          ---------------- first used here
  |
  = note: Only the first sidecar to start gets the port; the other does not start, or its application submits to the wrong sidecar.
  = help: Give each a different port, or set `host` in both files if they run on different machines.

2 files: 1 error, 0 warnings
"#;
    assert_eq!((code, text.as_str()), (1, expected));

    let late = EXAMPLE.replace("abandoned_after = \"16s\"", "abandoned_after = \"20s\"");
    folder.write("late.toml", &late);
    let (code, text) = folder.run(&["check", "late.toml"]);
    let expected = r#"error[NS201]: class `alert-prognozy` is abandoned after 20s, later than 16s, after which nobody waits for a message any more
  --> late.toml:46:19
   |
46 | abandoned_after = "20s"
   |                   ^^^^^
   |
   = note: After `rules.abandonment` (16 s by default) neither the client nor the destination waits for a message any more, and the destination may have forgotten its key. A message delivered later is too late for both and may be executed twice.
   = help: Set `abandoned_after` to 16s at most, or raise `rules.abandonment` if clients and destinations really wait longer

1 file: 1 error, 0 warnings
"#;
    assert_eq!((code, text.as_str()), (1, expected));
}

#[test]
fn ports_conflict_with_unspecified_addresses_and_only_on_the_same_host() {
    let folder = TestFolder::new("ports");
    let file = |name: &str, listen: &str, host: &str| {
        let text = EXAMPLE.replace("prognozy-wschod", name).replace("target/sidecar", name);
        let text = text
            .replace("127.0.0.1:7400", listen)
            .replace("allow = [\"NS203\"]", "allow = [\"NS203\", \"NS603\"]");
        folder.write(&format!("{name}.toml"), &text.replace("loopback_only = true", host));
    };
    let rows = [
        ("127.0.0.1:7400", "", "0.0.0.0:7400", "", true),
        ("0.0.0.0:7400", "", "127.0.0.1:7400", "", true),
        ("[::]:7400", "", "127.0.0.1:7400", "", true),
        ("[::ffff:127.0.0.1]:7400", "", "127.0.0.1:7400", "", true),
        ("127.0.0.1:7400", "", "127.0.0.2:7400", "", false),
        ("127.0.0.1:7400", "", "127.0.0.1:7401", "", false),
        ("127.0.0.1:7400", "host = \"a\"", "127.0.0.1:7400", "host = \"b\"", false),
        ("127.0.0.1:7400", "host = \"a\"", "0.0.0.0:7400", "host = \"a\"", true),
        // A file without `host` may be used on any machine.
        ("127.0.0.1:7400", "", "127.0.0.1:7400", "host = \"b\"", true),
        ("127.0.0.1:7400", "host = \"a\"", "127.0.0.1:7400", "", true),
    ];
    for (first_listen, first_host, second_listen, second_host, conflicts) in rows {
        file("one", first_listen, first_host);
        file("two", second_listen, second_host);
        let (code, text) = folder.run(&["check", "one.toml", "two.toml"]);
        assert_eq!(
            (code, text.contains("NS801")),
            (i32::from(conflicts), conflicts),
            "{first_listen} {second_listen}: {text}"
        );
    }
}

#[test]
fn a_duplicate_name_on_a_host_is_a_warning_that_can_be_allowed() {
    let folder = TestFolder::new("names");
    let second = EXAMPLE.replace("7400", "7401").replace("target/sidecar", "target/other");
    folder.write("one.toml", EXAMPLE);
    folder.write("two.toml", &second);
    let (code, text) = folder.run(&["check", "one.toml", "two.toml"]);
    assert!(code == 0 && text.contains("warning[NS803]"), "{text}");
    folder.write("two.toml", &second.replace("[\"NS203\"]", "[\"NS203\", \"NS803\"]"));
    assert_eq!(folder.run(&["check", "--deny-warnings", "one.toml", "two.toml"]).0, 0);
}

#[test]
fn a_shared_state_folder_is_detected_through_dots_and_symbolic_links() {
    let folder = TestFolder::new("folders");
    fs::create_dir_all(folder.0.join("real/deep")).unwrap();
    symlink("real/deep", folder.0.join("link")).unwrap();
    let file = |name: &str, port: u16, state: &str| {
        let text = EXAMPLE.replace("prognozy-wschod", name).replace("7400", &port.to_string());
        let text = text.replace("../target/sidecar/notices.jsonl", &format!("{name}.jsonl"));
        folder.write(&format!("{name}.toml"), &text.replace("../target/sidecar/state", state));
    };
    file("one", 7400, "real/deep/new/state");
    for (state, conflicts) in [
        ("real/deep/new/state", true),
        ("link/new/state", true),
        ("real/deep/../deep/./new/state/", true),
        ("link/new/gone/../state", true),
        // `..` after a symbolic link is the parent of the link target.
        ("link/../real/deep/new/state", false),
        ("real/deep/new/state2", false),
    ] {
        file("two", 7401, state);
        let (code, text) = folder.run(&["check", "one.toml", "two.toml"]);
        assert_eq!((code, text.contains("NS802")), (i32::from(conflicts), conflicts), "{state}: {text}");
    }
}

#[test]
fn findings_are_printed_as_json() {
    let folder = TestFolder::new("json");
    folder.write("a.toml", &EXAMPLE.replace("slots", "slotz").replace("allow = [\"NS203\"]", ""));
    let (code, text) = folder.run(&["check", "--format", "json", "a.toml", "none.toml"]);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, &value["errors"], &value["warnings"], &value["files"]),
        (1, &2.into(), &1.into(), &2.into())
    );
    let slotz = &value["findings"][0];
    assert_eq!((&slotz["code"], &slotz["line"], &slotz["column"]), (&"NS101".into(), &17.into(), &1.into()));
    assert_eq!(value["findings"][2]["code"], "NS001");
    // Warnings alone give exit code 0, or 1 with --deny-warnings.
    folder.write("b.toml", &EXAMPLE.replace("allow = [\"NS203\"]", ""));
    assert_eq!(folder.run(&["check", "b.toml"]).0, 0);
    assert_eq!(folder.run(&["check", "--deny-warnings", "b.toml"]).0, 1);
    assert_eq!(folder.run(&["check"]).0, 2);
}

#[test]
fn every_code_has_an_explanation() {
    let folder = TestFolder::new("explain");
    let (code, code_list) = folder.run(&["explain"]);
    assert_eq!(code, 0);
    for line in code_list.lines() {
        let code_name = line.split(' ').next().unwrap();
        let (code, text) = folder.run(&["explain", &code_name.to_lowercase()]);
        assert!(code == 0 && text.starts_with(code_name) && text.contains("How to fix it: "), "{text}");
    }
    assert!(code_list.lines().count() > 40);
    assert_eq!(folder.run(&["explain", "NS000"]).0, 2);
}

#[test]
fn diff_describes_each_change() {
    let folder = TestFolder::new("diff");
    folder.write("a.toml", EXAMPLE);
    let new = EXAMPLE
        .replacen("abandoned_after = \"16s\"", "abandoned_after = \"12s\"", 1)
        .replace("share = \"40%\"", "share = \"30%\"")
        .replace("\"127.0.0.1:7502\", ", "")
        .replace("{ address = \"127.0.0.1:7503\" }", "{ address = \"127.0.0.1:7503\", draining = true }")
        .replace("slots = 16", "slots = 20")
        + "[[destination]]\nname = \"gmina-nowa\"\nnumber = 9\nendpoints = [\"127.0.0.1:7509\"]\n";
    folder.write("b.toml", &new);
    let (code, text) = folder.run(&["diff", "a.toml", "b.toml"]);
    let expected = "Immediately on reload (SIGHUP):
  the destination gmina-nowa is new, with the number 9
  the endpoint 127.0.0.1:7503 of siec-wschod drains: it gets no new calls
  gmina-nowa gets the endpoint 127.0.0.1:7509
  siec-wschod loses the endpoint 127.0.0.1:7502: it gets no new calls
After a restart:
  alert-prognozy is abandoned at 12 s, was 16 s
  at most 20 calls are in flight at once, was 16
  drogi has a share of 30%, was 40%
";
    assert_eq!((code, text.as_str()), (0, expected));
    assert_eq!(folder.run(&["diff", "a.toml", "a.toml"]), (0, "No differences.\n".into()));
}

#[test]
fn a_new_file_passes_the_check_and_is_not_overwritten_without_force() {
    let folder = TestFolder::new("new");
    let new = ["new", "alarm", "--destination", "gmina:7=127.0.0.1:7501,127.0.0.1:7502", "--loopback-only"];
    assert_eq!(folder.run(&new).0, 0);
    let first = read(&folder, "alarm.toml");
    assert!(first.contains("# Time after which a message expires and is abandoned."), "{first}");
    assert_eq!(folder.run(&["check", "--deny-warnings", "alarm.toml"]).0, 0);
    assert_eq!(folder.run(&["fmt", "--check", "alarm.toml"]).0, 0);
    let (code, text) = folder.run(&new);
    assert!(code == 2 && text.contains("--force"), "{text}");
    assert_eq!(read(&folder, "alarm.toml"), first);
    // A second application gets a different port, also while the first one is not running.
    let mut second = new;
    second[1] = "zapas";
    assert_eq!(folder.run(&second).0, 0);
    assert_eq!(folder.run(&["check", "--deny-warnings", "alarm.toml", "zapas.toml"]).0, 0);
    assert_eq!(folder.run(&[&new[..], &["--force", "--class", "inna:1s:4s:safe"]].concat()).0, 0);
    assert!(read(&folder, "alarm.toml").contains("inna"));
    // A configuration with errors is not written.
    let (code, text) =
        folder.run(&["new", "zly", "--class", "a:5s:4s:safe", "--destination", "g:1=127.0.0.1:1"]);
    assert!(code == 1 && text.contains("NS202") && !folder.0.join("zly.toml").exists(), "{text}");
    assert_eq!(folder.run(&["new", "nic"]).0, 2);
    assert_eq!(fs::read_dir(&folder.0).unwrap().count(), 2, "no other file is left in the folder");
}

/// Simulates a full disk by a file size limit below the size of the written file.
#[test]
fn an_interrupted_write_leaves_the_old_file_unchanged() {
    let folder = TestFolder::new("cut");
    folder.write("alarm.toml", "the old one");
    folder.write(
        "messy.toml",
        &format!("a=1\n{}", "# ............................................................\n".repeat(40)),
    );
    let messy = read(&folder, "messy.toml");
    for command in ["new alarm --force --destination gmina:7=127.0.0.1:7501", "fmt messy.toml"] {
        // With SIGXFSZ ignored the write fails; otherwise the signal kills the process during the write.
        for ignored in ["trap '' XFSZ;", ""] {
            let script = format!("{ignored} ulimit -f 1; exec {PROGRAM} {command}");
            let output = Command::new("sh").args(["-c", &script]).current_dir(&folder.0).output().unwrap();
            assert!(!output.status.success());
            assert_eq!(read(&folder, "alarm.toml"), "the old one");
            assert_eq!(read(&folder, "messy.toml"), messy);
        }
    }
}

#[test]
fn a_fleet_file_with_an_error_writes_no_files() {
    let folder = TestFolder::new("fleet");
    let fleet = fs::read_to_string(repository("deploy/fleet.toml")).unwrap();
    let rows = [
        (
            "destinations = [\"drogi-powiatowe\"]",
            "destinations = [\"drogi-powiatow\"]",
            "Did you mean `drogi-powiatowe`?",
        ),
        ("ports = [7400, 7499]", "ports = [7410, 7410]", "no port from 7410 to 7410 is free"),
        ("slots = 8", "slotz = 8", "Did you mean `slots`?"),
        ("abandoned_after = \"16s\"", "abandoned_after = \"17s\"", "NS201"),
        ("name = \"prognozy-drogi\"", "name = \"prognozy-wschod\"", "NS802"),
        ("[[application]]", "[[aplication]]", "Did you mean `application`?"),
    ];
    for (from, to, expected) in rows {
        assert!(fleet.contains(from));
        folder.write("fleet.toml", &fleet.replace(from, to));
        let (code, text) = folder.run(&["new", "--fleet", "fleet.toml", "--out", "out"]);
        assert!(code == 1 && text.contains(expected), "{to}: {text}");
        assert!(!folder.0.join("out").exists());
    }
    folder.write("fleet.toml", &fleet);
    assert_eq!(folder.run(&["new", "--fleet", "fleet.toml", "--out", "out"]).0, 0);
    assert_eq!(
        folder.run(&["check", "--deny-warnings", "out/prognozy-wschod.toml", "out/prognozy-drogi.toml"]).0,
        0
    );
    assert_eq!(folder.run(&["new", "prognozy-drogi", "--fleet", "fleet.toml", "--out", "one"]).0, 0);
    assert_eq!(fs::read_dir(folder.0.join("one")).unwrap().count(), 1);
}

#[test]
fn formatting_keeps_values_and_comments_and_is_idempotent() {
    let folder = TestFolder::new("fmt");
    let messy = EXAMPLE
        .replace(" = ", "   =")
        .replace("\n\n", "\n\n\n")
        .replace("[limits]", "[limits]   # what it may use");
    folder.write("a.toml", EXAMPLE);
    folder.write("b.toml", &messy);
    assert_eq!(folder.run(&["fmt", "--check", "b.toml"]).0, 1);
    assert_eq!(read(&folder, "b.toml"), messy);
    assert_eq!(folder.run(&["fmt", "b.toml"]).0, 0);
    assert_eq!(read(&folder, "b.toml"), EXAMPLE.replace("[limits]", "[limits] # what it may use"));
    assert_eq!(folder.run(&["fmt", "--check", "b.toml"]).0, 0);
    assert_eq!(folder.run(&["diff", "a.toml", "b.toml"]).1, "No differences.\n");
}

#[test]
fn malformed_files_are_reported_with_bounded_output() {
    let folder = TestFolder::new("odd");
    fs::write(folder.0.join("binary.toml"), [0xff, 0xfe, 0]).unwrap();
    folder.write("empty.toml", "");
    folder.write("long.toml", &format!("a = \"{}\"\nb", "ż".repeat(100_000)));
    folder.write("deep.toml", &"[".repeat(100_000));
    let big = fs::File::create(folder.0.join("big.toml")).unwrap();
    big.set_len(100 << 20).unwrap();
    fs::create_dir(folder.0.join("folder.toml")).unwrap();
    for (name, expected) in [
        ("binary.toml", "NS002"),
        ("empty.toml", "NS103"),
        ("long.toml", "NS004"),
        ("deep.toml", "NS004"),
        ("big.toml", "NS003"),
        ("folder.toml", "NS001"),
        ("/dev/zero", "NS003"),
    ] {
        let (code, text) = folder.run(&["check", name]);
        assert!(code == 1 && text.contains(expected), "{name}: {text}");
        assert!(text.len() < 20_000, "{name}: {} bytes of output", text.len());
    }
}

#[test]
fn generated_pages_are_current() {
    let folder = TestFolder::new("pages");
    let (code, page) = folder.run(&["reference"]);
    assert_eq!(code, 0);
    let committed_page = fs::read_to_string(repository("docs/operations/sidecar-reference.md")).unwrap();
    assert!(page == committed_page, "run `nickelshed-ctl reference > docs/operations/sidecar-reference.md`");
    for arguments in
        [&["schema"][..], &["schema", "--fleet"], &["completions", "bash"], &["--help"], &["new", "--help"]]
    {
        let (code, text) = folder.run(arguments);
        assert!(code == 0 && text.len() > 500, "{arguments:?}: {text}");
    }
    let schema: serde_json::Value = serde_json::from_str(&folder.run(&["schema"]).1).unwrap();
    assert_eq!(schema["properties"]["class"]["type"], "array");
    for file in ["deploy/sidecar.toml", "deploy/fleet.toml", "deploy/operator.toml"] {
        assert_eq!(folder.run(&["fmt", "--check", repository(file).to_str().unwrap()]).0, 0, "{file}");
    }
}
