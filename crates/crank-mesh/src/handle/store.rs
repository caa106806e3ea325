//! The part of the interface that deals with the store of configurations.

use std::time::Duration;

use crank_engine::spread::{Step, StoreCheck, StoreHead};
use crank_protocol::config::Snapshot;
use crank_protocol::wire::Confirmation;
use tokio::sync::watch;

use super::Handle;
use crate::Error;
use crate::actor::{ApplySnapshot, Confirm, ReportHead};

impl Handle {
    /// Applies an accepted configuration that was read from the store or just published.
    ///
    /// A newer version comes into force and is sent to the other nodes. Returns how the
    /// configuration was handled.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// use crank_protocol::config::{Owner, Config, Snapshot, Stamp, Version};
    /// let account = Owner { name: Name::new("lenha-viva")?, notice_ends: None };
    /// let config = Config::new(account);
    /// let stamp = Stamp { version: Version(1), digest: crank_engine::config::digest(&config) };
    /// assert_eq!(mesh.apply_snapshot(Snapshot { stamp, config }).await?, Step::Applied);
    /// # Ok(())
    /// # }
    /// ```
    pub async fn apply_snapshot(&self, snapshot: Snapshot) -> Result<Step, Error> {
        let message = ApplySnapshot { snapshot };
        self.mesh.send(message).await.map_err(|_| Error::Stopped)
    }

    /// Returns a channel that holds whether this node should follow the platform's store itself.
    ///
    /// If not, it receives accepted configurations from other nodes.
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert!(*mesh.should_follow_store().borrow(), "no other node is known");
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn should_follow_store(&self) -> watch::Receiver<bool> {
        self.should_follow_store.clone()
    }

    /// Returns a channel that holds how this node has to check the store, while it has to.
    ///
    /// It has to if neither the store nor another node has confirmed for a while that the
    /// configuration in force is the newest one.
    ///
    /// ```
    /// # use crank_mesh::{Settings, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_eq!(*mesh.store_check().borrow(), None, "nothing was confirmed yet");
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn store_check(&self) -> watch::Receiver<Option<StoreCheck>> {
        self.store_check.clone()
    }

    /// Returns for how long no node has confirmed that the configuration in force is the newest in
    /// the store; `None` if none ever has.
    ///
    /// ```
    /// # use crank_mesh::{Settings, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_eq!(mesh.confirmation_age(), None);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn confirmation_age(&self) -> Option<Duration> {
        self.confirmed_at.borrow().map(|at| at.elapsed())
    }

    /// Returns a channel that holds how often the store has come back from an older copy, as far as
    /// this node knows.
    ///
    /// ```
    /// # use crank_mesh::{Settings, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// assert_eq!(*mesh.store_era().borrow(), 0);
    /// # Ok(())
    /// # }
    /// ```
    #[must_use]
    pub fn store_era(&self) -> watch::Receiver<u16> {
        self.store_era.clone()
    }

    /// Reports what the store's newest configuration was; other nodes are told of it.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{Settings, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// use crank_protocol::{Millis, config::{StorePosition, Version}, wire::Confirmation};
    /// let (version, position, age) = (Version(1), StorePosition::default(), Millis(0));
    /// mesh.confirm(Confirmation { version, position, age }).await?;
    /// assert!(mesh.confirmation_age().is_some());
    /// # Ok(())
    /// # }
    /// ```
    pub async fn confirm(&self, confirmation: Confirmation) -> Result<(), Error> {
        let message = Confirm { confirmation };
        self.mesh.send(message).await.map_err(|_| Error::Stopped)
    }

    /// Reports the result of reading the head row of the store.
    ///
    /// # Errors
    /// Returns [`Error::Stopped`] after [`Handle::leave`].
    ///
    /// ```
    /// # use crank_mesh::{StoreHead, Settings, Step, LocalStatus, start};
    /// # use crank_protocol::{Name, member::Place};
    /// # #[tokio::main(flavor = "current_thread")]
    /// # async fn main() -> Result<(), Box<dyn std::error::Error>> {
    /// # let place = Place { region: Name::new("bahia")?, data_centre: Name::new("bahia-1")? };
    /// # let listen = "127.0.0.1:0".parse()?;
    /// # let account = Name::new("lenha-viva")?;
    /// # let settings = Settings::new(account, Name::new("node-1")?, place, listen);
    /// # let (calls, _accepted) = tokio::sync::mpsc::channel(16);
    /// # let mesh = start(settings, calls).await?;
    /// mesh.report_head(StoreHead::Empty).await?;
    /// assert!(!*mesh.ready().borrow(), "nothing is accepted yet");
    /// # Ok(())
    /// # }
    /// ```
    pub async fn report_head(&self, head: StoreHead) -> Result<(), Error> {
        let message = ReportHead { head };
        self.mesh.send(message).await.map_err(|_| Error::Stopped)
    }
}
