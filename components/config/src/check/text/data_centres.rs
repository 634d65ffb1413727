//! Checks of data centres.

use crate::Text;
use crate::check::report::Report;
use crate::text::{Class, Cost, DataCentre};

pub(super) fn check(report: &mut Report<'_, '_>, text: &Text) {
    let count = text.data_centres.len();
    report.error_if(
        count == 0,
        &["data-centres"],
        "the text names no data centre".into(),
        "add a table [data-centres.NAME] with region and prices",
    );
    report.warn_if(
        count == 1,
        &["data-centres"],
        "with one data centre its loss can't be carried".into(),
        "name at least two data centres",
    );
    for (name, data_centre) in &text.data_centres {
        check_data_centre(report, name, data_centre);
    }
}

fn check_data_centre(report: &mut Report<'_, '_>, name: &str, data_centre: &DataCentre) {
    let path = ["data-centres", name];
    report.error_if(
        !super::is_valid_name(name),
        &path,
        format!("data centre name \"{name}\" is not usable"),
        super::NAME_HELP,
    );
    report.error_if(
        data_centre.region.is_empty(),
        &[path[0], path[1], "region"],
        format!("data centre \"{name}\" has no region"),
        "set region = \"NAME\"",
    );
    check_cost(report, name, Class::Reclaimable, data_centre.reclaimable);
    check_cost(report, name, Class::OnDemand, data_centre.on_demand);
    report.warn_if(
        data_centre.reclaimable.price > data_centre.on_demand.price,
        &[path[0], path[1], "reclaimable"],
        format!("in data centre \"{name}\" reclaimable instances cost more than on-demand ones"),
        "check that the two prices are not exchanged",
    );
}

fn check_cost(report: &mut Report<'_, '_>, name: &str, class: Class, cost: Cost) {
    let path = |key| ["data-centres", name, class.name(), key];
    let instances = format!("{} instances in data centre \"{name}\"", class.name());
    report.error_if(
        !cost.price.is_finite() || cost.price < 0.0,
        &path("price"),
        format!("price {} of {instances} is not a price", cost.price),
        "give currency units per instance hour, 0 or more",
    );
    report.error_if(
        cost.budget
            .is_some_and(|budget| !budget.is_finite() || budget <= 0.0),
        &path("budget"),
        format!("the budget of {instances} is not above 0"),
        "leave the key out for no budget, or set max-instances = 0 to use none",
    );
}
