//! Small stand-ins for outside systems, with switchable faults.
