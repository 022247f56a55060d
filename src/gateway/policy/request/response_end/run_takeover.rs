//! Decides whether a further run of a stream may take the place of the run that is at work.
//!
//! A run that takes over also has to end the response. If the client gets chunks, only a run whose own end is
//! marked can do that (`response_end`). The run at work is therefore kept, although it is silent, if it can mark
//! the end and the further one can't. The further one is held until the run at work has failed.
//!
//! Inputs are the framing of both responses and that of the client's response.

use derive_more::Display;

use crate::gateway::request::response_meaning::BodyFraming;

/// Inputs of the decision, for a further run that has the next events of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TakeoverInputs {
    /// Whether the client gets the body in chunks, which have to say whether it is complete.
    pub is_chunked_for_client: bool,
    /// Framing of the run at work; none if it has failed.
    pub current: Option<BodyFraming>,
    /// Framing of the further run.
    pub further: BodyFraming,
}

/// What becomes of a further run that has the next events.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RunTakeover {
    /// It goes on with the stream, and the run at work ends.
    #[display("takes over")]
    TakesOver,
    /// It is held in case the run at work fails.
    #[display("held, since its end isn't marked")]
    Held,
}

impl TakeoverInputs {
    /// Decides what becomes of the further run.
    pub fn decide(self) -> RunTakeover {
        let current_is_marked = self.current.is_some_and(is_marked);
        match self.is_chunked_for_client && current_is_marked && !is_marked(self.further) {
            true => RunTakeover::Held,
            false => RunTakeover::TakesOver,
        }
    }
}

fn is_marked(framing: BodyFraming) -> bool {
    framing != BodyFraming::Close
}
