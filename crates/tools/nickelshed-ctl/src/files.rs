//! Reads files up to a size limit, resolves paths so that two paths to one file compare equal, and writes
//! files atomically.
use nickelshed_config::sidecar::MAX_FILE_BYTES;
use nickelshed_config::{check, cross_file, load_with_schema, Code, Finding, Sidecar, Source, TypeSchema};
use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::path::{Path, PathBuf};

/// The path of a file and its bytes, as read or as to be written.
pub struct FileContent {
    pub path: PathBuf,
    pub bytes: Vec<u8>,
}

impl FileContent {
    /// Returns the bytes as text; an empty text if they are not valid UTF-8.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.bytes).unwrap_or_default()
    }
}

/// Reads at most one byte more than `MAX_FILE_BYTES`, enough to detect a file that is too large. The limit is
/// needed because a path may name an endless device such as /dev/zero. A read error is returned as a finding.
pub fn read(path: &Path) -> (FileContent, Option<Finding>) {
    let mut bytes = Vec::new();
    let read = File::open(path).and_then(|f| f.take(MAX_FILE_BYTES as u64 + 1).read_to_end(&mut bytes));
    let read_error = read.err().map(|e| {
        let message = format!("cannot read {}: {e}", path.display());
        Finding::new(Code::Unreadable, 0..0, message, Code::Unreadable.info().fix)
    });
    (FileContent { path: path.to_path_buf(), bytes }, read_error)
}

/// Configuration files with the findings of checking each file alone and all files for conflicts.
pub struct CheckedFiles {
    schema: TypeSchema,
    pub contents: Vec<FileContent>,
    /// One entry for each file; `None` if its syntax or types are invalid.
    pub parsed: Vec<Option<(Sidecar, Source)>>,
    /// `check_conflicts` sorts them by file, then by position in the file.
    pub findings: Vec<Finding>,
}

impl Default for CheckedFiles {
    fn default() -> CheckedFiles {
        CheckedFiles {
            schema: TypeSchema::of::<Sidecar>(),
            contents: Vec::new(),
            parsed: Vec::new(),
            findings: Vec::new(),
        }
    }
}

impl CheckedFiles {
    /// Adds a file and checks it alone. A file with a `read_error` gets only that finding.
    pub fn add(&mut self, content: FileContent, read_error: Option<Finding>) {
        let file_id = self.contents.len();
        let loaded = match read_error {
            Some(finding) => nickelshed_config::Loaded { file: None, findings: vec![finding] },
            None => load_with_schema(&content.bytes, &self.schema),
        };
        self.findings.extend(loaded.findings.into_iter().map(|f| Finding { file: file_id, ..f }));
        self.contents.push(content);
        self.parsed.push(loaded.file);
    }

    /// Checks all added files for conflicts between them, and sorts the findings.
    pub fn check_conflicts(&mut self) {
        let files = self.parsed.iter().zip(&self.contents).enumerate();
        let config_files: Vec<cross_file::ConfigFile> = files
            .filter_map(|(file, (loaded, content))| {
                let (sidecar, source) = loaded.as_ref()?;
                let folder = content.path.parent().unwrap_or(Path::new(""));
                let state = resolve_path(&folder.join(&sidecar.state));
                let notices = sidecar.notices.file.as_ref().map(|f| resolve_path(&folder.join(f)));
                Some(cross_file::ConfigFile { file, sidecar, source, state, notices })
            })
            .collect();
        self.findings.extend(cross_file::check(&config_files));
        self.findings.sort_by_key(|f| (f.file, f.span.start));
    }

    pub fn error_count(&self) -> usize {
        self.findings.iter().filter(|f| f.is_error()).count()
    }
}

/// Returns the absolute path with symbolic links resolved as far as it exists. The part that does not exist
/// is only normalized.
pub fn resolve_path(path: &Path) -> PathBuf {
    let path = std::path::absolute(path).unwrap_or_else(|_| path.to_path_buf());
    let mut missing: Vec<OsString> = Vec::new();
    let mut existing = path.clone();
    loop {
        if let Ok(canonical) = fs::canonicalize(&existing) {
            let full_path = missing.into_iter().rev().fold(canonical, |path, component| path.join(component));
            return check::normalize_path(&full_path);
        }
        match (existing.file_name().map(OsString::from), existing.pop()) {
            (Some(name), true) => missing.push(name),
            // `..` in the part of the path that does not exist.
            (None, true) => missing.push("..".into()),
            (_, false) => return check::normalize_path(&path),
        }
    }
}

/// Writes a file atomically: writes and syncs a temporary file in the same folder, then moves it into place.
/// A crash or a full disk leaves no partly written file at `path`.
///
/// # Errors
/// Returns `AlreadyExists` if the file exists and `overwrite` is false. On any error before the last sync of
/// the folder, an existing file is unchanged.
pub fn write(path: &Path, content: &str, overwrite: bool) -> io::Result<()> {
    let name = path.file_name().ok_or(io::ErrorKind::InvalidInput)?.to_string_lossy();
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    fs::create_dir_all(folder)?;
    let temporary = folder.join(format!(".{name}.{}", std::process::id()));
    let write_result =
        OpenOptions::new().write(true).create_new(true).open(&temporary).and_then(|mut file| {
            file.write_all(content.as_bytes())?;
            file.sync_all()
        });
    let place_result = write_result.and_then(|()| {
        if overwrite {
            fs::rename(&temporary, path)
        } else {
            // Unlike a rename, this fails if the file exists, even if another process has just created it.
            fs::hard_link(&temporary, path)
        }
    });
    let _ = fs::remove_file(&temporary);
    place_result?;
    File::open(folder)?.sync_all()
}
