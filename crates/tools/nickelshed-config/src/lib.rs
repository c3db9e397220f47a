//! The operator's configuration of a sidecar: its types, its checks, and reading and writing of the text.
//! Performs no I/O: it takes texts and returns findings and settings. The sender and the tool
//! `nickelshed-ctl` both read files through [`load`], so both reject the same files.
pub mod check;
pub mod code;
pub mod compile;
pub mod cross_file;
pub mod diff;
pub mod finding;
pub mod fleet;
pub mod operator;
pub mod reference;
pub mod schema;
pub mod sidecar;
pub mod source;
pub mod units;
pub mod url;
pub mod write;

pub use code::{Code, Level};
pub use finding::Finding;
pub use operator::Operator;
pub use schema::TypeSchema;
pub use sidecar::Sidecar;
pub use source::Source;

/// A file that was read and checked on its own, without other files of the host.
pub struct Loaded {
    /// `None` if the text is not a valid file of this type.
    pub file: Option<(Sidecar, Source)>,
    pub findings: Vec<Finding>,
}

impl Loaded {
    /// The configuration, if there is no error among the findings.
    ///
    /// # Errors
    /// All findings, if the file could not be read or if one of them is an error.
    pub fn into_valid(self) -> Result<Sidecar, Vec<Finding>> {
        let is_valid = !self.findings.iter().any(Finding::is_error);
        self.file.filter(|_| is_valid).map(|(sidecar, _)| sidecar).ok_or(self.findings)
    }
}

/// Reads and checks the bytes of a file.
pub fn load(bytes: &[u8]) -> Loaded {
    load_with_schema(bytes, &TypeSchema::of::<Sidecar>())
}

/// Like [`load`], with a prepared schema of [`Sidecar`], for reading many files.
pub fn load_with_schema(bytes: &[u8], schema: &TypeSchema) -> Loaded {
    let text = match source::text(bytes) {
        Ok(text) => text,
        Err(finding) => return Loaded { file: None, findings: vec![*finding] },
    };
    let result = source::read_with_schema::<Sidecar>(text, schema);
    let mut findings = result.findings;
    let file = result.value.zip(result.source);
    if let Some((sidecar, source)) = &file {
        findings.extend(check::check(sidecar, source));
    }
    Loaded { file, findings }
}
