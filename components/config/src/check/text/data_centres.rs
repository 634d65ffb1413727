//! Checks of data centres.

use crate::Text;
use crate::check::finder::Finder;
use crate::text::{Class, Cost, DataCentre};

pub(super) fn check(finder: &mut Finder<'_, '_>, text: &Text) {
    let count = text.data_centres.len();
    finder.error_if(
        count == 0,
        &["data-centres"],
        "the text names no data centre".into(),
        "add a table [data-centres.NAME] with region and prices",
    );
    finder.warn_if(
        count == 1,
        &["data-centres"],
        "with one data centre its loss can't be carried".into(),
        "name at least two data centres",
    );
    for (name, data_centre) in &text.data_centres {
        check_one(finder, name, data_centre);
    }
}

fn check_one(finder: &mut Finder<'_, '_>, name: &str, data_centre: &DataCentre) {
    let at = ["data-centres", name];
    finder.error_if(
        !super::is_plain_name(name),
        &at,
        format!("data centre name \"{name}\" is not usable"),
        super::NAME_HELP,
    );
    finder.error_if(
        data_centre.region.is_empty(),
        &[at[0], at[1], "region"],
        format!("data centre \"{name}\" has no region"),
        "set region = \"NAME\"",
    );
    check_cost(finder, name, Class::Reclaimable, data_centre.reclaimable);
    check_cost(finder, name, Class::OnDemand, data_centre.on_demand);
    finder.warn_if(
        data_centre.reclaimable.price > data_centre.on_demand.price,
        &[at[0], at[1], "reclaimable"],
        format!("in data centre \"{name}\" reclaimable instances cost more than on-demand ones"),
        "check that the two prices are not exchanged",
    );
}

fn check_cost(finder: &mut Finder<'_, '_>, name: &str, class: Class, cost: Cost) {
    let path = |key| ["data-centres", name, class.name(), key];
    let of = format!("{} instances in data centre \"{name}\"", class.name());
    finder.error_if(
        !cost.price.is_finite() || cost.price < 0.0,
        &path("price"),
        format!("price {} of {of} is not a price", cost.price),
        "give currency units per instance hour, 0 or more",
    );
    finder.error_if(
        cost.budget
            .is_some_and(|budget| !budget.is_finite() || budget <= 0.0),
        &path("budget"),
        format!("the budget of {of} is not above 0"),
        "leave the key out for no budget, or set max-instances = 0 to use none",
    );
}
