//! Urgent requests find room beside a surge of less urgent ones.

use std::time::{Duration, Instant};

use hickoryhall_limits::UrgentRoom;

const SLOTS: u32 = 12;

/// Guards against less urgent requests that are kept out while nothing urgent lacks room.
#[test]
fn all_slots_are_free_for_everyone_without_a_shortage() {
    let now = Instant::now();
    let mut room = UrgentRoom::default();
    assert_eq!(room.slots_for(now, &"m", 2, SLOTS), SLOTS);
    room.record_full(now, &"m", 2);
    assert_eq!(room.slots_for(now, &"m", 2, SLOTS), SLOTS);
    assert_eq!(room.slots_for(now, &"m", 0, SLOTS), SLOTS);
    assert_eq!(room.slots_for(now, &"other", 9, SLOTS), SLOTS);
}

/// Guards against urgent requests that are refused because less urgent ones take every slot, and
/// against slots that stay kept after the shortage.
#[test]
fn less_urgent_requests_leave_room_for_two_seconds_after_a_shortage() {
    let now = Instant::now();
    let mut room = UrgentRoom::default();
    room.record_full(now, &"m", 0);
    room.record_full(now, &"m", 2);
    assert_eq!(room.slots_for(now, &"m", 2, SLOTS), 7);
    assert_eq!(room.slots_for(now, &"m", 0, SLOTS), SLOTS);
    assert_eq!(room.slots_for(now, &"m", 2, 1), 1);
    let later = now + Duration::from_secs(2);
    assert_eq!(room.slots_for(later, &"m", 2, SLOTS), SLOTS);
}

/// Load: 30 long requests a second that hold a slot for 0.4 s and retry at once, so that they alone
/// fill 12 slots, beside 10 urgent ones a second that hold one for 0.2 s. Guards against urgent
/// requests that are turned away: their callers need nearly all of them served.
#[test]
fn urgent_requests_are_served_beside_a_surge_of_long_ones() {
    let start = Instant::now();
    let mut room = UrgentRoom::default();
    let (mut ends, mut urgent, mut served) = (Vec::<(u64, bool)>::new(), 0, 0);
    for ms in 0..10_000_u64 {
        let now = start + Duration::from_millis(ms);
        ends.retain(|(end, _)| *end > ms);
        while (ends.len() as u32) < room.slots_for(now, &"m", 2, SLOTS) {
            ends.push((ms + 400, false));
        }
        if ms % 100 == 50 {
            urgent += 1;
            if (ends.len() as u32) < room.slots_for(now, &"m", 0, SLOTS) {
                served += 1;
                ends.push((ms + 200, true));
            } else {
                room.record_full(now, &"m", 0);
            }
        }
    }
    assert!(served * 100 >= urgent * 85, "{served} of {urgent}");
}
