//! A folder for the files of one test, in which `nickelshed-ctl` runs.
use std::fs;
use std::path::{Path, PathBuf};
use std::process::{Command, Output};

pub const PROGRAM: &str = env!("CARGO_BIN_EXE_nickelshed-ctl");

pub struct TestFolder(pub PathBuf);

impl TestFolder {
    pub fn new(name: &str) -> TestFolder {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
        let _ = fs::remove_dir_all(&path);
        fs::create_dir_all(&path).unwrap();
        TestFolder(path)
    }

    pub fn write(&self, name: &str, text: &str) {
        fs::write(self.0.join(name), text).unwrap();
    }

    /// Runs the tool in this folder. Returns its exit code and output.
    pub fn run(&self, arguments: &[&str]) -> (i32, String) {
        exit_code_and_output(Command::new(PROGRAM).args(arguments).current_dir(&self.0).output().unwrap())
    }
}

impl Drop for TestFolder {
    fn drop(&mut self) {
        if !std::thread::panicking() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

fn exit_code_and_output(output: Output) -> (i32, String) {
    let text = [output.stdout, output.stderr].concat();
    (output.status.code().unwrap_or(-1), String::from_utf8(text).unwrap())
}
