//! Creates the objects of closed windows.

use crate::window::{UsageWindow, window_key};
use lagoonlift_platform::{PlatformClient, PlatformError};
use lagoonlift_types::DataCentreName;

/// Closes usage windows of one data centre by creating their objects in the
/// platform's store.
#[derive(Clone, Debug)]
pub(crate) struct WindowCloser {
    pub(crate) platform: PlatformClient,
    pub(crate) data_centre: DataCentreName,
}

impl WindowCloser {
    /// Creates the window's object, or returns the window that already exists.
    ///
    /// The caller retries after a lost response. If the lost attempt took effect,
    /// the retry finds its object and returns it.
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
