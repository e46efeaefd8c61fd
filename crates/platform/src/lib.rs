//! Client of the platform's services.
