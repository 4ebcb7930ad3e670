//! The path between one host and one target, as a partition breaks it: connections are refused or
//! hang before they are established, which a [`super::LinkServer`] can't show.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use rustix::net::connect_unspec;
use rustix::net::listen;

/// Size of the forwarding buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;
/// Interval at which a held connection checks whether the path is back.
const HOLD_INTERVAL: Duration = Duration::from_millis(5);
/// Length of the accept queue of an open path.
const OPEN_BACKLOG: i32 = 128;
/// Connections that fill the accept queue of a hanging path, and how long each may take.
const FILLER_COUNT: usize = 4;
const FILLER_TIMEOUT: Duration = Duration::from_millis(20);

/// Number of the next path of this process.
static NEXT_PATH: AtomicU16 = AtomicU16::new(1);

/// State of a path.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathMode {
    /// Connections are forwarded.
    Open,
    /// Open connections were reset, and new ones are refused.
    Reset,
    /// Open connections are forwarded, and new ones are refused.
    Refusing,
    /// Nothing arrives in either direction; new connections are not established.
    Hanging,
}

/// State shared by the connections of a path.
struct PathShared {
    upstream: SocketAddr,
    mode: Mutex<PathMode>,
    /// The streams of each open connection, by its number.
    connections: Mutex<Vec<(usize, [TcpStream; 2])>>,
    accepted: AtomicUsize,
}

/// A path to a target.
pub struct PathLink {
    address: SocketAddr,
    shared: Arc<PathShared>,
    /// The listener of a path that accepts connections or lets them hang, and what fills it.
    listener: Mutex<Option<TcpListener>>,
    fillers: Mutex<Vec<TcpStream>>,
}

impl PathLink {
    /// Opens a path to `upstream` at a free port.
    ///
    /// # Errors
    ///
    /// No port can be bound.
    pub fn open(upstream: SocketAddr) -> std::io::Result<Self> {
        // An address of its own: while the path refuses connections, no other socket may get it.
        let [high, low] = NEXT_PATH.fetch_add(1, Ordering::Relaxed).to_be_bytes();
        let listener = TcpListener::bind(SocketAddr::from(([127, 77, high, low], 0)))?;
        let link = Self {
            address: listener.local_addr()?,
            shared: Arc::new(PathShared {
                upstream,
                mode: Mutex::new(PathMode::Open),
                connections: Mutex::default(),
                accepted: AtomicUsize::new(0),
            }),
            listener: Mutex::new(None),
            fillers: Mutex::default(),
        };
        link.listen_on(listener)?;
        Ok(link)
    }

    /// Returns the address at which the host reaches the target.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns how many connections were established.
    pub fn accepted(&self) -> usize {
        self.shared.accepted.load(Ordering::Acquire)
    }

    /// Changes the state of the path.
    ///
    /// # Errors
    ///
    /// The port can't be bound again.
    pub fn set_mode(&self, mode: PathMode) -> std::io::Result<()> {
        *lock(&self.shared.mode) = mode;
        lock(&self.fillers).clear();
        match mode {
            PathMode::Open => {
                // Connections that were not established in time belong to the partition.
                self.close_listener();
                self.listen_on(TcpListener::bind(self.address)?)
            }
            PathMode::Reset | PathMode::Refusing => {
                self.close_listener();
                if mode == PathMode::Reset {
                    for (_, streams) in lock(&self.shared.connections).drain(..) {
                        streams.iter().for_each(reset);
                    }
                }
                Ok(())
            }
            PathMode::Hanging => {
                self.close_listener();
                let listener = TcpListener::bind(self.address)?;
                listen(&listener, 0)?;
                let connect = |_| TcpStream::connect_timeout(&self.address, FILLER_TIMEOUT).ok();
                lock(&self.fillers).extend((0..FILLER_COUNT).filter_map(connect));
                *lock(&self.listener) = Some(listener);
                Ok(())
            }
        }
    }

    fn listen_on(&self, listener: TcpListener) -> std::io::Result<()> {
        listen(&listener, OPEN_BACKLOG)?;
        let accepting = listener.try_clone()?;
        *lock(&self.listener) = Some(listener);
        let shared = Arc::clone(&self.shared);
        thread::spawn(move || {
            while let Ok((stream, _)) = accepting.accept() {
                if *lock(&shared.mode) != PathMode::Open {
                    return;
                }
                let number = shared.accepted.fetch_add(1, Ordering::AcqRel);
                let shared = Arc::clone(&shared);
                thread::spawn(move || shared.forward(number, stream));
            }
        });
        Ok(())
    }

    /// Ends the wait for the next connection, and closes the listener.
    fn close_listener(&self) {
        if let Some(listener) = lock(&self.listener).take() {
            rustix::net::shutdown(&listener, rustix::net::Shutdown::Both).ok();
        }
    }
}

impl Drop for PathLink {
    fn drop(&mut self) {
        // Held connections end too.
        *lock(&self.shared.mode) = PathMode::Reset;
        self.close_listener();
        for (_, streams) in lock(&self.shared.connections).drain(..) {
            for stream in streams {
                stream.shutdown(Shutdown::Both).ok();
            }
        }
    }
}

impl PathShared {
    fn forward(self: Arc<Self>, number: usize, stream: TcpStream) {
        let Ok(upstream) = TcpStream::connect(self.upstream) else {
            return reset(&stream);
        };
        let (Ok(from_host), Ok(from_target)) = (stream.try_clone(), upstream.try_clone()) else {
            return;
        };
        let (Ok(held_host), Ok(held_target)) = (stream.try_clone(), upstream.try_clone()) else {
            return;
        };
        lock(&self.connections).push((number, [held_host, held_target]));
        if *lock(&self.mode) == PathMode::Reset {
            // The others were reset before this one was held.
            reset(&stream);
            reset(&upstream);
            lock(&self.connections).retain(|(held, _)| *held != number);
            return;
        }
        let shared = Arc::clone(&self);
        let back = thread::spawn(move || shared.copy(from_target, stream));
        self.copy(from_host, upstream);
        back.join().ok();
        lock(&self.connections).retain(|(held, _)| *held != number);
    }

    /// Forwards one direction, and its end.
    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut buffer = [0; BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer);
            while *lock(&self.mode) == PathMode::Hanging {
                thread::sleep(HOLD_INTERVAL);
            }
            match read {
                Ok(0) => {
                    to.shutdown(Shutdown::Write).ok();
                    return;
                }
                Ok(count) if to.write_all(&buffer[..count]).is_ok() => {}
                // One end was reset, or closed while the other one still sends.
                Ok(_) | Err(_) => {
                    reset(&from);
                    reset(&to);
                    return;
                }
            }
        }
    }
}

/// Resets a connection, also while other handles of its socket are open.
fn reset(stream: &TcpStream) {
    connect_unspec(stream).ok();
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
