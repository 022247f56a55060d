//! Conditional writes of objects and of their status.

use hyper::{Method, StatusCode};
use serde::Serialize;

use super::{
    CALL_TIMEOUT, StoreClient, WriteCondition, WriteResult, kind_path,
    object_codec::{NewObject, NewStatus, decode_object},
    object_path,
};
use crate::{errors::StepError, http::client::OutgoingCall, store_position::StorePosition};

impl StoreClient {
    /// Writes an object if `condition` is met. A condition of an earlier era than the newest known one is
    /// a conflict.
    pub async fn write(
        &self,
        kind: &str,
        name: &str,
        condition: WriteCondition,
        value: &impl Serialize,
    ) -> Result<WriteResult, StepError> {
        if condition.era() != self.era.get() {
            return Ok(WriteResult::Conflict);
        }
        let known = condition.revision();
        let (method, path) = match known {
            None => (Method::POST, kind_path(kind)),
            Some(_) => (Method::PUT, object_path(kind, name)),
        };
        let object = NewObject::new(name, known, value);
        let call = self.api.send("write object", method, path, &object)?;
        self.make_write(call, condition).await
    }

    /// Replaces the status of an object that has not changed since `position`.
    ///
    /// # Errors
    ///
    /// The call failed; it may have been carried out.
    pub async fn write_status(
        &self,
        kind: &str,
        name: &str,
        position: StorePosition,
        status: &impl Serialize,
    ) -> Result<WriteResult, StepError> {
        if position.era() != self.era.get() {
            return Ok(WriteResult::Conflict);
        }
        let path = object_path(kind, name).segment("status");
        let body = NewStatus::new(name, position.revision(), status);
        let call = self.api.send("write status", Method::PUT, path, &body)?;
        self.make_write(call, WriteCondition::At(position)).await
    }

    async fn make_write(
        &self,
        call: OutgoingCall,
        condition: WriteCondition,
    ) -> Result<WriteResult, StepError> {
        let response = self.fetch(call, CALL_TIMEOUT).await?;
        if matches!(response.status(), StatusCode::CONFLICT | StatusCode::NOT_FOUND) {
            return Ok(WriteResult::Conflict);
        }
        let object = response.decode(decode_object)?;
        Ok(match response.era == condition.era() {
            true => WriteResult::Written(object.position),
            false => WriteResult::WrittenInLaterEra,
        })
    }
}
