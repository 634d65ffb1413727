//! Secret strings, which are compared in constant time and redacted in debug output.

use std::fmt;

use hmac::{Hmac, Mac};
use serde::Deserialize;
use sha2::Sha256;
use subtle::ConstantTimeEq;

/// A key, token or shared secret. An empty one counts as not set: it matches and verifies nothing.
#[derive(Clone, Default, Deserialize)]
#[serde(transparent)]
pub struct Secret(String);

impl Secret {
    /// Wraps a string.
    pub fn new(text: impl Into<String>) -> Self {
        Secret(text.into())
    }

    /// Reports whether the secret is set and equal to `other`. The comparison takes constant time.
    pub fn matches(&self, other: &str) -> bool {
        !self.0.is_empty() && bool::from(self.0.as_bytes().ct_eq(other.as_bytes()))
    }

    /// Returns the secret itself, to be sent in a request's header. It must not be logged.
    pub fn expose(&self) -> &str {
        &self.0
    }

    /// Reports whether no secret is set.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns the HMAC-SHA256 of `message` as lower-case hexadecimal digits.
    pub fn sign(&self, message: &[u8]) -> String {
        hex::encode(self.mac(message).finalize().into_bytes())
    }

    /// Reports whether the secret is set and `signature` is what [`Secret::sign`] returns for
    /// `message`.
    pub fn verify(&self, message: &[u8], signature: &str) -> bool {
        let decoded = hex::decode(signature).unwrap_or_default();
        !self.0.is_empty() && self.mac(message).verify_slice(&decoded).is_ok()
    }

    fn mac(&self, message: &[u8]) -> Hmac<Sha256> {
        let mut mac = Hmac::<Sha256>::new_from_slice(self.0.as_bytes())
            .expect("HMAC takes keys of any length");
        mac.update(message);
        mac
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}
