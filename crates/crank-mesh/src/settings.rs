//! The settings of a node's mesh.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use crank_engine::caller_budget::MachineLimits;
use crank_protocol::Name;
use crank_protocol::member::Place;
use parking_lot::RwLock;

/// The settings with which a node joins the mesh.
#[derive(Debug, Clone)]
pub struct Settings {
    /// The owner that the node belongs to.
    pub account: Name,
    /// The node's name, unique in its account; a restarted node keeps its name.
    pub id: Name,
    /// The region and data centre of the node.
    pub place: Place,
    /// The address to listen on, UDP and TCP; with port 0, a free port is chosen. The bound address
    /// is announced to the other nodes.
    pub listen_address: SocketAddr,
    /// The capacity of the node's network link in Mbit/s; 0 if unknown.
    pub link_mbits: u32,
    /// What the process may use of its machine, from which the bounds for connections follow.
    pub machine: MachineLimits,
    /// Addresses of nodes through which the node joins.
    pub seeds: Vec<SocketAddr>,
    /// Addresses that the node neither sends to nor receives from; used by tests.
    pub blocked: BlockedAddresses,
    /// The seed of the random number generator; if `None`, the generator is seeded by the system.
    pub random_seed: Option<u64>,
}

impl Settings {
    /// Returns the settings of a node without seeds.
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
            machine: MachineLimits::default(),
            seeds: Vec::new(),
            blocked: BlockedAddresses::default(),
            random_seed: None,
        }
    }

    /// Sets the capacity of the node's network link in Mbit/s.
    ///
    /// ```
    /// # use crank_mesh::Settings;
    /// # use crank_protocol::{Name, member::Place};
    /// # let region = Name::new("almaty").unwrap();
    /// # let data_centre = Name::new("almaty-1").unwrap();
    /// # let place = Place { region, data_centre };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let (account, id) = (Name::new("sutkent").unwrap(), Name::new("node-1").unwrap());
    /// # let settings = Settings::new(account, id, place, listen);
    /// assert_eq!(settings.with_link_mbits(140).link_mbits, 140);
    /// ```
    #[must_use]
    pub fn with_link_mbits(mut self, link_mbits: u32) -> Self {
        self.link_mbits = link_mbits;
        self
    }

    /// Sets what the process may use of its machine.
    ///
    /// ```
    /// # use crank_mesh::Settings;
    /// # use crank_protocol::{Name, member::Place};
    /// # let region = Name::new("almaty").unwrap();
    /// # let data_centre = Name::new("almaty-1").unwrap();
    /// # let place = Place { region, data_centre };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let (account, id) = (Name::new("sutkent").unwrap(), Name::new("node-1").unwrap());
    /// # let settings = Settings::new(account, id, place, listen);
    /// use crank_engine::caller_budget::MachineLimits;
    /// let machine = MachineLimits { memory_bytes: None, descriptors: Some(4_100) };
    /// assert_eq!(settings.with_machine(machine).machine, machine);
    /// ```
    #[must_use]
    pub fn with_machine(mut self, machine: MachineLimits) -> Self {
        self.machine = machine;
        self
    }

    /// Sets the addresses of the nodes through which the node joins.
    ///
    /// ```
    /// # use crank_mesh::{BlockedAddresses, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let region = Name::new("almaty").unwrap();
    /// # let data_centre = Name::new("almaty-1").unwrap();
    /// # let place = Place { region, data_centre };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let (account, id) = (Name::new("sutkent").unwrap(), Name::new("node-1").unwrap());
    /// # let settings = Settings::new(account, id, place, listen);
    /// let seed = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    /// assert_eq!(settings.with_seeds(vec![seed]).seeds.len(), 1);
    /// ```
    #[must_use]
    pub fn with_seeds(mut self, seeds: Vec<SocketAddr>) -> Self {
        self.seeds = seeds;
        self
    }

    /// Sets the addresses that are blocked; tests change them through a clone while the node runs.
    ///
    /// ```
    /// # use crank_mesh::{BlockedAddresses, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let region = Name::new("almaty").unwrap();
    /// # let data_centre = Name::new("almaty-1").unwrap();
    /// # let place = Place { region, data_centre };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let (account, id) = (Name::new("sutkent").unwrap(), Name::new("node-1").unwrap());
    /// # let settings = Settings::new(account, id, place, listen);
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

    /// Sets the seed of the random number generator.
    ///
    /// ```
    /// # use crank_mesh::{BlockedAddresses, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let region = Name::new("almaty").unwrap();
    /// # let data_centre = Name::new("almaty-1").unwrap();
    /// # let place = Place { region, data_centre };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let (account, id) = (Name::new("sutkent").unwrap(), Name::new("node-1").unwrap());
    /// # let settings = Settings::new(account, id, place, listen);
    /// assert_eq!(settings.with_random_seed(7).random_seed, Some(7));
    /// ```
    #[must_use]
    pub fn with_random_seed(mut self, random_seed: u64) -> Self {
        self.random_seed = Some(random_seed);
        self
    }
}

/// A shared set of addresses to and from which all traffic is dropped; tests change it at run time.
#[derive(Debug, Clone, Default)]
pub struct BlockedAddresses(Arc<RwLock<BTreeSet<SocketAddr>>>);

impl BlockedAddresses {
    /// Replaces the set of blocked addresses.
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

    /// Returns whether an address is blocked.
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
