//! The placement of instances in regions and data centres.

use std::sync::Arc;

/// One node and the backend server beside it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InstancePlacement {
    /// The node's name.
    pub name: Arc<str>,
    /// Its region.
    pub region: Arc<str>,
    /// Its data centre.
    pub data_centre: Arc<str>,
    /// The service of its backend server.
    pub service: Arc<str>,
}

/// The instances of a fleet, their placement and their load settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Layout {
    /// The client account.
    pub account: Arc<str>,
    /// The region in which the platform's store stands.
    pub store_region: Arc<str>,
    /// Every node.
    pub placements: Vec<InstancePlacement>,
    /// Requests that one backend server runs at once.
    pub slots: u32,
    /// How long one request runs, in milliseconds.
    pub work_ms: u64,
    /// By which URL each placement's node reaches the store; none where by the store's own.
    pub stores: Vec<Arc<str>>,
}

const SLOTS: u32 = 6;
const WORK_MS: u64 = 5;

impl Layout {
    /// Spreads nodes evenly over regions, data centres (counted over all regions) and services.
    ///
    /// ```
    /// use crank_load::fleet::Layout;
    /// let layout = Layout::new("sutkent", 6, 2, 3, &["recipes", "panels"]);
    /// assert_eq!(layout.placements.len(), 6);
    /// assert_eq!(&*layout.placements[5].data_centre, "dc2");
    /// ```
    #[must_use]
    pub fn new(
        account: &str,
        nodes: usize,
        regions: usize,
        data_centres: usize,
        services: &[&str],
    ) -> Self {
        let placements = (0..nodes)
            .map(|n| place_instance(n, regions, data_centres, services))
            .collect();
        Self {
            account: account.into(),
            store_region: "region0".into(),
            placements,
            slots: SLOTS,
            work_ms: WORK_MS,
            stores: Vec::new(),
        }
    }

    /// The same with a way of its own to the store for each placement.
    ///
    /// ```
    /// # use crank_load::fleet::Layout;
    /// let layout = Layout::new("sutkent", 1, 1, 1, &["recipes"]);
    /// assert_eq!(layout.with_stores(vec!["http://127.0.0.1:9".into()]).stores.len(), 1);
    /// ```
    #[must_use]
    pub fn with_stores(mut self, stores: Vec<Arc<str>>) -> Self {
        self.stores = stores;
        self
    }

    /// The same with other slots and another run time in milliseconds.
    ///
    /// ```
    /// # use crank_load::fleet::Layout;
    /// let layout = Layout::new("sutkent", 2, 1, 1, &["recipes"]).with_work(9, 20);
    /// assert_eq!((layout.slots, layout.work_ms), (9, 20));
    /// ```
    #[must_use]
    pub fn with_work(mut self, slots: u32, work_ms: u64) -> Self {
        self.slots = slots;
        self.work_ms = work_ms;
        self
    }
}

fn place_instance(
    n: usize,
    regions: usize,
    data_centres: usize,
    services: &[&str],
) -> InstancePlacement {
    let data_centre = n % data_centres;
    // Shifted by one a round, so that a service is not tied to one data centre.
    let service = services[(n + n / data_centres) % services.len()];
    InstancePlacement {
        name: format!("node{n}").into(),
        region: format!("region{}", data_centre % regions).into(),
        data_centre: format!("dc{data_centre}").into(),
        service: service.into(),
    }
}
