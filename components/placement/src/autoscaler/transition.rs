//! The orders of a round on the way from the present counts to the wanted ones.
//!
//! What is missing is ordered at once. Instances are replaced in portions: the next ones are ordered
//! after the previous ones had time to fill their caches, and those that they replace are released
//! only while enough others are warm.

use config::ids::DataCentreId;
use config::text::Class;

use super::counts::Counts;
use crate::Slot;

/// A slot between two counts.
#[derive(Clone, Debug)]
pub(super) struct Step {
    pub(super) slot: Slot,
    /// Count of the last order, or the instances that serve.
    pub(super) current: u32,
    pub(super) wanted: u32,
    /// Instances whose caches are filled.
    pub(super) warm: u32,
    /// Price of an instance.
    pub(super) price: f64,
    /// Whether instances may be released here.
    pub(super) may_release: bool,
    /// Count to be ordered now.
    pub(super) next: u32,
}

/// What one round may do.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Allowance {
    /// Instances that may be ordered beyond those that are missing.
    pub(super) replaced: u32,
    /// Instances that may be released.
    pub(super) released: u32,
    /// Difference up to which nothing is ordered that is not urgent.
    pub(super) ignored: u32,
    /// Whether fewer instances exist than suffice.
    pub(super) is_urgent: bool,
    /// Most instances in each data centre.
    pub(super) max_count: u32,
    /// Instances that must stay where others are released to make place for those that replace them.
    pub(super) floor: u32,
}

/// What a round does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Moved {
    /// Instances ordered beyond those that are missing.
    pub(super) replaced: u32,
    /// Instances released.
    pub(super) released: u32,
}

/// Sets the next counts of the steps.
pub(super) fn advance(steps: &mut [Step], wanted: &Counts, allowance: Allowance) -> Moved {
    let current: u32 = steps.iter().map(|step| step.current).sum();
    let missing = wanted.total().saturating_sub(current);
    let is_worthwhile = allowance.is_urgent || missing > allowance.ignored;
    let missing = match is_worthwhile {
        true => missing,
        false => 0,
    };
    let lacking = steps
        .iter()
        .map(|step| step.wanted.saturating_sub(step.current));
    let replaced = match lacking.sum::<u32>() > missing + allowance.ignored {
        true => allowance.replaced,
        false => 0,
    };
    let added = increase(steps, missing + replaced, allowance.max_count);
    let warm: u32 = steps.iter().map(|step| step.warm).sum();
    let spare = warm.saturating_sub(wanted.total()).min(allowance.released);
    let released = release(steps, spare, allowance.ignored, |_| true);
    // A data centre at its bound has no place for what is to replace its instances.
    let spare = warm.saturating_sub(allowance.floor).min(allowance.released);
    let full = full_data_centres(steps, allowance.max_count);
    let is_full = |step: &Step| full.contains(&step.slot.data_centre);
    let making_place = release(
        steps,
        spare.saturating_sub(released),
        allowance.ignored,
        is_full,
    );
    Moved {
        replaced: added.saturating_sub(missing),
        released: released + making_place,
    }
}

/// Increases the counts of slots by at most `allowed` instances in all, spread over the slots, and
/// returns how many there were.
fn increase(steps: &mut [Step], allowed: u32, max_count: u32) -> u32 {
    let mut added = 0;
    while added < allowed {
        let lacks = |step: &Step| step.wanted.saturating_sub(step.next);
        let open = (0..steps.len())
            .filter(|index| lacks(&steps[*index]) > 0 && in_data_centre(steps, *index) < max_count);
        let Some(index) = open.max_by_key(|index| lacks(&steps[*index])) else {
            break;
        };
        steps[index].next += 1;
        added += 1;
    }
    added
}

fn in_data_centre(steps: &[Step], index: usize) -> u32 {
    let data_centre = &steps[index].slot.data_centre;
    let here = steps.iter();
    let here = here.filter(|step| step.slot.data_centre == *data_centre);
    here.map(|step| step.next.max(step.current)).sum()
}

/// Returns the data centres at their bound in which one slot lacks instances.
fn full_data_centres(steps: &[Step], max_count: u32) -> Vec<DataCentreId> {
    let indices = 0..steps.len();
    let is_full = |index: &usize| in_data_centre(steps, *index) >= max_count;
    let lacking = indices.filter(|index| steps[*index].next < steps[*index].wanted);
    let full = lacking.filter(is_full);
    full.map(|index| steps[index].slot.data_centre.clone())
        .collect()
}

/// Releases at most `spare` instances of eligible slots, dearest first, and returns how many there
/// were. Reclaimable ones are cheap, so that few of them are not worth an order.
fn release(
    steps: &mut [Step],
    spare: u32,
    ignored: u32,
    is_eligible: impl Fn(&Step) -> bool,
) -> u32 {
    let mut order: Vec<usize> = (0..steps.len()).collect();
    order.sort_by(|a, b| steps[*b].price.total_cmp(&steps[*a].price));
    let mut released = 0;
    for index in order {
        let step = &mut steps[index];
        let surplus = step.next.saturating_sub(step.wanted);
        let is_worthwhile = step.slot.class == Class::OnDemand || surplus > ignored;
        if !step.may_release || !is_worthwhile || !is_eligible(step) {
            continue;
        }
        let count = surplus.min(spare - released);
        step.next -= count;
        released += count;
    }
    released
}
