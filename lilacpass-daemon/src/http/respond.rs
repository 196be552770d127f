//! Turns answers of the state machine into responses.

use http::{HeaderValue, StatusCode, header};
use lilacpass_control::event::{Answer, Role};
use lilacpass_core::Verdict;
use lilacpass_schema::v1;
use volo_http::response::Response;

use crate::http::{
    action::Action,
    problem::{self, BoxedProblem},
};

/// When a caller may come back after an overload or a lost answer, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// The response for an answer to `action`, as a caller of this role may see it.
pub fn answer(action: Action, role: Role, answer: Answer, request_id: &str) -> Response {
    let ok = StatusCode::OK;
    match answer {
        Answer::Quick(mut answer) => {
            answer.request_id = request_id.to_owned();
            problem::json(ok, &answer)
        }
        Answer::Job(view) if action == Action::Submit => accepted(&view),
        Answer::Job(view) => problem::json(ok, &view),
        Answer::Jobs(list) => problem::json(ok, &list),
        Answer::Explanation(explanation) => problem::json(ok, &explanation),
        Answer::Change(answer) => problem::json(ok, &answer),
        Answer::Changes(list) => problem::json(ok, &list),
        Answer::Inventory(view) => problem::json(ok, &shown(action, role, view)),
        Answer::Workers(list) => problem::json(ok, &list),
        Answer::Status(view) => problem::json(ok, &*view),
        Answer::Audit(list) => problem::json(ok, &list),
        Answer::Problem(problem) => problem::response(Box::new(problem), request_id),
        Answer::Done => problem::json(ok, &serde_json::json!({})),
    }
}

fn accepted(view: &v1::JobView) -> Response {
    let mut response = problem::json(StatusCode::ACCEPTED, view);
    if let Ok(location) = HeaderValue::try_from(format!("/v1/jobs/{}", view.job_id)) {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}

/// The part of the configuration that was asked for. Only operators see token hashes, which they
/// need to build a change on.
fn shown(action: Action, role: Role, mut view: v1::InventoryView) -> v1::InventoryView {
    if let Some(configuration) = &mut view.configuration {
        if role != Role::Operator {
            configuration.tokens.iter_mut().for_each(|token| token.hash.clear());
        }
        if action == Action::Rules {
            let rules = configuration.rules.take();
            *configuration = v1::Configuration { rules, ..v1::Configuration::default() };
        }
    }
    view
}

/// The control thread has too many events to take another request.
pub fn overloaded() -> BoxedProblem {
    let detail = "too many requests wait here";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    problem::retry_after(problem::not_run(status, "overloaded", detail), RETRY_AFTER_MS)
}

/// The state machine has a request and gave no answer in time.
pub fn no_answer(action: Action) -> BoxedProblem {
    let verdict = if action.has_effect() { Verdict::MayHaveRun } else { Verdict::NotRun };
    let detail = "no answer in time";
    let problem = problem::problem(StatusCode::GATEWAY_TIMEOUT, "no-answer", verdict, detail);
    problem::retry_after(problem, RETRY_AFTER_MS)
}
