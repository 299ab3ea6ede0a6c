//! Which hosts the store lists, so that others find them.

use std::net::Ipv4Addr;

use hickoryhall_gateway::peers::HostList;
use rstest::rstest;

fn hosts(numbers: &[u8]) -> Vec<Ipv4Addr> {
    let hosts = numbers
        .iter()
        .map(|&number| Ipv4Addr::new(10, 0, 0, number));
    hosts.collect()
}

#[rstest]
#[case::first_start(&[], &[2, 3], Some(&[1, 2, 3][..]))]
#[case::all_live(&[1, 2, 3], &[2, 3], None)]
#[case::enough_live(&[1, 2, 3, 4, 20, 21], &[2, 3, 4, 5, 6], None)]
#[case::most_are_gone(&[1, 20, 21, 22], &[2, 3, 4, 5], Some(&[1, 2, 3, 4, 5][..]))]
#[case::alone_and_not_listed(&[20, 21], &[], Some(&[20, 21, 1][..]))]
#[case::alone_and_listed(&[20, 1], &[], None)]
fn the_list_holds_live_hosts(
    #[case] listed: &[u8],
    #[case] live: &[u8],
    #[case] expected: Option<&[u8]>,
) {
    let own = Ipv4Addr::new(10, 0, 0, 1);
    let update = HostList::new(own).update(&hosts(listed), &hosts(live));
    assert_eq!(update, expected.map(hosts));
}

/// Guards against hosts that come one by one, find nobody and push each other off the list.
#[test]
fn the_list_is_bounded_and_keeps_the_newest_lone_hosts() {
    let mut listed = Vec::new();
    for number in 0..40 {
        let list = HostList::new(Ipv4Addr::new(10, 0, 0, number));
        listed = list.update(&listed, &[]).expect("it is not listed");
        assert!(listed.len() <= 16);
    }
    let newest = (24..40).collect::<Vec<_>>();
    assert_eq!(listed, hosts(&newest));
    let many = (0..200).collect::<Vec<_>>();
    let list = HostList::new(Ipv4Addr::new(10, 0, 1, 1));
    let update = list.update(&[], &hosts(&many)).expect("none is listed");
    assert_eq!(update.len(), 16);
}
