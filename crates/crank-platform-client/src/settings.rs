//! Where the platform's store is, as read from settings.

use std::sync::Arc;

use crank_engine::ini::{Document, Fault, Problem, Section, SectionReader, value};
use crank_protocol::{Millis, Name};

use crate::Access;

const URL: &str = "an address such as http://127.0.0.1:9000";
const NO_KEY: &str = "none";
const DEFAULT_TIMEOUT: Millis = Millis(2_000);
const MAX_TIMEOUT_MS: u64 = 60_000;
const REQUIRED_URL: &str = "the URL of the service";
const REQUIRED_NAME: &str = "a name";

/// Where the platform's store is, and whose part of it is meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settings {
    /// The client account.
    pub account: Name,
    /// The base URL of the object store.
    pub objects: Arc<str>,
    /// The base URL of the table service.
    pub table: Arc<str>,
    /// The bucket of the object store.
    pub bucket: Name,
    /// The table of the table service.
    pub table_name: Name,
    /// The region in which the store stands.
    pub region: Name,
    /// The access key.
    pub access_key: Arc<str>,
    /// Its secret.
    pub secret_key: Arc<str>,
    /// The longest that one request to the store may take.
    pub timeout: Millis,
}

impl Settings {
    /// Reads the sections `[account]` and `[platform]`.
    ///
    /// # Errors
    /// Every fault found in the two sections.
    ///
    /// ```
    /// use crank_engine::ini::Document;
    /// use crank_platform_client::Settings;
    /// let text = b"[account]\nname = sutkent\n[platform]\nobjects = http://127.0.0.1:1\n\
    ///     table = http://127.0.0.1:1\nbucket = crank\ntable_name = crank\nregion = almaty\n";
    /// let document = Document::parse("store.ini".into(), text).unwrap();
    /// let settings = Settings::read("store.ini", &document).unwrap();
    /// assert_eq!(settings.account.as_str(), "sutkent");
    /// ```
    pub fn read(file: &str, document: &Document) -> Result<Self, Vec<Fault>> {
        let account = section(file, document, "account", read_account);
        let (account, mut faults) = match account {
            Ok(account) => (Some(account), Vec::new()),
            Err(faults) => (None, faults),
        };
        let store = section(file, document, "platform", |section| {
            read_store(section, account)
        });
        match store {
            Ok(settings) if faults.is_empty() => Ok(settings),
            Ok(_) => Err(faults),
            Err(found) => {
                faults.extend(found);
                Err(faults)
            }
        }
    }

    /// What a client needs to reach the store.
    ///
    /// ```
    /// # use crank_engine::ini::Document;
    /// # use crank_platform_client::Settings;
    /// # let text = b"[account]\nname = sutkent\n[platform]\nobjects = http://127.0.0.1:1\n\
    /// #     table = http://127.0.0.1:1\nbucket = crank\ntable_name = crank\nregion = almaty\n";
    /// # let document = Document::parse("store.ini".into(), text).unwrap();
    /// # let settings = Settings::read("store.ini", &document).unwrap();
    /// assert_eq!(&*settings.access().bucket, "crank");
    /// ```
    #[must_use]
    pub fn access(&self) -> Access {
        Access {
            objects: self.objects.clone(),
            rows: self.table.clone(),
            region: self.region.clone().into(),
            bucket: self.bucket.clone().into(),
            table: self.table_name.clone().into(),
            access_key: self.access_key.clone(),
            secret_key: self.secret_key.clone(),
            timeout: self.timeout,
        }
    }
}

fn section<T>(
    file: &str,
    document: &Document,
    heading: &'static str,
    read: impl FnOnce(&Section) -> Result<T, Vec<Fault>>,
) -> Result<T, Vec<Fault>> {
    match document.sections.get(heading) {
        Some(section) => read(section),
        None => {
            let problem = Problem::MissingSection { section: heading };
            Err(vec![Fault::new(file.into(), problem)])
        }
    }
}

fn read_account(section: &Section) -> Result<Name, Vec<Fault>> {
    let mut reader = SectionReader::new(section);
    let name = reader.required("name", REQUIRED_NAME, value::name);
    let faults = reader.finish();
    name.ok_or(faults)
}

fn read_store(section: &Section, account: Option<Name>) -> Result<Settings, Vec<Fault>> {
    let mut reader = SectionReader::new(section);
    let objects = reader.required("objects", REQUIRED_URL, url);
    let table = reader.required("table", REQUIRED_URL, url);
    let bucket = reader.required("bucket", REQUIRED_NAME, value::name);
    let table_name = reader.required("table_name", REQUIRED_NAME, value::name);
    let region = reader.required("region", REQUIRED_NAME, value::name);
    let access_key = reader.optional("access_key", text);
    let secret_key = reader.optional("secret_key", text);
    let timeout = reader.optional("timeout", |text| value::duration(text, 1, MAX_TIMEOUT_MS));
    let faults = reader.finish();
    if !faults.is_empty() {
        return Err(faults);
    }
    let settings = || {
        Some(Settings {
            account: account?,
            objects: objects?,
            table: table?,
            bucket: bucket?,
            table_name: table_name?,
            region: region?,
            access_key: access_key.unwrap_or_else(|| Arc::from(NO_KEY)),
            secret_key: secret_key.unwrap_or_else(|| Arc::from(NO_KEY)),
            timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        })
    };
    settings().ok_or(faults)
}

fn text(text: &str) -> Result<Arc<str>, Problem> {
    Ok(text.into())
}

fn url(text: &str) -> Result<Arc<str>, Problem> {
    let rest = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    match rest {
        Some(rest) if !rest.is_empty() && !rest.contains(char::is_whitespace) => Ok(text.into()),
        _ => Err(Problem::InvalidValue {
            given: text.into(),
            expected: URL,
        }),
    }
}
