//! Retries of clients are recognized by route, client account and deadline.

#![allow(clippy::unwrap_used)]

use crank_engine::Moment;
use crank_engine::client_retry::{
    ClientRequest, ClientRetries, DEADLINE_TOLERANCE, MAX_DEADLINES, MAX_SAME_DEADLINE,
};
use crank_protocol::{Millis, Name};

const FIRST_ARRIVAL: Moment = Moment(1_000);
const DEADLINE: Moment = Moment(800_000);
const LATER: Moment = Moment(300_000);

fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

fn request(deadline: Moment) -> ClientRequest {
    ClientRequest {
        deadline,
        route: name("spoons"),
        account: Some(name("ana")),
    }
}

fn failed(requests: &[ClientRequest]) -> ClientRetries {
    let mut retries = ClientRetries::default();
    for request in requests {
        retries.record_failure(FIRST_ARRIVAL, request.clone(), FIRST_ARRIVAL);
    }
    retries
}

#[test]
fn a_retry_counts_from_the_first_attempt_even_if_its_deadline_appears_a_little_off() {
    for deadline in [
        DEADLINE,
        DEADLINE.before(DEADLINE_TOLERANCE),
        DEADLINE.after(DEADLINE_TOLERANCE),
    ] {
        let mut retries = failed(&[request(DEADLINE)]);
        let first = retries.first_arrival(LATER, &request(deadline));
        assert_eq!(first, FIRST_ARRIVAL, "{deadline:?}");
    }
}

#[test]
fn a_request_with_another_deadline_route_or_account_is_no_retry() {
    let late = DEADLINE.after(DEADLINE_TOLERANCE).after(Millis(1));
    let early = DEADLINE.before(DEADLINE_TOLERANCE).before(Millis(1));
    let others = [
        request(late),
        request(early),
        ClientRequest {
            route: name("forks"),
            ..request(DEADLINE)
        },
        ClientRequest {
            account: None,
            ..request(DEADLINE)
        },
    ];
    for other in others {
        let mut retries = failed(&[request(DEADLINE)]);
        assert_eq!(retries.first_arrival(LATER, &other), LATER, "{other:?}");
    }
}

#[test]
fn each_failed_request_is_retried_once() {
    let mut retries = failed(&[request(DEADLINE), request(DEADLINE)]);
    let retry = request(DEADLINE);
    assert_eq!(retries.first_arrival(LATER, &retry), FIRST_ARRIVAL);
    assert_eq!(retries.first_arrival(LATER, &retry), FIRST_ARRIVAL);
    assert_eq!(retries.first_arrival(LATER, &retry), LATER);
}

#[test]
fn a_retry_that_fails_too_still_counts_from_the_first_attempt() {
    let mut retries = failed(&[request(DEADLINE)]);
    let first = retries.first_arrival(LATER, &request(DEADLINE));
    retries.record_failure(LATER, request(DEADLINE), first);
    let first = retries.first_arrival(LATER.after(Millis(9)), &request(DEADLINE));
    assert_eq!(first, FIRST_ARRIVAL);
}

#[test]
fn the_closest_deadline_is_chosen() {
    let mut retries = ClientRetries::default();
    let near = DEADLINE.after(Millis(1));
    retries.record_failure(Moment(0), request(near), Moment(2));
    retries.record_failure(Moment(0), request(DEADLINE.after(Millis(4))), Moment(3));
    let first = retries.first_arrival(LATER, &request(DEADLINE));
    assert_eq!(first, Moment(2));
}

#[test]
fn what_clients_no_longer_wait_for_is_forgotten() {
    let mut retries = failed(&[request(DEADLINE)]);
    let now = DEADLINE.after(Millis(1));
    retries.record_failure(now, request(now.after(Millis(500))), now);
    let mut only_the_last = ClientRetries::default();
    only_the_last.record_failure(now, request(now.after(Millis(500))), now);
    assert_eq!(retries, only_the_last);
}

#[test]
fn failures_without_end_take_no_memory_without_end() {
    let mut retries = ClientRetries::default();
    for index in 0..3 * MAX_DEADLINES as u64 {
        let deadline = Moment(DEADLINE.0 + index);
        for _ in 0..3 * MAX_SAME_DEADLINE {
            retries.record_failure(Moment(0), request(deadline), Moment(0));
        }
    }
    let mut remembered = 0;
    for index in 0..3 * MAX_DEADLINES as u64 {
        let retry = request(Moment(DEADLINE.0 + index));
        while retries.first_arrival(LATER, &retry) < LATER {
            remembered += 1;
        }
    }
    assert!(
        remembered <= MAX_DEADLINES * MAX_SAME_DEADLINE,
        "{remembered}"
    );
}
