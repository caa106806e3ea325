//! Reads the store's settings from the operator's settings file.

use std::path::Path;

use crank_engine::ini::Document;
use crank_platform_client::Settings;
use crank_protocol::status::Fault;

use crate::Error;

/// Reads `[account]` and `[platform]`; a node's settings file can be used as well.
pub(crate) fn read(path: &Path) -> Result<Settings, Error> {
    let content = std::fs::read(path).map_err(|source| Error::SettingsFile {
        path: path.to_owned(),
        source,
    })?;
    let file = path.display().to_string();
    let settings = Document::parse(file.as_str().into(), &content)
        .and_then(|document| Settings::read(&file, &document));
    settings.map_err(|faults| Error::Faulty {
        path: path.to_owned(),
        faults: faults.into_iter().map(Fault::from).collect(),
    })
}

/// Returns the store's identity: its address and bucket.
pub(crate) fn store(settings: &Settings) -> String {
    format!(
        "{}/{}",
        settings.objects.trim_end_matches('/'),
        settings.bucket
    )
}
