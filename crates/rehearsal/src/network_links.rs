//! Simulated links between governors: forwards each datagram through a socket of its own, which can drop it.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use anyhow::Result;
use tokio::net::UdpSocket;

/// Links, with the set of blocked ones as (from, to).
#[derive(Default)]
pub struct GossipLinks {
    blocked: RefCell<BTreeSet<(usize, usize)>>,
}

impl GossipLinks {
    /// Creates a link from one governor to another that receives gossip at `target_address`. Returns the
    /// address to which the first one has to send.
    pub async fn create_link(
        self: &Rc<Self>,
        from: usize,
        to: usize,
        target_address: SocketAddr,
    ) -> Result<SocketAddr> {
        let socket = UdpSocket::bind(("127.0.0.1", 0)).await?;
        let (link_address, this) = (socket.local_addr()?, self.clone());
        tokio::task::spawn_local(async move {
            let mut buffer = vec![0; 2048];
            loop {
                // A governor that is down makes the socket return an error; the link stays usable.
                let Ok((length, _)) = socket.recv_from(&mut buffer).await else { continue };
                if !this.blocked.borrow().contains(&(from, to)) {
                    let _ = socket.send_to(&buffer[..length], target_address).await;
                }
            }
        });
        Ok(link_address)
    }

    /// Blocks or unblocks all links from a governor and, unless `one_way`, to it.
    pub fn set_blocked(&self, governor: usize, governor_count: usize, one_way: bool, blocked: bool) {
        for other in (0..governor_count).filter(|other| *other != governor) {
            for link in [(governor, other), (other, governor)].into_iter().take(if one_way { 1 } else { 2 }) {
                match blocked {
                    true => drop(self.blocked.borrow_mut().insert(link)),
                    false => drop(self.blocked.borrow_mut().remove(&link)),
                }
            }
        }
    }
}
