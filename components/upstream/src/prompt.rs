//! Rendering of chats to prompt text. Engines and routing use the same text, so that their block
//! hashes agree.

/// Appends one chat message to a rendered prompt.
pub fn push_message(prompt: &mut String, role: &str, content: &str) {
    prompt.push_str(role);
    prompt.push_str(": ");
    prompt.push_str(content);
    prompt.push('\n');
}
