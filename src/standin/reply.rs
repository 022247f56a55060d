//! Helpers for the stand-ins' HTTP handlers: responses, request bodies, fault switches.

use std::collections::HashMap;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::{Request, Response, StatusCode, body::Incoming};
use percent_encoding::percent_decode_str;
use serde::{Serialize, de::DeserializeOwned};
use serde_json::Value;

use crate::http::{ResponseBody, server::CloseConnection, whole_body};

/// Maximum size of a request body, in bytes.
const BODY_LIMIT: usize = 4 * 1024 * 1024;

/// JSON response.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    // Can't fail: all types that the stand-ins pass can be serialized as JSON.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(whole_body(body));
    *response.status_mut() = status;
    let json = hyper::header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(hyper::header::CONTENT_TYPE, json);
    response
}

/// Response without a body.
pub fn empty(status: StatusCode) -> Response<ResponseBody> {
    let mut response = Response::new(whole_body(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Response that never reaches the client: the connection is closed instead.
pub fn lost_response() -> Response<ResponseBody> {
    let mut response = empty(StatusCode::OK);
    response.extensions_mut().insert(CloseConnection);
    response
}

/// Reads the whole body of `request`.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    let limited = Limited::new(request.into_body(), BODY_LIMIT);
    Some(limited.collect().await.ok()?.to_bytes())
}

/// Reads the body of `request` as JSON.
pub async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    serde_json::from_slice(&read_body(request).await?).ok()
}

/// Replaces the keys of `faults` that the body of a `POST /faults` request gives; fails with the
/// response to an invalid body.
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

/// Decoded segments of the path of `request`.
pub fn path_segments(request: &Request<Incoming>) -> Vec<String> {
    let segments = request.uri().path().trim_matches('/').split('/');
    let decode = |segment| percent_decode_str(segment).decode_utf8_lossy().into_owned();
    segments.map(decode).collect()
}

/// Numeric parameters in the query of `request`; others are left out.
pub fn query(request: &Request<Incoming>) -> HashMap<String, u64> {
    let pairs = request.uri().query().unwrap_or("").split('&');
    let numbers = pairs.filter_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        Some((key.to_owned(), value.parse().ok()?))
    });
    numbers.collect()
}

/// Value of the header `name`, if it is text.
pub fn header<'a>(request: &'a Request<Incoming>, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}
