//! The prompt text that a chat is rendered to, by engines and routing alike.

/// Appends one chat message to a rendered prompt.
pub fn push_message(prompt: &mut String, role: &str, content: &str) {
    prompt.push_str(role);
    prompt.push_str(": ");
    prompt.push_str(content);
    prompt.push('\n');
}
