//! What endpoints have said of themselves, sent to other daemons and received from them.

pub mod limits;
pub mod warnings;
