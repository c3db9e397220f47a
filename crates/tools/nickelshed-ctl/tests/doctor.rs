//! Runs `nickelshed-ctl doctor`. It has a file of its own: a process that another test starts would hold copies of
//! the listeners of this one until it runs its program, and the doctor would reach them.
mod common;

use common::TestFolder;
use std::net::TcpListener;

#[test]
fn doctor_reports_problems_of_the_host() {
    let folder = TestFolder::new("doctor");
    let (occupied, endpoint) =
        (TcpListener::bind("127.0.0.1:0").unwrap(), TcpListener::bind("127.0.0.1:0").unwrap());
    let file = |listen: &str, state: &str, sockets: &str| {
        let endpoint = endpoint.local_addr().unwrap();
        format!(
            "application = \"a\"\nlisten = \"{listen}\"\nstate = \"{state}\"\n[limits]\nsockets = {sockets}\nmemory = \"8MB\"\nheld = 50\n\
             [notices]\nfile = \"n\"\n[[class]]\nname = \"c\"\nwanted_within = \"1s\"\nabandoned_after = \"2s\"\neffect = \"safe\"\n\
             [[destination]]\nname = \"d\"\nnumber = 1\nendpoints = [\"{endpoint}\"]\n"
        )
    };
    let free_address = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap().to_string();
    folder.write("good.toml", &file(&free_address, "state", "128"));
    let (code, text) = folder.run(&["doctor", "good.toml"]);
    assert!(code == 0 && text.contains("0 errors, 0 warnings"), "{text}");
    assert!(!folder.0.join("state").exists(), "the check creates no folder");
    folder.write(
        "occupied.toml",
        &file(&occupied.local_addr().unwrap().to_string(), "good.toml/state", "1000000000"),
    );
    let (code, text) = folder.run(&["doctor", "occupied.toml"]);
    assert!(code == 1, "{text}");
    for code_name in ["NS951", "NS952", "NS954"] {
        assert!(text.contains(code_name), "{code_name}: {text}");
    }
    drop(endpoint);
    let (code, text) = folder.run(&["doctor", "good.toml"]);
    assert!(
        code == 0 && text.contains("NS955") && text.contains("cannot connect to the endpoint of d at"),
        "{text}"
    );
}
