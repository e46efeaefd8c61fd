//! Serving system for a limited fleet of model engines and plain services.
