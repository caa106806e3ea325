//! Where a starting node finds peers: a bounded number of rows a data centre.

use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;

use crank_protocol::Name;
use crank_protocol::member::Place;
use serde::{Deserialize, Serialize};

use crate::table::{self, Guard};
use crate::{Error, Rows};

const CONTACTS: &str = "contacts";
/// The rows of one data centre; nodes share them.
pub const ROWS_PER_DATA_CENTRE: u64 = 8;
/// The most contacts that one reading gives.
pub const MAX_CONTACTS_READ: u32 = 128;

/// A node that a starting node may ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Contact {
    /// The node.
    pub id: Name,
    /// Where it stands.
    pub place: Place,
    /// Where it takes probes and connections from other nodes.
    pub address: SocketAddr,
}

/// Reads the contacts of all data centres, at most 128.
///
/// A row that is not a contact is logged and left out: another writer may have left it.
///
/// # Errors
/// [`Error::Unavailable`].
///
/// ```
/// # use crank_platform_client::{contacts, Memory};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let account = crank_protocol::Name::new("sutkent").unwrap();
/// assert_eq!(contacts::read(&Memory::new(), &account).await, Ok(Vec::new()));
/// # });
/// ```
pub async fn read(platform: &impl Rows, account: &Name) -> Result<Vec<Contact>, Error> {
    let partition = table::partition(account, CONTACTS);
    let rows = platform.rows(&partition, MAX_CONTACTS_READ).await?;
    Ok(table::without_malformed(rows.iter().map(table::content)))
}

/// Writes a node's contact over whatever node had the same row.
///
/// # Errors
/// [`Error::Unavailable`] or [`Error::AnswerLost`].
///
/// ```
/// # use crank_platform_client::{contacts::{self, Contact}, Memory};
/// # use crank_protocol::{Name, member::Place};
/// # tokio::runtime::Runtime::new().unwrap().block_on(async {
/// # let name = |text| Name::new(text).unwrap();
/// # let account = name("sutkent");
/// let platform = Memory::new();
/// let place = Place { region: name("almaty"), data_centre: name("almaty-1") };
/// let contact = Contact { id: name("n1"), place, address: "127.0.0.1:7000".parse().unwrap() };
/// contacts::write(&platform, &account, &contact).await.unwrap();
/// assert_eq!(contacts::read(&platform, &account).await, Ok(vec![contact]));
/// # });
/// ```
pub async fn write(platform: &impl Rows, account: &Name, contact: &Contact) -> Result<(), Error> {
    let sort = format!("{}/{}", contact.place.data_centre, row_number(&contact.id));
    let key = table::key(account, CONTACTS, &sort);
    let row = table::put(key, contact.id.as_str(), contact, &Guard::Always)?;
    platform.transact(vec![row]).await
}

fn row_number(id: &Name) -> u64 {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    hasher.finish() % ROWS_PER_DATA_CENTRE
}
