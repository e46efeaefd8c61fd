//! Creating the object of a window.

use crate::window::{UsageWindow, window_key};
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_types::DataCentreName;

/// Closes windows of one data centre at the platform.
#[derive(Clone, Debug)]
pub(crate) struct WindowCloser {
    pub(crate) platform: PlatformClient,
    pub(crate) data_centre: DataCentreName,
}

impl WindowCloser {
    /// Creates the window's object, or returns the one that exists.
    ///
    /// After a lost answer the attempt is repeated: if it did take effect, the
    /// repeat finds the object and returns it.
    pub(crate) async fn close(&self, attempt: UsageWindow) -> Result<UsageWindow, PlatformError> {
        let key = window_key(
            &self.data_centre,
            attempt.window,
            &attempt.process,
            attempt.incarnation,
        );
        match self.platform.create(&key, &attempt).await {
            Ok(_) => Ok(attempt),
            Err(PlatformError::Conflict {
                current: Some(current),
            }) => current.parse(),
            Err(error) => Err(error),
        }
    }
}
