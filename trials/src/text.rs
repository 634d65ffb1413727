//! Operators' texts of fleets, and the names in them.

/// Name of the service with model engines.
pub const MODEL_SERVICE: &str = "assistant";
/// Model of [`MODEL_SERVICE`].
pub const MODEL: &str = "plate-assistant";
/// Version of the weights of [`MODEL`].
pub const MODEL_VERSION: &str = "1";
/// Name of the plain service.
pub const PLAIN_SERVICE: &str = "jobs";
/// Path of the non-idempotent call of [`PLAIN_SERVICE`].
pub const SUBMIT_PATH: &str = "/exposures";
/// Data centres, in the order of the text.
pub const DATA_CENTRES: [&str; 4] = ["shah-alam", "penang", "johor-bahru", "ipoh"];

/// Returns a text with one model service, one plain service and limits that no test reaches.
pub fn small() -> String {
    with_name("trial")
}

/// Returns the text of [`small`] under another name, so that the two differ.
pub fn with_name(name: &str) -> String {
    let centres = DATA_CENTRES.map(|centre| {
        format!(
            "[data-centres.{centre}]\n\
             region = \"peninsula\"\n\
             reclaimable = {{ price = 3.0, max-instances = 20 }}\n\
             on-demand = {{ price = 9.0, max-instances = 20 }}\n"
        )
    });
    format!(
        r#"name = "{name}"

[latency]
first-token = "5s"
between-tokens = "200ms"

{}
[services.{MODEL_SERVICE}]
kind = "model"
models = [{{ name = "{MODEL}", version = "{MODEL_VERSION}" }}]
fencing = "checked"
timeout = "60s"
min-instances = 1
max-instances = 40
requests-per-second-per-instance = 50.0
expected-requests-per-second = 20.0

[services.{PLAIN_SERVICE}]
kind = "plain"
routes = [{{ method = "POST", path = "{SUBMIT_PATH}", idempotent = false }}]
timeout = "10s"
min-instances = 1
max-instances = 8
requests-per-second-per-instance = 100.0
expected-requests-per-second = 20.0

[accounts.shops]
requests-per-second = 1000000.0
tokens-per-second = 1000000000.0
max-in-progress = 100000

[accounts.office]
requests-per-second = 1000000.0
tokens-per-second = 1000000000.0
max-in-progress = 100000
"#,
        centres.concat()
    )
}
