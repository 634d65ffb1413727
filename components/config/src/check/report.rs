//! Collects the diagnostics of a check.

use crate::Diagnostic;
use crate::diagnostic::Severity;
use crate::document::Document;

/// Collects diagnostics about one document and locates them in it.
pub(super) struct Report<'d, 's> {
    document: &'d Document<'s>,
    diagnostics: Vec<Diagnostic>,
}

impl<'d, 's> Report<'d, 's> {
    pub(super) fn new(document: &'d Document<'s>) -> Self {
        Report {
            document,
            diagnostics: Vec::new(),
        }
    }

    /// Adds an error at the key `path` if `fails` is true. An empty `help` means no help text.
    pub(super) fn error_if(&mut self, fails: bool, path: &[&str], message: String, help: &str) {
        self.add_if(fails, Severity::Error, path, message, help);
    }

    /// Adds a warning at the key `path` if `fails` is true. An empty `help` means no help text.
    pub(super) fn warn_if(&mut self, fails: bool, path: &[&str], message: String, help: &str) {
        self.add_if(fails, Severity::Warning, path, message, help);
    }

    pub(super) fn into_diagnostics(self) -> Vec<Diagnostic> {
        self.diagnostics
    }

    fn add_if(
        &mut self,
        fails: bool,
        severity: Severity,
        path: &[&str],
        message: String,
        help: &str,
    ) {
        let help = (!help.is_empty()).then(|| help.to_owned());
        if fails {
            self.diagnostics
                .push(self.document.diagnostic(severity, path, message, help));
        }
    }
}
