//! The tool as it is called.
use std::fs;
use std::net::TcpListener;
use std::os::unix::fs::symlink;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed-ctl");
const EXAMPLE: &str = include_str!("../../../../deploy/sidecar.toml");

struct Scratch(PathBuf);

impl Scratch {
    fn new(name: &str) -> Scratch {
        let folder = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&folder);
        fs::create_dir_all(&folder).unwrap();
        Scratch(folder)
    }

    fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    fn read(&self, name: &str) -> String {
        fs::read_to_string(self.0.join(name)).unwrap()
    }

    /// What the tool says in this folder, and what it ends with.
    fn call(&self, arguments: &[&str]) -> (i32, String) {
        said(Command::new(PROGRAM).args(arguments).current_dir(&self.0).output().unwrap())
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

fn said(output: Output) -> (i32, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8(text).unwrap())
}

fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..").join(path)
}

#[test]
fn two_members_of_one_name_or_at_one_address_are_found_between_files() {
    let scratch = Scratch::new("members");
    let member = |application: &str, port: u16, listen: u16, name: &str| {
        let fleet = format!("[fleet]\nname = \"alarm\"\nmember = \"{name}\"\nlisten = \"127.0.0.1:{listen}\"\n\n[connections]");
        let text = EXAMPLE.replace("prognozy-wschod", application).replace("7400", &port.to_string());
        text.replace("target/sidecar", &format!("target/{application}")).replace("[connections]", &fleet)
    };
    scratch.write("a.toml", &member("a", 7400, 7450, "one"));
    scratch.write("b.toml", &member("b", 7401, 7450, "two"));
    scratch.write("c.toml", &member("c", 7402, 7452, "one"));
    let (code, text) = scratch.call(&["check", "a.toml", "b.toml"]);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("NS806") && text.contains("both receive datagrams at 127.0.0.1:7450"), "{text}");
    let (code, text) = scratch.call(&["check", "a.toml", "c.toml"]);
    assert_eq!(code, 1, "{text}");
    assert!(
        text.contains("NS805") && text.contains("two members named `one` in the fleet `alarm`"),
        "{text}"
    );
}

/// The two that the users name: their whole text is what an operator goes by.
#[test]
fn a_port_claimed_twice_and_a_deadline_past_the_abandonment_are_told_plainly() {
    let scratch = Scratch::new("plainly");
    let second =
        EXAMPLE.replace("prognozy-wschod", "prognozy-zachod").replace("target/sidecar", "target/zachod");
    scratch.write("wschod.toml", EXAMPLE);
    scratch.write("zachod.toml", &second);
    let (code, text) = scratch.call(&["check", "wschod.toml", "zachod.toml"]);
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
    scratch.write("late.toml", &late);
    let (code, text) = scratch.call(&["check", "late.toml"]);
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
fn ports_clash_over_all_addresses_and_only_on_one_machine() {
    let scratch = Scratch::new("ports");
    let file = |name: &str, listen: &str, host: &str| {
        let text = EXAMPLE.replace("prognozy-wschod", name).replace("target/sidecar", name);
        let text = text
            .replace("127.0.0.1:7400", listen)
            .replace("allow = [\"NS203\"]", "allow = [\"NS203\", \"NS603\"]");
        scratch.write(&format!("{name}.toml"), &text.replace("loopback_only = true", host));
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
        // One that names no machine may run on any.
        ("127.0.0.1:7400", "", "127.0.0.1:7400", "host = \"b\"", true),
        ("127.0.0.1:7400", "host = \"a\"", "127.0.0.1:7400", "", true),
    ];
    for (one, host, two, other, clash) in rows {
        file("one", one, host);
        file("two", two, other);
        let (code, text) = scratch.call(&["check", "one.toml", "two.toml"]);
        assert_eq!((code, text.contains("NS801")), (i32::from(clash), clash), "{one} {two}: {text}");
    }
}

#[test]
fn one_name_twice_on_a_host_is_a_warning_that_can_be_accepted() {
    let scratch = Scratch::new("names");
    let second = EXAMPLE.replace("7400", "7401").replace("target/sidecar", "target/other");
    scratch.write("one.toml", EXAMPLE);
    scratch.write("two.toml", &second);
    let (code, text) = scratch.call(&["check", "one.toml", "two.toml"]);
    assert!(code == 0 && text.contains("warning[NS803]"), "{text}");
    scratch.write("two.toml", &second.replace("[\"NS203\"]", "[\"NS203\", \"NS803\"]"));
    assert_eq!(scratch.call(&["check", "--deny-warnings", "one.toml", "two.toml"]).0, 0);
}

#[test]
fn one_state_folder_is_found_through_dots_and_links() {
    let scratch = Scratch::new("folders");
    fs::create_dir_all(scratch.0.join("real/deep")).unwrap();
    symlink("real/deep", scratch.0.join("link")).unwrap();
    let file = |name: &str, port: u16, state: &str| {
        let text = EXAMPLE.replace("prognozy-wschod", name).replace("7400", &port.to_string());
        let text = text.replace("../target/sidecar/notices.jsonl", &format!("{name}.jsonl"));
        scratch.write(&format!("{name}.toml"), &text.replace("../target/sidecar/state", state));
    };
    file("one", 7400, "real/deep/new/state");
    for (state, clash) in [
        ("real/deep/new/state", true),
        ("link/new/state", true),
        ("real/deep/../deep/./new/state/", true),
        ("link/new/gone/../state", true),
        // Through the link the way up leads elsewhere.
        ("link/../real/deep/new/state", false),
        ("real/deep/new/state2", false),
    ] {
        file("two", 7401, state);
        let (code, text) = scratch.call(&["check", "one.toml", "two.toml"]);
        assert_eq!((code, text.contains("NS802")), (i32::from(clash), clash), "{state}: {text}");
    }
}

#[test]
fn a_program_reads_the_findings_as_json() {
    let scratch = Scratch::new("json");
    scratch.write("a.toml", &EXAMPLE.replace("slots", "slotz").replace("allow = [\"NS203\"]", ""));
    let (code, text) = scratch.call(&["check", "--format", "json", "a.toml", "none.toml"]);
    let value: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(
        (code, &value["errors"], &value["warnings"], &value["files"]),
        (1, &2.into(), &1.into(), &2.into())
    );
    let slotz = &value["findings"][0];
    assert_eq!((&slotz["code"], &slotz["line"], &slotz["column"]), (&"NS101".into(), &17.into(), &1.into()));
    assert_eq!(value["findings"][2]["code"], "NS001");
    // A warning alone is none, unless that is asked for.
    scratch.write("b.toml", &EXAMPLE.replace("allow = [\"NS203\"]", ""));
    assert_eq!(scratch.call(&["check", "b.toml"]).0, 0);
    assert_eq!(scratch.call(&["check", "--deny-warnings", "b.toml"]).0, 1);
    assert_eq!(scratch.call(&["check"]).0, 2);
}

#[test]
fn every_code_is_explained() {
    let scratch = Scratch::new("explain");
    let (code, all) = scratch.call(&["explain"]);
    assert_eq!(code, 0);
    for line in all.lines() {
        let name = line.split(' ').next().unwrap();
        let (code, text) = scratch.call(&["explain", &name.to_lowercase()]);
        assert!(code == 0 && text.starts_with(name) && text.contains("How to mend it: "), "{text}");
    }
    assert!(all.lines().count() > 40);
    assert_eq!(scratch.call(&["explain", "NS000"]).0, 2);
}

#[test]
fn a_change_is_told_in_words() {
    let scratch = Scratch::new("diff");
    scratch.write("a.toml", EXAMPLE);
    let new = EXAMPLE
        .replacen("abandoned_after = \"16s\"", "abandoned_after = \"12s\"", 1)
        .replace("share = \"40%\"", "share = \"30%\"")
        .replace("\"127.0.0.1:7502\", ", "")
        .replace("{ address = \"127.0.0.1:7503\" }", "{ address = \"127.0.0.1:7503\", draining = true }")
        .replace("slots = 16", "slots = 20")
        + "[[destination]]\nname = \"gmina-nowa\"\nnumber = 9\nendpoints = [\"127.0.0.1:7509\"]\n";
    scratch.write("b.toml", &new);
    let (code, text) = scratch.call(&["diff", "a.toml", "b.toml"]);
    let expected = "On SIGHUP, at once:
  the destination gmina-nowa is new, with the number 9
  the endpoint 127.0.0.1:7503 of siec-wschod drains: it gets no new calls
  gmina-nowa gets the endpoint 127.0.0.1:7509
  siec-wschod loses the endpoint 127.0.0.1:7502: it gets no new calls
At the next start:
  alert-prognozy is abandoned at 12 s, was 16 s
  at most 20 calls are in flight at once, was 16
  drogi has a share of 30%, was 40%
";
    assert_eq!((code, text.as_str()), (0, expected));
    assert_eq!(scratch.call(&["diff", "a.toml", "a.toml"]), (0, "Both mean the same.\n".into()));
}

#[test]
fn a_new_file_checks_clean_and_is_never_written_over_unasked() {
    let scratch = Scratch::new("new");
    let new = ["new", "alarm", "--destination", "gmina:7=127.0.0.1:7501,127.0.0.1:7502", "--loopback-only"];
    assert_eq!(scratch.call(&new).0, 0);
    let first = scratch.read("alarm.toml");
    assert!(first.contains("# Time after which a message expires and is abandoned."), "{first}");
    assert_eq!(scratch.call(&["check", "--deny-warnings", "alarm.toml"]).0, 0);
    assert_eq!(scratch.call(&["fmt", "--check", "alarm.toml"]).0, 0);
    let (code, text) = scratch.call(&new);
    assert!(code == 2 && text.contains("--force"), "{text}");
    assert_eq!(scratch.read("alarm.toml"), first);
    // A second application gets a port of its own, whether or not the first one runs.
    let mut second = new;
    second[1] = "zapas";
    assert_eq!(scratch.call(&second).0, 0);
    assert_eq!(scratch.call(&["check", "--deny-warnings", "alarm.toml", "zapas.toml"]).0, 0);
    assert_eq!(scratch.call(&[&new[..], &["--force", "--class", "inna:1s:4s:safe"]].concat()).0, 0);
    assert!(scratch.read("alarm.toml").contains("inna"));
    // What would not check is not written.
    let (code, text) =
        scratch.call(&["new", "zly", "--class", "a:5s:4s:safe", "--destination", "g:1=127.0.0.1:1"]);
    assert!(code == 1 && text.contains("NS202") && !scratch.0.join("zly.toml").exists(), "{text}");
    assert_eq!(scratch.call(&["new", "nic"]).0, 2);
    assert_eq!(fs::read_dir(&scratch.0).unwrap().count(), 2, "nothing else is left behind");
}

/// The size of files is limited below what is to be written: as on a disk that is full.
#[test]
fn a_write_that_is_cut_short_leaves_the_old_file_whole() {
    let scratch = Scratch::new("cut");
    scratch.write("alarm.toml", "the old one");
    scratch.write(
        "messy.toml",
        &format!("a=1\n{}", "# ............................................................\n".repeat(40)),
    );
    let messy = scratch.read("messy.toml");
    for command in ["new alarm --force --destination gmina:7=127.0.0.1:7501", "fmt messy.toml"] {
        // With the signal ignored the write fails; with it the process is killed in the middle of it.
        for ignored in ["trap '' XFSZ;", ""] {
            let script = format!("{ignored} ulimit -f 1; exec {PROGRAM} {command}");
            let output = Command::new("sh").args(["-c", &script]).current_dir(&scratch.0).output().unwrap();
            assert!(!output.status.success());
            assert_eq!(scratch.read("alarm.toml"), "the old one");
            assert_eq!(scratch.read("messy.toml"), messy);
        }
    }
}

#[test]
fn a_fleet_with_a_mistake_writes_nothing() {
    let scratch = Scratch::new("fleet");
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
    for (from, to, told) in rows {
        assert!(fleet.contains(from));
        scratch.write("fleet.toml", &fleet.replace(from, to));
        let (code, text) = scratch.call(&["new", "--fleet", "fleet.toml", "--out", "out"]);
        assert!(code == 1 && text.contains(told), "{to}: {text}");
        assert!(!scratch.0.join("out").exists());
    }
    scratch.write("fleet.toml", &fleet);
    assert_eq!(scratch.call(&["new", "--fleet", "fleet.toml", "--out", "out"]).0, 0);
    assert_eq!(
        scratch.call(&["check", "--deny-warnings", "out/prognozy-wschod.toml", "out/prognozy-drogi.toml"]).0,
        0
    );
    assert_eq!(scratch.call(&["new", "prognozy-drogi", "--fleet", "fleet.toml", "--out", "one"]).0, 0);
    assert_eq!(fs::read_dir(scratch.0.join("one")).unwrap().count(), 1);
}

#[test]
fn laying_out_keeps_meaning_and_comments_and_is_done_once() {
    let scratch = Scratch::new("fmt");
    let messy = EXAMPLE
        .replace(" = ", "   =")
        .replace("\n\n", "\n\n\n")
        .replace("[limits]", "[limits]   # what it may use");
    scratch.write("a.toml", EXAMPLE);
    scratch.write("b.toml", &messy);
    assert_eq!(scratch.call(&["fmt", "--check", "b.toml"]).0, 1);
    assert_eq!(scratch.read("b.toml"), messy);
    assert_eq!(scratch.call(&["fmt", "b.toml"]).0, 0);
    assert_eq!(scratch.read("b.toml"), EXAMPLE.replace("[limits]", "[limits] # what it may use"));
    assert_eq!(scratch.call(&["fmt", "--check", "b.toml"]).0, 0);
    assert_eq!(scratch.call(&["diff", "a.toml", "b.toml"]).1, "Both mean the same.\n");
}

#[test]
fn the_doctor_tells_what_only_the_host_knows() {
    let scratch = Scratch::new("doctor");
    let (own, endpoint) =
        (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let file = |listen: &str, state: &str, sockets: &str| {
        let endpoint = endpoint.local_addr().unwrap();
        format!(
            "application = \"a\"\nlisten = \"{listen}\"\nstate = \"{state}\"\n[limits]\nsockets = {sockets}\nmemory = \"8MB\"\nheld = 50\n\
             [notices]\nfile = \"n\"\n[[class]]\nname = \"c\"\nwanted_within = \"1s\"\nabandoned_after = \"2s\"\neffect = \"safe\"\n\
             [[destination]]\nname = \"d\"\nnumber = 1\nendpoints = [\"{endpoint}\"]\n"
        )
    };
    let free = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    scratch.write("good.toml", &file(&free, "state", "128"));
    let (code, text) = scratch.call(&["doctor", "good.toml"]);
    assert!(code == 0 && text.contains("0 errors, 0 warnings"), "{text}");
    assert!(!scratch.0.join("state").exists(), "looking changes nothing");
    scratch
        .write("taken.toml", &file(&own.local_addr().unwrap().to_string(), "good.toml/state", "1000000000"));
    let (code, text) = scratch.call(&["doctor", "taken.toml"]);
    assert!(code == 1, "{text}");
    for told in ["NS951", "NS952", "NS954"] {
        assert!(text.contains(told), "{told}: {text}");
    }
    drop(endpoint);
    let (code, text) = scratch.call(&["doctor", "good.toml"]);
    assert!(
        code == 0 && text.contains("NS955") && text.contains("the endpoint of d takes no connection"),
        "{text}"
    );
}

#[test]
fn odd_files_are_answered_by_the_tool_too() {
    let scratch = Scratch::new("odd");
    fs::write(scratch.0.join("binary.toml"), [0xff, 0xfe, 0]).unwrap();
    scratch.write("empty.toml", "");
    scratch.write("long.toml", &format!("a = \"{}\"\nb", "ż".repeat(100_000)));
    scratch.write("deep.toml", &"[".repeat(100_000));
    let big = fs::File::create(scratch.0.join("big.toml")).unwrap();
    big.set_len(100 << 20).unwrap();
    fs::create_dir(scratch.0.join("folder.toml")).unwrap();
    for (name, told) in [
        ("binary.toml", "NS002"),
        ("empty.toml", "NS103"),
        ("long.toml", "NS004"),
        ("deep.toml", "NS004"),
        ("big.toml", "NS003"),
        ("folder.toml", "NS001"),
        ("/dev/zero", "NS003"),
    ] {
        let (code, text) = scratch.call(&["check", name]);
        assert!(code == 1 && text.contains(told), "{name}: {text}");
        assert!(text.len() < 20_000, "{name}: {} bytes are told", text.len());
    }
}

#[test]
fn the_pages_made_from_the_types_are_current() {
    let scratch = Scratch::new("pages");
    let (code, page) = scratch.call(&["reference"]);
    assert_eq!(code, 0);
    let kept = fs::read_to_string(repository("docs/operations/sidecar-reference.md")).unwrap();
    assert!(page == kept, "run `nickelshed-ctl reference > docs/operations/sidecar-reference.md`");
    for arguments in
        [&["schema"][..], &["schema", "--fleet"], &["completions", "bash"], &["--help"], &["new", "--help"]]
    {
        let (code, text) = scratch.call(arguments);
        assert!(code == 0 && text.len() > 500, "{arguments:?}: {text}");
    }
    let schema: serde_json::Value = serde_json::from_str(&scratch.call(&["schema"]).1).unwrap();
    assert_eq!(schema["properties"]["class"]["type"], "array");
    for file in ["deploy/sidecar.toml", "deploy/fleet.toml", "deploy/operator.toml"] {
        assert_eq!(scratch.call(&["fmt", "--check", repository(file).to_str().unwrap()]).0, 0, "{file}");
    }
}
