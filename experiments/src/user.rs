//! The two simulated users of Chervilloft and the operators' texts of their fleets.

use config::Text;

/// Operators' text of [`User::Cetak`].
const CETAK: &str = r#"
name = "cetak"
objective = "recomputed-tokens"
[data-centres.shah-alam]
region = "peninsula"
reclaimable = { price = 1.0 }
on-demand = { price = 2.8 }
[data-centres.penang]
region = "peninsula"
reclaimable = { price = 1.1 }
on-demand = { price = 3.0 }
[data-centres.johor-bahru]
region = "peninsula"
reclaimable = { price = 1.05 }
on-demand = { price = 2.9 }
[data-centres.ipoh]
region = "peninsula"
reclaimable = { price = 1.2 }
on-demand = { price = 3.1 }
[services.engines]
kind = "model"
models = [{ name = "model", version = "1" }]
[accounts.shops]
"#;

/// Operators' text of [`User::Armor`].
const ARMOR: &str = r#"
name = "armor"
objective = "cost"
[data-centres.rennes]
region = "brittany"
reclaimable = { price = 1.0 }
on-demand = { price = 2.8 }
[data-centres.brest]
region = "brittany"
reclaimable = { price = 1.15 }
on-demand = { price = 3.0 }
[data-centres.vannes]
region = "brittany"
reclaimable = { price = 1.05 }
on-demand = { price = 2.9 }
[data-centres.saint-brieuc]
region = "brittany"
reclaimable = { price = 1.3 }
on-demand = { price = 3.1 }
[services.engines]
kind = "model"
models = [{ name = "model", version = "1" }]
[accounts.cooperative]
"#;

/// User of Chervilloft whose fleet and callers' requests are simulated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum User {
    /// Group of print shops. Most requests check a job ticket against a long standards document, so
    /// that prompts share long prefixes; the others are short. The mean demand of a
    /// [`Run`](crate::Run) is constant.
    Cetak,
    /// Network of farms. Requests are for reports, whose prompts share a prefix for each farm, and
    /// for short alerts with high priority. The demand of a [`Run`](crate::Run) is seasonal.
    Armor,
}

impl User {
    /// Both users.
    pub const ALL: [User; 2] = [User::Cetak, User::Armor];

    /// Returns the name that the table prints and the option `--user` accepts.
    pub fn name(self) -> &'static str {
        match self {
            User::Cetak => "cetak",
            User::Armor => "armor",
        }
    }

    /// Returns the operators' text of the user's fleet, with `capacity` as the minimum number of
    /// instances that remain after the loss of any one data centre.
    pub(crate) fn text(self, capacity: u32) -> Text {
        let source = match self {
            User::Cetak => CETAK,
            User::Armor => ARMOR,
        };
        let mut text = Text::parse(source).expect("the text of a user parses");
        let service = &mut text.services["engines"];
        service.min_instances = capacity;
        service.expected_requests_per_second = 0.0;
        text
    }
}
