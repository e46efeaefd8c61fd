//! Authenticated streams of postcard frames.
//!
//! Each end contributes a nonce to the session key, so a recorded stream can't
//! be replayed to either end. Every frame carries a tag that covers its
//! direction and position, so no frame can be dropped, repeated, reordered or
//! reflected. The content is authenticated but not encrypted.

use crate::counters::{PeerCounter, PeerCounters};
use crate::keys::{Direction, PeerKeys, SessionKey, TAG_BYTES};
use bytes::{BufMut, Bytes, BytesMut};
use futures::{SinkExt, StreamExt};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

/// Maximum size of a frame, in bytes. It leaves room for a chunk of one megabyte
/// and its encoding overhead.
const MAX_FRAME_BYTES: usize = 1_280 * 1024;
const NONCE_BYTES: usize = 32;

type Nonce = [u8; NONCE_BYTES];

/// Why a stream ended.
#[derive(Debug, Error)]
pub(crate) enum StreamError {
    /// The connection failed, or a frame exceeds the maximum size.
    #[error("the connection failed or a frame is too long")]
    Io(#[from] io::Error),
    /// The peer closed the connection. Also used when the connection attempt for a
    /// demand report or the response to it timed out, and when a request can't be
    /// handled because the heartbeat actor of this process stopped.
    #[error("the stream was closed or timed out")]
    Closed,
    /// The handshake or a frame has no valid tag: the peer doesn't know an
    /// accepted key, or a frame is too short, altered or out of order. Also used
    /// when the handshake of an accepted stream timed out.
    #[error("a handshake or frame has no valid tag, or the handshake timed out")]
    Unauthenticated,
    /// A signed frame can't be decoded, or a message can't be encoded.
    #[error("a message can't be encoded or decoded")]
    Malformed(#[from] postcard::Error),
    /// The response doesn't match the request. Also used by the responder when it
    /// refuses a batch of usage records, which ends the stream without a response.
    #[error("the response doesn't match the request, or the request was refused")]
    Unexpected,
}

/// One end of an authenticated stream.
pub(crate) struct PeerStream {
    frames: Framed<TcpStream, LengthDelimitedCodec>,
    key: SessionKey,
    send_direction: Direction,
    /// Position of the next frame to send.
    next_send_position: u64,
    /// Position of the next frame to receive.
    next_receive_position: u64,
    counters: Arc<PeerCounters>,
}

impl PeerStream {
    /// Opens a stream to a peer.
    pub(crate) async fn connect(
        address: SocketAddr,
        keys: &PeerKeys,
        counters: Arc<PeerCounters>,
    ) -> Result<Self, StreamError> {
        let mut stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let mut nonces = [0; 2 * NONCE_BYTES];
        stream.read_exact(&mut nonces[..NONCE_BYTES]).await?;
        let nonce: Nonce = rand::random();
        nonces[NONCE_BYTES..].copy_from_slice(&nonce);
        let key = keys.session_key(&nonces);
        let hello = [&nonce[..], &key.frame_tag(Direction::Initiator, 0, &nonce)].concat();
        stream.write_all(&hello).await?;
        Ok(Self::new(stream, key, Direction::Initiator, counters))
    }

    /// Accepts a stream that a peer opened.
    pub(crate) async fn accept(
        mut stream: TcpStream,
        keys: &PeerKeys,
        counters: Arc<PeerCounters>,
    ) -> Result<Self, StreamError> {
        stream.set_nodelay(true)?;
        let nonce: Nonce = rand::random();
        stream.write_all(&nonce).await?;
        let mut hello = [0; NONCE_BYTES + TAG_BYTES];
        stream.read_exact(&mut hello).await?;
        let (initiator_nonce, tag) = hello.split_at(NONCE_BYTES);
        let nonces = [&nonce, initiator_nonce].concat();
        let key = keys
            .session_keys(&nonces)
            .find(|key| key.accepts(Direction::Initiator, 0, initiator_nonce, tag))
            .ok_or(StreamError::Unauthenticated)?;
        Ok(Self::new(stream, key, Direction::Responder, counters))
    }

    fn new(
        stream: TcpStream,
        key: SessionKey,
        send_direction: Direction,
        counters: Arc<PeerCounters>,
    ) -> Self {
        let codec = LengthDelimitedCodec::builder()
            .max_frame_length(MAX_FRAME_BYTES)
            .new_codec();
        Self {
            frames: Framed::new(stream, codec),
            key,
            send_direction,
            // Position 0 of either direction is reserved for the handshake.
            next_send_position: 1,
            next_receive_position: 1,
            counters,
        }
    }

    /// Sends one message.
    pub(crate) async fn send<T: Serialize>(&mut self, message: &T) -> Result<(), StreamError> {
        let body = postcard::to_allocvec(message)?;
        let tag = self
            .key
            .frame_tag(self.send_direction, self.next_send_position, &body);
        self.next_send_position += 1;
        let mut frame = BytesMut::with_capacity(TAG_BYTES + body.len());
        frame.put_slice(&tag);
        frame.put_slice(&body);
        self.counters
            .add(PeerCounter::StreamBytesSent, frame.len() as u64);
        self.frames.send(frame.freeze()).await?;
        Ok(())
    }

    /// Receives one message.
    pub(crate) async fn receive<T: DeserializeOwned>(&mut self) -> Result<T, StreamError> {
        let frame = self.frames.next().await.ok_or(StreamError::Closed)??;
        self.counters
            .add(PeerCounter::StreamBytesReceived, frame.len() as u64);
        let body = self.verify(frame.freeze())?;
        Ok(postcard::from_bytes(&body)?)
    }

    /// Verifies a frame's tag and returns the frame's body.
    fn verify(&mut self, mut frame: Bytes) -> Result<Bytes, StreamError> {
        if frame.len() < TAG_BYTES {
            return Err(StreamError::Unauthenticated);
        }
        let body = frame.split_off(TAG_BYTES);
        let receive_direction = match self.send_direction {
            Direction::Initiator => Direction::Responder,
            Direction::Responder => Direction::Initiator,
        };
        if !self
            .key
            .accepts(receive_direction, self.next_receive_position, &body, &frame)
        {
            return Err(StreamError::Unauthenticated);
        }
        self.next_receive_position += 1;
        Ok(body)
    }
}
