//! What a node must be told before it can join.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crank_protocol::Name;
use crank_protocol::member::Place;
use parking_lot::RwLock;

/// What a node must be told before it can join.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The client account.
    pub account: Name,
    /// The node's name; a restarted node takes it over.
    pub id: Name,
    /// Where it stands.
    pub place: Place,
    /// Where it listens, UDP and TCP; other nodes are told the address that this becomes.
    pub listen_address: SocketAddr,
    /// What its link carries, in Mbit/s; 0 where that is not known.
    pub link_mbits: u32,
    /// Nodes through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// Addresses that tests blocked off.
    pub blocked: BlockedAddresses,
    /// The seed of its random choices; drawn where absent.
    pub random_seed: Option<u64>,
}

impl Settings {
    /// Settings of a node without seeds.
    ///
    /// ```
    /// use crank_mesh::Settings;
    /// use crank_protocol::{Name, member::Place};
    /// let place = Place { region: Name::new("almaty")?, data_centre: Name::new("almaty-1")? };
    /// let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// let settings = Settings::new(Name::new("sutkent")?, Name::new("node-1")?, place, listen);
    /// assert!(settings.seeds.is_empty());
    /// # Ok::<(), crank_protocol::Error>(())
    /// ```
    #[must_use]
    pub fn new(account: Name, id: Name, place: Place, listen_address: SocketAddr) -> Self {
        Self {
            account,
            id,
            place,
            listen_address,
            link_mbits: 0,
            seeds: Vec::new(),
            blocked: BlockedAddresses::default(),
            random_seed: None,
        }
    }

    /// The same with a link that carries so many Mbit/s.
    ///
    /// ```
    /// # use crank_mesh::Settings;
    /// # use crank_protocol::{Name, member::Place};
    /// # let place = Place { region: Name::new("almaty").unwrap(), data_centre: Name::new("almaty-1").unwrap() };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("node-1").unwrap(), place, listen);
    /// assert_eq!(settings.with_link_mbits(140).link_mbits, 140);
    /// ```
    #[must_use]
    pub fn with_link_mbits(mut self, link_mbits: u32) -> Self {
        self.link_mbits = link_mbits;
        self
    }

    /// The same with nodes through which to join.
    ///
    /// ```
    /// # use crank_mesh::{BlockedAddresses, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let place = Place { region: Name::new("almaty").unwrap(), data_centre: Name::new("almaty-1").unwrap() };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("node-1").unwrap(), place, listen);
    /// let seed = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    /// assert_eq!(settings.with_seeds(vec![seed]).seeds.len(), 1);
    /// ```
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// The same with a switch by which tests blocked addresses off.
    ///
    /// ```
    /// # use crank_mesh::{BlockedAddresses, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let place = Place { region: Name::new("almaty").unwrap(), data_centre: Name::new("almaty-1").unwrap() };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("node-1").unwrap(), place, listen);
    /// let blocked = BlockedAddresses::default();
    /// let settings = settings.with_blocked_addresses(blocked.clone());
    /// blocked.set([settings.listen_address]);
    /// assert!(settings.blocked.contains(settings.listen_address));
    /// ```
    #[must_use]
    pub fn with_blocked_addresses(mut self, blocked: BlockedAddresses) -> Self {
        self.blocked = blocked;
        self
    }

    /// The same with a fixed seed of random choices.
    ///
    /// ```
    /// # use crank_mesh::{BlockedAddresses, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let place = Place { region: Name::new("almaty").unwrap(), data_centre: Name::new("almaty-1").unwrap() };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("node-1").unwrap(), place, listen);
    /// assert_eq!(settings.with_random_seed(7).random_seed, Some(7));
    /// ```
    #[must_use]
    pub fn with_random_seed(mut self, random_seed: u64) -> Self {
        self.random_seed = Some(random_seed);
        self
    }
}

/// Addresses to and from which nothing passes; tests change it while the node runs.
#[derive(Debug, Clone, Default)]
pub struct BlockedAddresses(Arc<RwLock<BTreeSet<SocketAddr>>>);

impl BlockedAddresses {
    /// Cuts off these addresses and no others.
    ///
    /// ```
    /// let blocked = crank_mesh::BlockedAddresses::default();
    /// let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    /// blocked.set([address]);
    /// assert!(blocked.contains(address));
    /// ```
    pub fn set(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        *self.0.write() = addresses.into_iter().collect();
    }

    /// Whether an address is blocked off.
    ///
    /// ```
    /// # let blocked = crank_mesh::BlockedAddresses::default();
    /// assert!(!blocked.contains(std::net::SocketAddr::from(([127, 0, 0, 1], 9))));
    /// ```
    #[must_use]
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.0.read().contains(&address)
    }
}
