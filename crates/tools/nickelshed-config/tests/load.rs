//! Reads valid and invalid configuration files, through the function that the sender and `nickelshed-ctl`
//! use.
use nickelshed_config::{compile, load, load_with_schema, Code, Finding, Sidecar, TypeSchema};
use nickelshed_policy::api::Settings;
use serde_json::json;

const EXAMPLE: &str = include_str!("../../../../deploy/sidecar.toml");

fn findings(text: &str) -> Vec<Finding> {
    load(text.as_bytes()).findings
}

/// Replaces one text in the example and returns the only finding.
fn only_finding_after(from: &str, to: &str) -> Finding {
    assert!(EXAMPLE.contains(from), "{from}");
    let text = EXAMPLE.replacen(from, to, 1);
    let mut found = findings(&text);
    assert_eq!(found.len(), 1, "{from} -> {to}: {found:#?}");
    found.remove(0)
}

#[test]
fn example_has_no_findings() {
    assert_eq!(findings(EXAMPLE), []);
}

/// One of the two mistakes that users report most, with its full message. The other one, a port used by two
/// sidecars, is a conflict between files and is tested with `nickelshed-ctl`.
#[test]
fn abandoned_after_beyond_the_abandonment_limit_is_an_error_at_its_value() {
    let text = EXAMPLE.replacen("abandoned_after = \"16s\"", "abandoned_after = \"20s\"", 1);
    let found = findings(&text);
    let finding = found.iter().find(|f| f.code == Code::BeyondAbandonment).unwrap();
    assert_eq!(
        finding.message,
        "class `alert-prognozy` is abandoned after 20s, later than 16s, after which nobody waits for a message any more"
    );
    assert_eq!(&text[finding.span.clone()], "\"20s\"");
    assert!(finding.is_error());
}

/// Returns a `[fleet]` section with the lines `extra_keys`, to be inserted in place of the line
/// `[connections]`, which it repeats at its end.
fn fleet_section(extra_keys: &str) -> String {
    format!("[fleet]\nname = \"f\"\nlisten = \"127.0.0.1:7450\"\n{extra_keys}\n[connections]")
}

#[test]
fn every_code_about_a_single_file_is_reported() {
    let cases: &[(&str, &str, Code)] = &[
        ("wanted_within = \"3s\"", "wanted_within = \"17s\"", Code::TargetBeyondExpiry),
        ("allow = [\"NS203\"]", "allow = []", Code::ShortRepeatWindow),
        ("wanted_within = \"2s\"", "wanted_within = \"0s\"", Code::DurationTooShort),
        ("repeat_window = \"15s\"\n", "", Code::MissingRepeatWindow),
        ("effect = \"unsafe\"", "effect = \"unsafe\"\nrepeat_window = \"3s\"", Code::UnusedRepeatWindow),
        ("effect = \"unsafe\"", "effect = \"unsafe\"\nin_order = true", Code::OrderWithoutOrderingKey),
        ("overload_multiple = 1.5", "overload_multiple = nan", Code::UnusableValue),
        ("slots = 16", "slots = 100", Code::SlotsOverSockets),
        ("held = 200", "held = 20000000", Code::HeldLimitOverMemory),
        ("disk = \"3MB\"", "disk = \"300kB\"", Code::HeldLimitOverDisk),
        ("slots = 16", "slots = 1", Code::TooFewSlots),
        ("held = 200", "held = 10", Code::HeldLimitUnderSlots),
        ("attempts = 8", "attempts = 0", Code::LimitOfZero),
        ("attempts = 8", "usual_body = \"65KiB\"", Code::BodyTooLarge),
        ("endpoints = [\"127.0.0.1:7501\"]", "endpoints = []", Code::NoEndpoint),
        ("7504", "7501", Code::EndpointOfTwoDestinations),
        ("number = 3", "number = 1", Code::DuplicateDestination),
        (
            "[connections]",
            "[discovery]\naddress = \"127.0.0.1:8500\"\n[connections]",
            Code::TwoEndpointSources,
        ),
        ("7501", "7400", Code::DeliveryToItself),
        ("number = 1", "number = 1\nkind = \"many\"", Code::UnknownName),
        ("7503", "7502", Code::DuplicateEndpoint),
        ("share = \"40%\"", "share = \"41%\"", Code::SharesOverTotal),
        ("name = \"wezwanie\"", "name = \"alert-prognozy\"", Code::DuplicateName),
        ("name = \"rolnictwo\"", "name = \"rolnictwo i las\"", Code::InvalidName),
        ("name = \"wezwanie\"", "name = \"healthz\"", Code::InvalidName),
        ("rate = 80\n", "", Code::SharesWithoutRate),
        ("127.0.0.1:7504", "10.1.0.1:7504", Code::NotLoopback),
        ("127.0.0.1:7504", "127.0.0.1:0", Code::UnspecificAddress),
        ("loopback_only = true", "", Code::ExposedListener),
        ("file = \"../target/sidecar/notices.jsonl\"", "", Code::NoNoticeSink),
        ("/sidecar/notices.jsonl", "/x/../sidecar/state/n", Code::NoticeFileInState),
        ("file = \"../target/sidecar/notices.jsonl\"", "http = \"127.0.0.1:7500\"", Code::InvalidUrl),
        ("\"NS203\"", "\"NS203\", \"NS201\"", Code::InvalidAllowEntry),
        ("slots = 16", "slotz = 16", Code::UnknownKey),
        ("slots = 16", "slots = \"16\"", Code::WrongValue),
        ("application = \"prognozy-wschod\"", "", Code::MissingKey),
        ("[limits]", "[limits", Code::Syntax),
        ("[connections]", &fleet_section("seeds = [\"127.0.0.1:7450\"]"), Code::SelfAsSeed),
        ("[connections]", &fleet_section("site = \"a site with a long name\""), Code::NameTooLong),
        (
            "[connections]",
            &fleet_section("").replace("127.0.0.1:7450", "10.1.0.1:7450"),
            Code::UnauthenticatedFleet,
        ),
    ];
    let mut uncovered: Vec<Code> = Code::ALL.to_vec();
    for &(from, to, code) in cases {
        let to = if code == Code::ExposedListener { "loopback_only = false" } else { to };
        let text = EXAMPLE.replacen(from, to, 1);
        let text = if code == Code::ExposedListener {
            text.replacen("127.0.0.1:7400", "0.0.0.0:7400", 1)
        } else {
            text
        };
        let found = findings(&text);
        assert!(found.iter().any(|f| f.code == code), "{from} -> {to}: {found:#?}");
        uncovered.retain(|c| *c != code);
    }
    let minimal = "application = \"a\"\nlisten = \"127.0.0.1:1\"\nstate = \"s\"\n[notices]\nfile = \"n\"";
    for code in [Code::NoClass, Code::NoEndpointSource] {
        assert!(findings(minimal).iter().any(|f| f.code == code));
    }
    // The remaining codes concern bytes that are not text, conflicts between files, and the host.
    uncovered.retain(|c| !matches!(c, Code::NoClass | Code::NoEndpointSource | Code::BeyondAbandonment));
    use Code::*;
    assert_eq!(
        uncovered,
        [
            Unreadable,
            NotText,
            TooLarge,
            PortConflict,
            StateFolderConflict,
            DuplicateApplication,
            NoticeFileConflict,
            DuplicateMember,
            FleetAddressConflict,
            ListenAddressInUse,
            FolderUnwritable,
            LowDiskSpace,
            LowDescriptorLimit,
            ConnectionFailed,
            LowMemory
        ]
    );
}

#[test]
fn misspelt_keys_get_suggestions_and_all_mistakes_are_reported_together() {
    let finding = only_finding_after("abandoned_after = \"8s\"", "abandoned_after = \"8s\"\nwrth = 2");
    assert_eq!(finding.message, "there is no key `wrth` in `class`");
    assert_eq!(finding.help, "Did you mean `worth`?");
    let text = EXAMPLE
        .replacen("slots", "slotss", 1)
        .replacen("memory = \"64MB\"", "memory = \"64 parsecs\"", 1)
        .replacen("effect = \"keyed\"", "effect = \"keyd\"", 1)
        .replacen("\"127.0.0.1:7503\"", "\"127.0.0.1:75030\"", 1)
        .replacen("dial = \"1s\"", "dial = 1", 1);
    let found = findings(&text);
    let excerpts: Vec<&str> = found.iter().map(|f| &text[f.span.clone()]).collect();
    assert_eq!(excerpts, ["\"64 parsecs\"", "slotss", "1", "\"keyd\"", "\"127.0.0.1:75030\""], "{found:#?}");
    assert_eq!(found[3].help, "Did you mean `keyed`?");
}

#[test]
fn missing_key_is_named() {
    let finding = only_finding_after("wanted_within = \"2s\"\n", "");
    assert_eq!((finding.code, finding.help.as_str()), (Code::MissingKey, "Add `wanted_within`"));
}

/// The same configuration in the platform's JSON and in the operator's TOML must give the policy the same
/// settings.
#[test]
fn platform_and_operator_files_give_the_same_settings() {
    let class_json = |name: &str, target_ns: u64, deadline_ns: u64, effect: &str, window_ns: u64| {
        json!({"Name": name, "PromiseNs": target_ns, "DeadlineNs": deadline_ns, "Effect": effect,
            "DedupScope": "all", "WindowNs": window_ns, "Worth": 1, "LateWorth": if effect == "keyed" { 0.3 } else { 0.0 }})
    };
    let platform = json!({"NInstances": 1, "TickNs": 5_000_000, "Kinds": ["plain"], "Localities": ["plain"],
        "Realms": [{"Name": "rolnictwo", "QuotaPerS": 48.0}, {"Name": "drogi", "QuotaPerS": 32.0}],
        "Weights": "rough", "OverShareWorth": 0.05,
        "FamilyInfo": {"CallsOut": 16, "KindBatch": [1], "SeparateRoutes": [false], "Decay": "halves"},
        "Limits": {"MaxOpen": 200, "MaxAttempts": 8, "Cancel": true, "IdleCloseNs": 5_000_000_000u64,
            "DialTimeoutNs": 1_000_000_000, "MaxRetryAfterNs": 3_000_000_000u64},
        "Safety": {"StartCapacity": 0.26, "ColdNs": 9_500_000_000u64, "FallMultiple": 1.5,
            "OverloadForNs": 2_000_000_000},
        "Services": [class_json("alert-prognozy", 3_000_000_000, 16_000_000_000, "keyed", 15_000_000_000),
            class_json("wezwanie", 2_000_000_000, 8_000_000_000, "unsafe", 0)]});
    let (settings, context): (Settings, _) = nickelshed_settings::read(&platform).unwrap();
    let sidecar = load(EXAMPLE.as_bytes()).into_valid().unwrap();
    assert_eq!(compile::settings(&sidecar), (settings, context));
    let listed_endpoints = compile::listed_endpoints(&sidecar);
    assert_eq!(listed_endpoints.len(), 4);
    assert_eq!(
        (listed_endpoints[2].name.as_str(), listed_endpoints[2].dest, listed_endpoints[2].rate),
        ("2/127.0.0.1:7503", 2, 20.0)
    );
}

#[test]
fn malformed_and_oversized_files_are_rejected_with_errors() {
    let nested = |opening: &str| format!("a = {}", opening.repeat(100_000));
    let cases: Vec<(Vec<u8>, Code)> = vec![
        (vec![], Code::MissingKey),
        (vec![0xff, 0xfe, 0x00], Code::NotText),
        (vec![b'#'; 100 << 20], Code::TooLarge),
        (nested("[").into_bytes(), Code::Syntax),
        (nested("{a=").into_bytes(), Code::Syntax),
        ("[a.".repeat(100_000).into_bytes(), Code::Syntax),
        (vec![0; 1 << 20], Code::Syntax),
        (EXAMPLE.replace("rate = 80", "rate = 99999999999999999999999999").into_bytes(), Code::WrongValue),
        (EXAMPLE.replace("slots = 16", "slots = 18446744073709551617").into_bytes(), Code::WrongValue),
        (EXAMPLE.replace("slots = 16", "slots = -1").into_bytes(), Code::WrongValue),
        (EXAMPLE.replace("\"3s\"", "\"99999999999999999999s\"").into_bytes(), Code::WrongValue),
        (EXAMPLE.replace("rate = 80", "rate = 1e400").into_bytes(), Code::WrongValue),
        (EXAMPLE.replace("rate = 80", "rate = 1e300").into_bytes(), Code::UnusableValue),
        (EXAMPLE.replace("\"../target/sidecar/state\"", "\"a\\u0000b\"").into_bytes(), Code::UnusableValue),
    ];
    for (bytes, code) in cases {
        let found = load(&bytes).findings;
        let excerpt = String::from_utf8_lossy(&bytes[..bytes.len().min(40)]).into_owned();
        assert!(found.iter().any(|f| f.code == code && f.is_error()), "{excerpt}: {found:#?}");
        assert!(found.len() <= 60, "{excerpt}");
    }
}

/// Files with bytes changed, removed, doubled or swapped at random: reading never panics, and every position
/// is inside the text.
#[test]
fn randomly_mutated_files_are_read_or_rejected() {
    let mut rng = fastrand::Rng::with_seed(11);
    let (mut valid, schema) = (0, TypeSchema::of::<Sidecar>());
    for _ in 0..3_000 {
        let mut bytes = EXAMPLE.as_bytes().to_vec();
        for _ in 0..rng.usize(1..4) {
            let offset = rng.usize(0..bytes.len());
            match rng.u8(0..4) {
                0 => bytes[offset] = rng.u8(..),
                1 => _ = bytes.remove(offset),
                2 => bytes.insert(offset, bytes[offset]),
                _ => bytes.swap(offset, rng.usize(0..EXAMPLE.len() / 2)),
            }
        }
        let loaded = load_with_schema(&bytes, &schema);
        let errors = loaded.findings.iter().filter(|f| f.is_error()).count();
        if let Ok(text) = std::str::from_utf8(&bytes) {
            for finding in &loaded.findings {
                assert!(
                    finding.span.end <= text.len() && text.is_char_boundary(finding.span.start),
                    "{finding:?}"
                );
                assert!(finding.to_log_line("f", text).contains(finding.code.info().code));
            }
        }
        match loaded.into_valid() {
            Ok(sidecar) => {
                valid += 1;
                assert_eq!(errors, 0);
                let (settings, context) = compile::settings(&sidecar);
                assert_eq!(settings.classes.len(), context.classes.len());
            }
            Err(_) => assert!(errors > 0),
        }
    }
    assert!(valid > 100, "{valid}");
}
