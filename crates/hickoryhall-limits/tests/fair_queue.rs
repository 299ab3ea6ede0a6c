//! Tests of the fair queue: service by weight, deadlines, and which items are shed.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use hickoryhall_limits::{FairQueue, Queued, Shed};
use proptest::prelude::*;

fn queued(workspace: &str, weight: u32, cost: f64, deadline: Instant, item: u32) -> Queued<u32> {
    Queued {
        workspace: workspace.into(),
        weight,
        cost,
        deadline,
        item,
    }
}

#[test]
fn workspaces_are_served_in_proportion_to_their_weights() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1_000);
    for item in 0..400 {
        assert!(queue.push(queued("small", 1, 10.0, late, item)).is_none());
        assert!(queue.push(queued("large", 3, 10.0, late, item)).is_none());
    }
    let mut served = HashMap::<String, u32>::new();
    for _ in 0..200 {
        let queued = queue.pop().expect("an item");
        *served.entry(queued.workspace.to_string()).or_default() += 1;
    }
    assert_eq!(served["large"], 150);
    assert_eq!(served["small"], 50);
}

#[test]
fn a_flood_of_one_workspace_does_not_delay_another() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1_000);
    for item in 0..500 {
        queue.push(queued("flood", 1, 10.0, late, item));
    }
    for _ in 0..10 {
        queue.pop();
    }
    queue.push(queued("small", 1, 10.0, late, 7));
    let next = [queue.pop(), queue.pop()].map(|queued| queued.expect("an item").workspace);
    assert!(
        next.iter().any(|workspace| workspace.as_ref() == "small"),
        "{next:?}"
    );
}

#[test]
fn a_workspace_does_not_save_up_service_while_it_is_away() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(1_000);
    for item in 0..100 {
        queue.push(queued("busy", 1, 1.0, late, item));
    }
    for _ in 0..50 {
        queue.pop();
    }
    for item in 0..50 {
        queue.push(queued("back", 1, 1.0, late, item));
    }
    let first = (0..20).filter_map(|_| queue.pop());
    let back = first
        .filter(|queued| queued.workspace.as_ref() == "back")
        .count();
    assert!((9..=11).contains(&back), "{back}");
}

#[test]
fn the_newest_of_the_workspace_furthest_over_its_share_is_shed() {
    let now = Instant::now();
    let late = now + Duration::from_secs(60);
    let mut queue = FairQueue::new(4);
    for item in 0..3 {
        queue.push(queued("large", 1, 10.0, late, item));
    }
    queue.push(queued("small", 1, 10.0, late, 10));
    let shed = queue.push(queued("small", 1, 10.0, late, 11));
    assert_eq!(shed, Some(Shed::OverShare(2)));
}

proptest! {
    #[test]
    fn nothing_is_lost_or_served_twice(
        pushes in prop::collection::vec((0_u8..4, 1_u32..5, 1_u64..100, prop::bool::ANY), 1..120),
        limit in 1_usize..40,
    ) {
        let start = Instant::now();
        let mut queue = FairQueue::new(limit);
        let mut left = Vec::new();
        for (item, (workspace, weight, deadline_ms, pops)) in pushes.iter().enumerate() {
            let deadline = start + Duration::from_millis(*deadline_ms);
            let name = format!("w{workspace}");
            let shed = queue.push(queued(&name, *weight, 1.0, deadline, item as u32));
            left.extend(shed.map(|shed| match shed {
                Shed::Expired(item) | Shed::OverShare(item) => item,
            }));
            if *pops {
                left.extend(queue.pop().map(|queued| queued.item));
            }
            prop_assert!(queue.len() <= limit);
        }
        for shed in queue.expire(start + Duration::from_millis(50)) {
            let Shed::Expired(item) = shed else { panic!("only deadlines pass here") };
            prop_assert!(pushes[item as usize].2 <= 50);
            left.push(item);
        }
        left.extend(std::iter::from_fn(|| queue.pop()).map(|queued| queued.item));
        left.sort_unstable();
        prop_assert_eq!(left, (0..pushes.len() as u32).collect::<Vec<_>>());
    }
}
