//! Runs the demonstration and checks its output.
use std::process::Command;

#[test]
fn each_of_three_alerts_has_its_outcome() {
    let folder = format!("{}/quickstart-{}", env!("CARGO_TARGET_TMPDIR"), std::process::id());
    let output = Command::new(env!("CARGO_BIN_EXE_nickelshed-quickstart"))
        .args(["--once", "--folder", &folder])
        .output()
        .unwrap();
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    for line in [
        "alert-1: submitted for destination 1, answered 202 Accepted",
        "alert-1: delivered after 1 try\n",
        "  siec-wschod      received alert-2, answers 500: it may have been executed",
        "alert-2: delivered after 2 tries\n",
        "alert-3: handed_back after",
    ] {
        assert!(text.contains(line), "{line} is not in\n{text}");
    }
    std::fs::remove_dir_all(folder).unwrap();
}
