//! The operators' text. A [`Submission`] is a compare-and-set on the newest version and may be
//! resent. A [`Replacement`] has a version that its operator chose; the highest one is in force.

mod edit;
mod outcome;
mod replacement;
mod submission;
mod texts;

pub use edit::Edit;
pub use outcome::Outcome;
pub use replacement::Replacement;
pub use submission::{Submission, SubmissionId};
pub use texts::{
    MAX_REPLACEMENT_BYTES, MAX_REVISIONS, MAX_SUBMISSIONS, MAX_TEXT_BYTES, Revision, Texts,
};
