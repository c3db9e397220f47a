//! Files: read within a bound, found again whatever the way to them, and written whole or not at all.
use nickelshed_config::sidecar::MAX_FILE_BYTES;
use nickelshed_config::{check, load_with_schema, together, Code, Finding, Sidecar, Source, TypeSchema};
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// A file as it was read.
pub struct Text {
    pub path: PathBuf,
    pub bytes: Vec<u8>,
}

impl Text {
    pub fn str(&self) -> &str {
        std::str::from_utf8(&self.bytes).unwrap_or_default()
    }
}

/// No more than one byte past the most that is read at all: a path may lead to anything.
pub fn read(path: &Path) -> (Text, Option<Finding>) {
    let mut bytes = Vec::new();
    let read = File::open(path).and_then(|f| f.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes));
    let failed = read.err().map(|e| {
        let what = format!("cannot read {}: {e}", path.display());
        Finding::new(Code::Unreadable, 0..0, what, Code::Unreadable.info().fix)
    });
    (Text { path: path.to_path_buf(), bytes }, failed)
}

/// Files that were read and checked, each by itself and all together.
pub struct Checked {
    shape: TypeSchema,
    pub texts: Vec<Text>,
    /// For each file, if its form is right.
    pub files: Vec<Option<(Sidecar, Source)>>,
    /// In the order of the files, and in each of the places.
    pub findings: Vec<Finding>,
}

impl Default for Checked {
    fn default() -> Checked {
        Checked {
            shape: TypeSchema::of::<Sidecar>(),
            texts: Vec::new(),
            files: Vec::new(),
            findings: Vec::new(),
        }
    }
}

impl Checked {
    /// One file more, by itself.
    pub fn add(&mut self, text: Text, failed: Option<Finding>) {
        let number = self.texts.len();
        let loaded = match failed {
            Some(finding) => nickelshed_config::Loaded { file: None, findings: vec![finding] },
            None => load_with_schema(&text.bytes, &self.shape),
        };
        self.findings.extend(loaded.findings.into_iter().map(|f| Finding { file: number, ..f }));
        self.texts.push(text);
        self.files.push(loaded.file);
    }

    /// What is wrong between the files.
    pub fn together(&mut self) {
        let files = self.files.iter().zip(&self.texts).enumerate();
        let members: Vec<together::ConfigFile> = files
            .filter_map(|(file, (loaded, text))| {
                let (sidecar, source) = loaded.as_ref()?;
                let folder = text.path.parent().unwrap_or(Path::new(""));
                let state = real(&folder.join(&sidecar.state));
                let notices = sidecar.notices.file.as_ref().map(|f| real(&folder.join(f)));
                Some(together::ConfigFile { file, sidecar, source, state, notices })
            })
            .collect();
        self.findings.extend(together::check(&members));
        self.findings.sort_by_key(|f| (f.file, f.span.start));
    }

    pub fn errors(&self) -> usize {
        self.findings.iter().filter(|f| f.is_error()).count()
    }
}

/// Where a path leads, with links followed as far as it exists and the rest as it is written.
pub fn real(path: &Path) -> PathBuf {
    let path = std::path::absolute(path).unwrap_or_else(|_| path.to_path_buf());
    let mut rest: Vec<OsString> = Vec::new();
    let mut known = path.clone();
    loop {
        if let Ok(found) = fs::canonicalize(&known) {
            let all = rest.into_iter().rev().fold(found, |path, part| path.join(part));
            return check::normalize_path(&all);
        }
        match (known.file_name().map(OsString::from), known.pop()) {
            (Some(name), true) => rest.push(name),
            // It ends in `..` beyond what exists.
            (None, true) => rest.push("..".into()),
            (_, false) => return check::normalize_path(&path),
        }
    }
}

/// Writes a file whole: under another name first, which takes the place of the old one only once it is on the disk.
///
/// # Errors
/// With `AlreadyExists` if it is there and `over` is false. Whatever fails, a file that was there stays as it was.
pub fn write(path: &Path, text: &str, over: bool) -> io::Result<()> {
    let name = path.file_name().ok_or(io::ErrorKind::InvalidInput)?.to_string_lossy();
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(folder)?;
    let beside = folder.join(format!(".{name}.{}", std::process::id()));
    let written = OpenOptions::new().write(true).create_new(true).open(&beside).and_then(|mut file| {
        file.write_all(text.as_bytes())?;
        file.sync_all()
    });
    let placed = written.and_then(|()| {
        if over {
            fs::rename(&beside, path)
        } else {
            // Fails where there is a file, also one that came this moment.
            fs::hard_link(&beside, path)
        }
    });
    let _ = fs::remove_file(&beside);
    placed?;
    File::open(folder)?.sync_all()
}
