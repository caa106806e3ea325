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
    pub listen: SocketAddr,
    /// What its link carries, in Mbit/s; 0 where that is not known.
    pub link: u32,
    /// Nodes through which it joins.
    pub seeds: Vec<SocketAddr>,
    /// Addresses that tests cut off.
    pub cut: Cut,
    /// The seed of its random choices; drawn where absent.
    pub random: Option<u64>,
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
    pub fn new(account: Name, id: Name, place: Place, listen: SocketAddr) -> Self {
        Self {
            account,
            id,
            place,
            listen,
            link: 0,
            seeds: Vec::new(),
            cut: Cut::default(),
            random: None,
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
    /// assert_eq!(settings.with_link(140).link, 140);
    /// ```
    #[must_use]
    pub fn with_link(mut self, link: u32) -> Self {
        self.link = link;
        self
    }

    /// The same with nodes through which to join.
    ///
    /// ```
    /// # use crank_mesh::{Cut, Settings};
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

    /// The same with a switch by which tests cut addresses off.
    ///
    /// ```
    /// # use crank_mesh::{Cut, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let place = Place { region: Name::new("almaty").unwrap(), data_centre: Name::new("almaty-1").unwrap() };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("node-1").unwrap(), place, listen);
    /// let cut = Cut::default();
    /// let settings = settings.with_cut(cut.clone());
    /// cut.set([settings.listen]);
    /// assert!(settings.cut.holds(settings.listen));
    /// ```
    #[must_use]
    pub fn with_cut(mut self, cut: Cut) -> Self {
        self.cut = cut;
        self
    }

    /// The same with a fixed seed of random choices.
    ///
    /// ```
    /// # use crank_mesh::{Cut, Settings};
    /// # use crank_protocol::{Name, member::Place};
    /// # let place = Place { region: Name::new("almaty").unwrap(), data_centre: Name::new("almaty-1").unwrap() };
    /// # let listen = std::net::SocketAddr::from(([127, 0, 0, 1], 0));
    /// # let settings = Settings::new(Name::new("sutkent").unwrap(), Name::new("node-1").unwrap(), place, listen);
    /// assert_eq!(settings.with_random(7).random, Some(7));
    /// ```
    #[must_use]
    pub fn with_random(mut self, random: u64) -> Self {
        self.random = Some(random);
        self
    }
}

/// Addresses to and from which nothing passes; tests change it while the node runs.
#[derive(Debug, Clone, Default)]
pub struct Cut(Arc<RwLock<BTreeSet<SocketAddr>>>);

impl Cut {
    /// Cuts off these addresses and no others.
    ///
    /// ```
    /// let cut = crank_mesh::Cut::default();
    /// let address = std::net::SocketAddr::from(([127, 0, 0, 1], 9));
    /// cut.set([address]);
    /// assert!(cut.holds(address));
    /// ```
    pub fn set(&self, addresses: impl IntoIterator<Item = SocketAddr>) {
        *self.0.write() = addresses.into_iter().collect();
    }

    /// Whether an address is cut off.
    ///
    /// ```
    /// # let cut = crank_mesh::Cut::default();
    /// assert!(!cut.holds(std::net::SocketAddr::from(([127, 0, 0, 1], 9))));
    /// ```
    #[must_use]
    pub fn holds(&self, address: SocketAddr) -> bool {
        self.0.read().contains(&address)
    }
}
