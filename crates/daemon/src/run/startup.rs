//! Startup of a governor: signing keys, sockets, channels and stored state.

use std::path::Path;
use std::rc::Rc;

use anyhow::{Context, Result};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::mpsc;
use wrenthread_core::ownership::SigningKey;
use wrenthread_core::roster::RosterEntry;
use wrenthread_core::snapshot::StoredItem;
use wrenthread_settings::Settings;
use wrenthread_xds::service::Event;

use crate::clock::Clock;
use crate::http::Query;
use crate::state::{self, StoredState};

/// Capacity of the event queues of the task that owns all state. When a queue is full, streams stop reading from
/// their sockets.
const EVENT_QUEUE: usize = 1024;
/// Capacity of the queue of operators' queries.
const QUERY_QUEUE: usize = 64;
/// Capacity of the queues of rosters and of reloaded settings.
const RELOAD_QUEUE: usize = 4;

/// The sockets that the settings name.
pub struct Sockets {
    pub grpc: TcpListener,
    pub http: TcpListener,
    pub long_poll: Option<TcpListener>,
    /// The UDP socket to other governors.
    pub membership: Option<Rc<UdpSocket>>,
}

impl Sockets {
    /// Binds the sockets.
    ///
    /// # Errors
    /// An address can't be bound.
    pub async fn bind(settings: &Settings) -> Result<Self> {
        let grpc = TcpListener::bind(settings.grpc_address).await;
        let grpc = grpc.with_context(|| format!("binding the gRPC port {}", settings.grpc_address))?;
        let http = TcpListener::bind(settings.http_address).await;
        let http = http.with_context(|| format!("binding the HTTP port {}", settings.http_address))?;
        let membership = match settings.gossip_address {
            None => None,
            Some(at) => {
                let socket = UdpSocket::bind(at)
                    .await
                    .with_context(|| format!("binding the membership port {at} (`talk`)"))?;
                Some(Rc::new(socket))
            }
        };
        let long_poll = match settings.long_poll_address {
            None => None,
            Some(at) => Some(
                TcpListener::bind(at).await.with_context(|| format!("binding the long-poll port {at}"))?,
            ),
        };
        Ok(Sockets { grpc, http, long_poll, membership })
    }
}

/// The channels by which other tasks send to the task that owns all state.
pub struct Senders {
    pub datagrams: mpsc::Sender<Vec<u8>>,
    pub grpc: mpsc::Sender<Event>,
    pub long_poll: mpsc::Sender<wrenthread_long_poll::service::Request>,
    pub queries: mpsc::Sender<Query>,
    pub rosters: mpsc::Sender<Vec<RosterEntry>>,
    pub streams_with_capacity: mpsc::Sender<u64>,
    pub reloads: mpsc::Sender<Result<Settings>>,
}

/// The receiving ends of [`Senders`].
pub struct Receivers {
    pub datagrams: mpsc::Receiver<Vec<u8>>,
    pub grpc: mpsc::Receiver<Event>,
    pub long_poll: mpsc::Receiver<wrenthread_long_poll::service::Request>,
    pub queries: mpsc::Receiver<Query>,
    pub rosters: mpsc::Receiver<Vec<RosterEntry>>,
    pub streams_with_capacity: mpsc::Receiver<u64>,
    pub reloads: mpsc::Receiver<Result<Settings>>,
}

/// Creates the channels to the task that owns all state.
pub fn channels() -> (Senders, Receivers) {
    let (datagrams, received_datagrams) = mpsc::channel(EVENT_QUEUE);
    let (grpc, received_grpc) = mpsc::channel(EVENT_QUEUE);
    let (long_poll, received_long_poll) = mpsc::channel(EVENT_QUEUE);
    let (queries, received_queries) = mpsc::channel(QUERY_QUEUE);
    let (rosters, received_rosters) = mpsc::channel(RELOAD_QUEUE);
    let (streams_with_capacity, received_streams) = mpsc::channel(EVENT_QUEUE);
    let (reloads, received_reloads) = mpsc::channel(RELOAD_QUEUE);
    let senders = Senders { datagrams, grpc, long_poll, queries, rosters, streams_with_capacity, reloads };
    let receivers = Receivers {
        datagrams: received_datagrams,
        grpc: received_grpc,
        long_poll: received_long_poll,
        queries: received_queries,
        rosters: received_rosters,
        streams_with_capacity: received_streams,
        reloads: received_reloads,
    };
    (senders, receivers)
}

/// Reads the key files that the settings name. A key's name is that of its file; the file contains only the secret.
///
/// # Errors
/// A file can't be read, or its secret is not a valid key.
pub fn signing_keys(settings: &Settings) -> Result<Vec<SigningKey>> {
    settings.keys.iter().map(|path| signing_key(path)).collect()
}

fn signing_key(path: &Path) -> Result<SigningKey> {
    let secret = std::fs::read(path).with_context(|| format!("key file {}", path.display()))?;
    let name = path.file_stem().map(|name| name.to_string_lossy().into_owned()).unwrap_or_default();
    SigningKey::new(&name, secret.trim_ascii()).with_context(|| format!("key file {}", path.display()))
}

/// The state that earlier runs of this governor stored; `None` if the settings name no state folder.
pub fn stored_state(settings: &Settings, clock: &Clock) -> Option<StoredState> {
    let folder = settings.state_folder.as_ref()?;
    let names = StoredItem::Names {
        governor: settings.governor.clone(),
        zones: settings.zones.clone(),
        groups: settings.groups.iter().map(|class| class.name.clone()).collect(),
    };
    Some(state::open(folder, names, clock.to_unix(clock.now())))
}
