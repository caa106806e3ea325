//! The folder of an experiment's fleet.

use std::path::Path;

use crank_engine::ini::Document;
use crank_platform_client::{Condition, Remote, Settings, folder};

use crate::Error;
use crate::fleet::Fleet;

const FOLDER_FILE: &str = "10-services.ini";

/// Reads the settings of a store.
///
/// # Errors
/// [`Error::File`] or [`Error::Settings`].
///
/// ```
/// assert!(crank_load::folder::settings(std::path::Path::new("/nowhere.ini")).is_err());
/// ```
pub fn settings(path: &Path) -> Result<Settings, Error> {
    let content = std::fs::read(path).map_err(|source| Error::File {
        path: path.to_owned(),
        source,
    })?;
    let name = path.display().to_string();
    let faults = |faults| Error::Settings { faults };
    let document = Document::parse(name.as_str().into(), &content).map_err(faults)?;
    Settings::read(&name, &document).map_err(faults)
}

/// Writes a folder with a service and three routes for each name: `GET /NAME` is idempotent,
/// `POST /NAME` is not, and `POST /NAME-once` runs once for an idempotency key.
///
/// # Errors
/// [`Error::File`], [`Error::Settings`] or [`Error::Store`].
///
/// ```
/// # use crank_load::{Error, fleet::Fleet, folder};
/// async fn fill(fleet: &Fleet) -> Result<(), Error> {
///     folder::fill(fleet, &["recipes", "panels"]).await
/// }
/// ```
pub async fn fill(fleet: &Fleet, services: &[&str]) -> Result<(), Error> {
    let settings = settings(&fleet.store_settings()?)?;
    let remote = Remote::new(&settings.access())?;
    let mut text = format!("[account]\nname = {}\n", settings.account);
    for service in services {
        text.push_str(&section(service, fleet.layout.slots));
    }
    let always = Condition::Always;
    folder::write(&remote, &settings.account, FOLDER_FILE, text.into(), always).await?;
    Ok(())
}

fn section(service: &str, slots: u32) -> String {
    format!(
        "[service {service}]\nslots = {slots}\nconnections = 110\ntimeout = 2s\n\
         [route {service}]\npath = /{service}\nmethods = GET\nservice = {service}\n\
         idempotent = yes\n\
         [route {service}-writes]\npath = /{service}\nmethods = POST\nservice = {service}\n\
         [route {service}-once]\npath = /{service}-once\nmethods = POST\nservice = {service}\n\
         once = yes\n"
    )
}
