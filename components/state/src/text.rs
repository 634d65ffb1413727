//! The operators' text: compare-and-set on its version, with remembered submissions.

mod outcome;
mod submission;
mod texts;

pub use outcome::Outcome;
pub use submission::{Submission, SubmissionId};
pub use texts::{MAX_TEXT_BYTES, Revision, SUBMISSIONS_KEPT, TEXTS_KEPT, Texts};
