//! Any bytes as body and headers give a request or a problem that says "not run", never a panic.

use http::{HeaderValue, Request};
use lilacpass_daemon::http::{
    access::InForce,
    action::Action,
    input::{self, InputLimits},
};
use lilacpass_schema::v1;
use std::time::Duration;

/// Values tried in a plain run.
const SEEDS: u64 = 5_000;
/// Most bytes that one is made from.
const MAX_BYTES: usize = 4_096;

const ACTIONS: [Action; 3] = [Action::Quick, Action::Submit, Action::Change];

const HEADERS: [&str; 3] = ["idempotency-key", "deadline-ms", "if-match"];

const LIMITS: InputLimits =
    InputLimits { max_body_bytes: 1 << 20, max_deadline: Duration::from_secs(60) };

fn check(body: &[u8], header: &[u8]) {
    for action in ACTIONS {
        let mut request = Request::new(());
        for name in HEADERS {
            if let Ok(value) = HeaderValue::from_bytes(header) {
                request.headers_mut().insert(name, value);
            }
        }
        let (parts, ()) = request.into_parts();
        if let Err(problem) = input::request(action, &parts, body, &InForce::default(), &LIMITS) {
            assert_eq!(problem.verdict, "not_run");
            assert!((400..500).contains(&problem.status));
        }
    }
}

#[test]
fn any_bytes_give_a_request_or_a_problem() {
    lilacpass_fuzz::check::<(Vec<u8>, Vec<u8>)>(SEEDS, MAX_BYTES, |(body, header)| {
        check(body, header);
    });
}

/// Starts from a body that is right and changes some of its bytes, to get past the first check.
#[test]
fn almost_right_bodies_give_a_request_or_a_problem() {
    let spec = v1::JobSpec {
        team: "vindbaar".to_owned(),
        service: "auditdienst".to_owned(),
        ..v1::JobSpec::default()
    };
    let sound = serde_json::to_vec(&spec).expect("JSON");
    lilacpass_fuzz::check::<Vec<(u16, u8)>>(SEEDS, MAX_BYTES, |changes| {
        let mut body = sound.clone();
        for (position, byte) in changes {
            let position = usize::from(*position) % body.len();
            body[position] = *byte;
        }
        check(&body, b"17");
    });
}
