//! Runs the adapter as a process and checks its replies to protocol lines.
use std::io::Write;
use std::process::{Command, Output, Stdio};

const CONFIGURATION: &str = r#"{"NInstances":2,"TickNs":5000000,"Kinds":["a"],"Unknown":[1],
"FamilyInfo":{"CallsOut":4,"KindBatch":[1],"SeparateRoutes":[false]},"Feedback":{"Fields":["x0","x1"]},
"Limits":{"MaxOpen":50,"MaxAttempts":4,"Cancel":true},
"Safety":{"StartCapacity":0.2,"ColdNs":9000000000,"FallMultiple":2,"OverloadForNs":3000000000},
"Services":[{"PromiseNs":2000000000,"DeadlineNs":16000000000,"Effect":"keyed","WindowNs":4000000000}]}"#;

fn run_adapter(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_nickelshed-simhost"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("cannot start the adapter");
    // The adapter exits on malformed input before it has read everything, and this write may then fail.
    let _ = child.stdin.take().expect("stdin is not piped").write_all(input.as_bytes());
    child.wait_with_output().expect("cannot wait for the adapter")
}

fn launch(configuration: &str) -> String {
    format!(
        "MARK\tWallNs=1000000000\nINSTANCE\tSender=3\nLAUNCH\tPrng=7\tConf={}\nTABLE\tSlot=0\tLines=1\n\
         ENTRY\tEndpoint=endpoint-a\tBelongsTo=57\tCondition=ready\tPowerHint=1\nANNOUNCE\tSlot=0\tScope=Persisted\
         \tEpoch=1\nFLUSH\n",
        configuration.replace('\n', "")
    )
}

const MESSAGE_BATCH: &str = "MARK\tWallNs=1005000000\nINSTANCE\tSender=3\n\
    WORK_ITEM\tRef=5d3a91c4-b33a-4d2b-ab9b-826ca191ebb8\tCls=0\tTimeLeftNs=16000000000\tToExchange=57\tNew=1\nFLUSH\n";

#[test]
fn each_batch_is_answered_with_the_names_of_its_input() {
    let output = run_adapter(&(launch(CONFIGURATION) + MESSAGE_BATCH));
    let text = String::from_utf8(output.stdout).unwrap();
    assert!(output.status.success());
    assert_eq!(text.matches("EOR\n").count(), 2);
    assert!(text
        .contains("AT\tSender=3\nDELIVER\tRef=5d3a91c4-b33a-4d2b-ab9b-826ca191ebb8\tEndpoint=endpoint-a\t"));
}

#[test]
fn a_crashed_sender_keeps_no_messages_after_relaunch() {
    let crash = "MARK\tWallNs=1010000000\nINSTANCE\tSender=3\nCRASH_NOW\nFLUSH\n";
    let relaunch = launch(CONFIGURATION).replace("1000000000", "1015000000");
    let late_attempt_end =
        "MARK\tWallNs=1020000000\nINSTANCE\tSender=3\nATTEMPT_END\tRef=5d3a91c4-b33a-4d2b-ab9b-826ca191ebb8\
        \tShot=0\tEndpoint=endpoint-a\tReason=connection_lost\tWaitTimeNs=1\nFLUSH\n";
    let output = run_adapter(&(launch(CONFIGURATION) + MESSAGE_BATCH + crash + &relaunch + late_attempt_end));
    assert!(output.status.success());
    let text = String::from_utf8(output.stdout).unwrap();
    assert_eq!(text.matches("EOR\n").count(), 5);
    assert_eq!(text.matches("DELIVER").count(), 1);
}

#[test]
fn malformed_lines_give_one_error_with_line_and_field() {
    let cases = [
        (launch(CONFIGURATION) + "MARK\tWallNs=x\n", "line 8: MARK field WallNs"),
        (launch(CONFIGURATION) + "NOISE\n", "line 8: NOISE outside a batch"),
        (launch(CONFIGURATION) + "MARK\tWallNs=2\nNOISE\n", "line 9: unknown message NOISE"),
        (
            launch(CONFIGURATION) + "MARK\tWallNs=2\nINSTANCE\tSender=3\nEXPIRED\n",
            "line 10: EXPIRED field Ref is missing",
        ),
        (launch(CONFIGURATION) + "MARK\tWallNs=2\nINSTANCE\tSender=9\nELAPSED\tKeyBack=1\n", "Sender 9"),
        (launch(&CONFIGURATION.replace("\"MaxOpen\":50,", "")), "Limits.MaxOpen is missing"),
        (
            launch(&CONFIGURATION.replace("\"NInstances\":2", "\"NInstances\":-1")),
            "NInstances is out of range",
        ),
        (launch(&CONFIGURATION.replace("\"keyed\"", "\"odd\"")), "Services[0].Effect"),
        (launch("{"), "Conf: not JSON"),
    ];
    for (input, expected) in cases {
        let output = run_adapter(&input);
        let errors = String::from_utf8(output.stderr).unwrap();
        assert!(errors.contains(expected), "{expected:?} in {errors:?}");
        assert_eq!(errors.lines().count(), 1);
        assert!(!errors.contains("panicked") && !output.status.success());
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(text.lines().all(|l| ["AT", "EOR", "TIMER"].contains(&l.split('\t').next().unwrap())));
    }
}
