//! Duties that one host at a time has.

use crate::host::Host;
use std::rc::Rc;

/// Starts the duties.
pub(crate) fn start(_host: &Rc<Host>) {}
