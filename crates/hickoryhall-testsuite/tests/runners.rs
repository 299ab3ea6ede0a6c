//! Runners that leave, crash or change their weights version.

use hickoryhall_standins::engine::Fault;
use hickoryhall_table::{Row, Table};
use hickoryhall_testsuite::{Ask, PATIENCE, small_config, small_fleet};
use hickoryhall_tools::fleet::{Fleet, MODEL};

fn answered_by_other(fleet: &Fleet, leaving: usize, question: &str) {
    for index in 0..6 {
        let ask = Ask {
            tokens: 3,
            ..Ask::new(&format!("{question} {index}"))
        };
        let end = ask.send(fleet, index % 2);
        assert_eq!(end.text(), Some(ask.expected().as_str()), "{end:?}");
        assert_eq!(fleet.runners[leaving].jobs(), 0);
    }
}

#[test]
fn a_runner_that_says_it_is_leaving_gets_no_new_work() {
    let fleet = small_fleet();
    fleet.runners[0].fault(&Fault::Leaving { on: true });
    // The host may send a request before it knows that the runner leaves. The runner then refuses
    // the request as not run, and the host sends it to another runner.
    answered_by_other(&fleet, 0, "leaving");
}

#[test]
fn a_runner_listed_as_leaving_gets_no_new_work() {
    let fleet = small_fleet();
    fleet.publish_list(&[1]);
    let unused = |fleet: &Fleet| {
        fleet
            .hosts
            .iter()
            .flatten()
            .all(|host| host.serving_runners() == fleet.runners.len() - 1)
    };
    fleet
        .wait_until("all hosts have read the host list", PATIENCE, unused)
        .expect("the hosts still use the leaving runner");
    answered_by_other(&fleet, 1, "listed");
}

#[test]
fn a_request_that_kills_runners_is_refused_everywhere_and_the_others_are_answered() {
    let fleet = small_fleet();
    for runner in &fleet.runners {
        runner.fault(&Fault::Poison {
            marker: "poison".to_owned(),
        });
    }
    let poison = Ask::new("poison");
    let end = poison.send(&fleet, 0);
    assert_eq!(end.refusal("code"), Some("suspect"), "{end:?}");
    assert_ne!(end.refusal("ran"), Some("no"), "{end:?}");
    let incarnations = fleet.incarnations();
    let told = |fleet: &Fleet| poison.send(fleet, 1).refusal("code") == Some("suspect");
    fleet
        .wait_until("host 1 knows the suspect request", PATIENCE, told)
        .expect("host 1 did not refuse the suspect request");
    assert_eq!(fleet.incarnations(), incarnations, "another runner crashed");
    let innocent = Ask::new("innocent");
    let served =
        |fleet: &Fleet| innocent.send(fleet, 1).text() == Some(innocent.expected().as_str());
    fleet
        .wait_until("host 1 answers an unrelated request", PATIENCE, served)
        .expect("host 1 did not answer an unrelated request");
}

fn with_weights(base: &Table, version: u32) -> Table {
    let mut table = base.clone();
    let target = format!("model:{MODEL}");
    table.insert(Row {
        weights_version: Some(version),
        ..Row::new("*", &target)
    });
    table
}

#[test]
fn new_weights_are_rolled_out_and_answers_are_of_one_version() {
    let config = small_config();
    let fleet = hickoryhall_testsuite::fleet_of(config);
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    let wanted = with_weights(&base, 2);
    fleet
        .operator(0)
        .apply("weights", "one", &base, &wanted)
        .expect("the change was refused");
    let mut index = 0;
    loop {
        let ask = Ask {
            tokens: 5,
            ..Ask::new(&format!("rollout {index}"))
        };
        let end = ask.send(&fleet, index % 2);
        let versions = [ask.expected_of(1), ask.expected_of(2)];
        let is_one = end
            .text()
            .is_some_and(|text| versions.iter().any(|v| v == text));
        assert!(is_one, "{end:?}");
        if fleet
            .runners
            .iter()
            .all(|runner| runner.weights_version() == 2)
        {
            break;
        }
        index += 1;
        assert!(index < 10_000, "the rollout did not finish");
    }
    assert!(
        fleet.runners.iter().all(|runner| runner.orders().0 == 1),
        "each runner loads the weights exactly once"
    );
}

#[test]
fn an_engine_refuses_an_order_with_an_old_fencing_number() {
    use hickoryhall_clients::{Order, OrderBody, RunnerClient};
    let fleet = small_fleet();
    let client = RunnerClient::default();
    let order = |fencing| OrderBody {
        fencing,
        order: Order::LoadWeights { weights_version: 1 },
    };
    let address = fleet.runners[0].address();
    client
        .order(address, &order(1_000))
        .expect("refused an order with a newer fencing number");
    client
        .order(address, &order(999))
        .expect_err("accepted an order with an old fencing number");
    assert_eq!(fleet.runners[0].orders().1, 1);
}
