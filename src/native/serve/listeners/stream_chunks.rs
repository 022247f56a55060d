//! Events of a streamed completion, in the form that clients of model serving expect.

use bytes::Bytes;
use serde::Serialize;
use serde_json::json;

use super::problem::Problem;
use crate::{ids::RequestName, native::request::outcome::FinalResponse};

/// One chunk of a streamed completion.
#[derive(Serialize)]
struct StreamChunk<'a> {
    id: &'a str,
    object: &'static str,
    choices: [ChunkChoice<'a>; 1],
}

#[derive(Serialize)]
struct ChunkChoice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<ChunkDelta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct ChunkDelta<'a> {
    #[serde(skip_serializing_if = "Option::is_none")]
    content: Option<&'a str>,
}

/// JSON of one chunk.
pub fn render_chunk(
    name: &RequestName,
    token: Option<&str>,
    chat: bool,
    finish_reason: Option<&'static str>,
) -> String {
    let object = if chat { "chat.completion.chunk" } else { "text_completion" };
    let text = (!chat).then_some(token.unwrap_or(""));
    let delta = chat.then_some(ChunkDelta { content: token });
    let choice = ChunkChoice { index: 0, text, delta, finish_reason };
    let chunk = StreamChunk { id: &name.key, object, choices: [choice] };
    // These types always serialize.
    serde_json::to_string(&chunk).unwrap_or_default()
}

/// Last events of a stream. A stream that failed midway ends with its problem as an error event and
/// without `[DONE]`, so that no client mistakes it for complete.
pub fn render_end(name: &RequestName, response: &FinalResponse, chat: bool) -> Bytes {
    match Problem::of(response, true) {
        None => {
            let chunk = render_chunk(name, None, chat, Some("stop"));
            Bytes::from(format!("data: {chunk}\n\ndata: [DONE]\n\n"))
        }
        Some(problem) => {
            let problem = json!({ "error": problem });
            Bytes::from(format!("event: error\ndata: {problem}\n\n"))
        }
    }
}
