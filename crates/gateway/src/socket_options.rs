//! TCP options of the connections to upstreams, services and callers.

use socket2::{SockRef, TcpKeepalive};
use std::time::Duration;
use tokio::net::TcpStream;

/// Time for which sent bytes or keepalive probes may stay unacknowledged before the
/// connection fails. Linux goes by this time, not by the number of probes; two probes
/// fit into it, so that the loss of one packet ends no connection.
const UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The same time for callers' connections. It also ends connections whose other end takes
/// no data, and callers that pause for some seconds are sound.
const CALLER_UNACKNOWLEDGED_TIMEOUT: Duration = Duration::from_secs(30);

/// Bytes that the kernel holds for a caller's connection beyond those that are under way.
/// Without a limit it holds up to 4 MiB for each caller that reads slowly.
const MAX_UNSENT_BYTES: u32 = 32 * 1024;

/// Idle time before the first TCP keepalive probe, and interval between probes. The
/// kernel takes whole seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged keepalive probes after which a connection fails, where the time above
/// doesn't apply.
const KEEPALIVE_PROBES: u32 = 2;

/// Sets the options of a connection to an upstream, the store or a service.
pub(crate) fn set_service_options(stream: &TcpStream) {
    set_options(stream, UNACKNOWLEDGED_TIMEOUT);
    reset_on_close(stream);
}

/// Sets the options of a caller's connection. What its caller doesn't read is held in the
/// process, where it is counted, and not in the buffers of the kernel.
pub(crate) fn set_caller_options(stream: &TcpStream) {
    set_options(stream, CALLER_UNACKNOWLEDGED_TIMEOUT);
    if let Err(error) = SockRef::from(stream).set_tcp_notsent_lowat(MAX_UNSENT_BYTES) {
        tracing::debug!(%error, "failed to limit the unsent bytes of a connection");
    }
}

/// Sets the TCP options that make the process detect a connection that failed
/// without a reset.
fn set_options(stream: &TcpStream, unacknowledged_timeout: Duration) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        socket.set_tcp_nodelay(true),
        socket.set_tcp_user_timeout(Some(unacknowledged_timeout)),
        socket.set_tcp_keepalive(&keepalive),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        tracing::debug!(%error, "failed to set a socket option");
    }
}

/// Makes closing the connection discard unacknowledged data. Otherwise the kernel
/// would deliver a call that timed out during a partition when the partition
/// heals.
fn reset_on_close(stream: &TcpStream) {
    if let Err(error) = SockRef::from(stream).set_linger(Some(Duration::ZERO)) {
        tracing::warn!(%error, "failed to set SO_LINGER; a cancelled call may be delivered");
    }
}
