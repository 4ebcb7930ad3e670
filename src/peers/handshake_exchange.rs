//! The handshake that precedes h2: protocol version, host names and proof of the key.
//!
//! The connecting end sends a [`HostHello`], the listener answers with its own, then the
//! connecting end sends its [`KeyProof`] and the listener its own. Each message is
//! preceded by a header of four magic bytes, the version and the length, whose layout is
//! the same in all versions. A listener of another version answers with its header alone,
//! so that the connecting end can report the version that it found. The connecting end
//! sends its proof first: an unauthenticated one gets no MAC from a listener on which it
//! could try keys offline.

use async_std::io::ReadExt;
use async_std::io::WriteExt;
use bincode::config::Configuration;
use bincode::config::Limit;
use bincode::config::LittleEndian;
use bincode::config::Varint;
use futures_lite::io::AsyncRead;
use futures_lite::io::AsyncWrite;
use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use sha2::Sha256;

use super::PeerError;
use super::PeerIdentity;
use crate::ids::HostName;

/// The version of the protocol between hosts; raised with each change of a message.
pub const PROTOCOL_VERSION: u16 = 19;

/// The first bytes of every handshake message.
const MAGIC: [u8; 4] = *b"CMGW";
/// Length of the header: magic, version and message length.
const HEADER_BYTES: usize = 8;
/// Maximum size of a handshake message, without its header.
const MAX_HELLO_BYTES: usize = 512;
/// Length of the random nonce that protects a handshake against replay.
const NONCE_BYTES: usize = 32;

const HELLO_CODEC: Configuration<LittleEndian, Varint, Limit<MAX_HELLO_BYTES>> =
    bincode::config::standard().with_limit::<MAX_HELLO_BYTES>();

/// The first message of the connecting end, and the listener's answer to it.
#[derive(Debug, Deserialize, Serialize)]
struct HostHello {
    host: HostName,
    nonce: [u8; NONCE_BYTES],
}

/// A proof that the sender holds the key.
#[derive(Debug, Deserialize, Serialize)]
struct KeyProof {
    tag: [u8; 32],
}

/// The end that a proof belongs to; part of the MAC, so that a proof can't be reflected.
#[derive(Clone, Copy, Debug)]
enum ProofSide {
    Connector,
    Listener,
}

impl ProofSide {
    const fn label(self) -> &'static [u8] {
        match self {
            Self::Connector => b"cardamomgw caller",
            Self::Listener => b"cardamomgw listener",
        }
    }
}

/// Runs the handshake as the connecting end; returns the listener's name.
pub(crate) async fn handshake_as_connector<S>(
    stream: &mut S,
    identity: &PeerIdentity,
) -> Result<HostName, PeerError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let ours = new_hello(identity);
    send_message(stream, &ours).await?;
    let theirs: HostHello = read_message(stream).await?;
    let tag = make_proof(identity, ProofSide::Connector, &ours, &theirs)
        .finalize()
        .into_bytes()
        .into();
    send_message(stream, &KeyProof { tag }).await?;
    // A listener that rejects the proof closes the connection without an answer.
    let proof: KeyProof = read_message(stream).await.map_err(|error| match error {
        PeerError::Unreachable { .. } => PeerError::NotAuthentic,
        other => other,
    })?;
    make_proof(identity, ProofSide::Listener, &ours, &theirs)
        .verify_slice(&proof.tag)
        .map_err(|_| PeerError::NotAuthentic)?;
    Ok(theirs.host)
}

/// Runs the handshake as the accepting end; returns the name of the connecting host.
pub(crate) async fn handshake_as_listener<S>(
    stream: &mut S,
    identity: &PeerIdentity,
) -> Result<HostName, PeerError>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let theirs: HostHello = match read_message(stream).await {
        Err(PeerError::UnknownVersion { theirs }) => {
            refuse_version(stream).await?;
            return Err(PeerError::UnknownVersion { theirs });
        }
        other => other?,
    };
    let ours = new_hello(identity);
    send_message(stream, &ours).await?;
    let proof: KeyProof = read_message(stream).await?;
    make_proof(identity, ProofSide::Connector, &theirs, &ours)
        .verify_slice(&proof.tag)
        .map_err(|_| PeerError::NotAuthentic)?;
    let tag = make_proof(identity, ProofSide::Listener, &theirs, &ours)
        .finalize()
        .into_bytes()
        .into();
    send_message(stream, &KeyProof { tag }).await?;
    Ok(theirs.host)
}

fn new_hello(identity: &PeerIdentity) -> HostHello {
    HostHello {
        host: identity.host.clone(),
        nonce: rand::random(),
    }
}

/// Computes the MAC over a side, the version, both nonces and both names.
fn make_proof(
    identity: &PeerIdentity,
    side: ProofSide,
    connector: &HostHello,
    listener: &HostHello,
) -> Hmac<Sha256> {
    let mut mac =
        Hmac::<Sha256>::new_from_slice(&identity.key).expect("HMAC takes a key of any length");
    mac.update(side.label());
    mac.update(&PROTOCOL_VERSION.to_be_bytes());
    for hello in [connector, listener] {
        mac.update(&hello.nonce);
        mac.update(&(hello.host.len() as u64).to_be_bytes());
        mac.update(hello.host.as_bytes());
    }
    mac
}

/// Sends the connecting end a header with this host's protocol version and no message.
async fn refuse_version<S: AsyncWrite + Unpin>(stream: &mut S) -> Result<(), PeerError> {
    stream.write_all(&make_header(0)).await?;
    stream.flush().await?;
    Ok(())
}

fn make_header(length: u16) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC);
    header[4..6].copy_from_slice(&PROTOCOL_VERSION.to_be_bytes());
    header[6..].copy_from_slice(&length.to_be_bytes());
    header
}

async fn send_message<S, T>(stream: &mut S, message: &T) -> Result<(), PeerError>
where
    S: AsyncWrite + Unpin,
    T: Serialize,
{
    let body = bincode::serde::encode_to_vec(message, HELLO_CODEC)
        .map_err(|_| PeerError::MalformedMessage)?;
    if body.len() > MAX_HELLO_BYTES {
        return Err(PeerError::MessageTooLarge);
    }
    let mut frame = make_header(body.len() as u16).to_vec();
    frame.extend_from_slice(&body);
    stream.write_all(&frame).await?;
    stream.flush().await?;
    Ok(())
}

async fn read_message<S, T>(stream: &mut S) -> Result<T, PeerError>
where
    S: AsyncRead + Unpin,
    T: DeserializeOwned,
{
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let [m0, m1, m2, m3, v0, v1, l0, l1] = header;
    if [m0, m1, m2, m3] != MAGIC {
        return Err(PeerError::MalformedMessage);
    }
    let version = u16::from_be_bytes([v0, v1]);
    if version != PROTOCOL_VERSION {
        return Err(PeerError::UnknownVersion { theirs: version });
    }
    let length = usize::from(u16::from_be_bytes([l0, l1]));
    if length > MAX_HELLO_BYTES {
        return Err(PeerError::MessageTooLarge);
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    let (message, _) = bincode::serde::decode_from_slice(&body, HELLO_CODEC)
        .map_err(|_| PeerError::MalformedMessage)?;
    Ok(message)
}
