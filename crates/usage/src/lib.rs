//! Usage records: second copies, windows, sealing and reports.
