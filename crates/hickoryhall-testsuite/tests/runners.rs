//! Runners that leave, crash or change their weights version.

use hickoryhall_standins::engine::Fault;
use hickoryhall_table::{Row, Table};
use hickoryhall_testsuite::{ModelRequest, WAIT_TIMEOUT, small_config, small_fleet};
use hickoryhall_tools::fleet::{Fleet, MODEL};

fn assert_answered_by_others(fleet: &Fleet, leaving: usize, question: &str) {
    for index in 0..6 {
        let request = ModelRequest {
            tokens: 3,
            ..ModelRequest::new(&format!("{question} {index}"))
        };
        let result = request.send(fleet, index % 2);
        assert_eq!(
            result.text(),
            Some(request.expected_text().as_str()),
            "{result:?}"
        );
        assert_eq!(fleet.runners[leaving].job_count(), 0);
    }
}

#[test]
fn a_runner_that_says_it_is_leaving_gets_no_new_work() {
    let fleet = small_fleet();
    fleet.runners[0].inject_fault(&Fault::Leaving { on: true });
    // The host may send a request before it knows that the runner leaves. The runner then refuses
    // the request as not run, and the host sends it to another runner.
    assert_answered_by_others(&fleet, 0, "leaving");
}

#[test]
fn a_runner_listed_as_leaving_gets_no_new_work() {
    let fleet = small_fleet();
    fleet.publish_host_list(&[1]);
    let is_excluded = |fleet: &Fleet| {
        fleet
            .hosts
            .iter()
            .flatten()
            .all(|host| host.serving_runners() == fleet.runners.len() - 1)
    };
    fleet
        .wait_until(
            "all hosts have read the host list",
            WAIT_TIMEOUT,
            is_excluded,
        )
        .expect("the hosts still use the leaving runner");
    assert_answered_by_others(&fleet, 1, "listed");
}

#[test]
fn a_request_that_kills_runners_is_refused_everywhere_and_the_others_are_answered() {
    let fleet = small_fleet();
    for runner in &fleet.runners {
        runner.inject_fault(&Fault::Poison {
            marker: "poison".to_owned(),
        });
    }
    let poison_request = ModelRequest::new("poison");
    let result = poison_request.send(&fleet, 0);
    assert_eq!(result.refusal_field("code"), Some("suspect"), "{result:?}");
    assert_ne!(result.refusal_field("ran"), Some("no"), "{result:?}");
    let incarnations = fleet.incarnations();
    let is_refused =
        |fleet: &Fleet| poison_request.send(fleet, 1).refusal_field("code") == Some("suspect");
    fleet
        .wait_until("host 1 knows the suspect request", WAIT_TIMEOUT, is_refused)
        .expect("host 1 did not refuse the suspect request");
    assert_eq!(fleet.incarnations(), incarnations, "another runner crashed");
    let unrelated_request = ModelRequest::new("innocent");
    let is_answered = |fleet: &Fleet| {
        unrelated_request.send(fleet, 1).text() == Some(unrelated_request.expected_text().as_str())
    };
    fleet
        .wait_until(
            "host 1 answers an unrelated request",
            WAIT_TIMEOUT,
            is_answered,
        )
        .expect("host 1 did not answer an unrelated request");
}

fn with_desired_version(base: &Table, version: u32) -> Table {
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
    let fleet = hickoryhall_testsuite::start_fleet(config);
    let base = fleet
        .operator(0)
        .table()
        .expect("failed to read the table")
        .table;
    let edited = with_desired_version(&base, 2);
    fleet
        .operator(0)
        .apply("weights", "one", &base, &edited)
        .expect("the change was refused");
    let mut index = 0;
    loop {
        let request = ModelRequest {
            tokens: 5,
            ..ModelRequest::new(&format!("rollout {index}"))
        };
        let result = request.send(&fleet, index % 2);
        let versions = [request.expected_text_of(1), request.expected_text_of(2)];
        let is_of_one_version = result
            .text()
            .is_some_and(|text| versions.iter().any(|v| v == text));
        assert!(is_of_one_version, "{result:?}");
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
        fleet
            .runners
            .iter()
            .all(|runner| runner.order_counts().0 == 1),
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
    assert_eq!(fleet.runners[0].order_counts().1, 1);
}
