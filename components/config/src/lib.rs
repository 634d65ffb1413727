//! The operators' text, the settings of processes, and keys: parsed from TOML and checked.

pub mod check;
pub mod diagnostic;
mod document;
pub mod duration;
pub mod ids;
pub mod keys;
pub mod release;
pub mod settings;
pub mod text;

pub use diagnostic::Diagnostic;
pub use keys::Keys;
pub use settings::Settings;
pub use text::Text;
