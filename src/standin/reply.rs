//! Shared pieces of the stand-ins' HTTP handlers.

use std::collections::HashMap;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::http::{ResponseBody, server::CloseConnection, whole_body};

const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// JSON answer.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = Response::new(whole_body(body));
    *answer.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    answer.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    answer
}

/// Answer without a body.
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut answer = Response::new(whole_body(Bytes::new()));
    *answer.status_mut() = status;
    answer
}

/// Answer that never arrives: its connection closes instead.
pub fn lost() -> Response<ResponseBody> {
    let mut answer = empty(StatusCode::OK);
    answer.extensions_mut().insert(CloseConnection);
    answer
}

/// Body of `request`, read whole.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let limited = Limited::new(request.into_body(), BODY_LIMIT);
    Some(limited.collect().await.ok()?.to_bytes())
}

/// Body of `request` as JSON.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&read_body(request).await?).ok()
}

/// Merges the keys of a `POST /faults` body into `faults`, and answers with the result.
pub async fn change_faults<T: Serialize + DeserializeOwned>(
    request: Request<Incoming>,
    faults: &T,
) -> Result<T, Response<ResponseBody>> {
    let change = read_json::<Value>(request).await;
    let merged = change.and_then(|change| merge(faults, &change));
    merged.ok_or_else(|| empty(StatusCode::BAD_REQUEST))
}

/// `current` with the keys of `change` replaced.
fn merge<T: Serialize + DeserializeOwned>(current: &T, change: &Value) -> Option<T> {
    let mut merged = serde_json::to_value(current).ok()?;
    let target = merged.as_object_mut()?;
    for (key, value) in change.as_object()? {
        target.insert(key.clone(), value.clone());
    }
    serde_json::from_value(merged).ok()
}

/// Numbers in the query of `request`.
pub fn query(request: &Request<Incoming>) -> HashMap<String, u64> {
    let pairs = request.uri().query().unwrap_or_default().split('&');
    let numbers = pairs.filter_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        Some((key.to_owned(), value.parse().ok()?))
    });
    numbers.collect()
}

/// Text of the header `name`.
pub fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
