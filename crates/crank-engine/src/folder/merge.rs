//! Merging of files into one checked configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::config::{CallerLimits, ClientAccount, Config, Method, Owner, Route, Service};
use crank_protocol::{Name, status};

use super::{File, Problem, account, client, is_ignored_file, limits, route, service};
use crate::ini::{self, Document, Fault, Section, value};
use crate::lint::{self, Warning};

pub(crate) const MAX_FILES: usize = 256;
pub(crate) const MAX_FILE_BYTES: usize = 64 * 1024;
pub(crate) const MAX_FOLDER_BYTES: usize = 1024 * 1024;
const KNOWN_SECTIONS: &str = "[account], [client NAME], [limits], [service NAME] or [route NAME]";

/// The result of merging a valid folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The configuration that the folder defines.
    pub config: Config,
    /// The sorted names of the files that were ignored; see [`is_ignored_file`].
    pub ignored_files: Vec<Arc<str>>,
    /// Entries that can never match and limits that contradict each other, with their positions.
    pub warnings: Vec<status::Fault>,
}

/// Merges the files of a folder in the byte order of their names, and checks the result.
///
/// Sections with the same heading are merged, and keys of later files take precedence. Files that
/// [`is_ignored_file`] matches are ignored, and an empty file has the same effect as a missing one.
///
/// # Errors
/// Returns all faults found, sorted by file and line. A single fault refuses the whole folder.
///
/// ```
/// use crank_engine::folder::{File, merge};
/// let file = |name: &str, content: &str| File { name: name.into(), content: content.into() };
/// let merged = merge(&[
///     file("10-account.ini", "[account]\nname = sutkent\n"),
///     file("20-recipes.ini", "[service recipes]\nslots = 6\n"),
///     file("20-recipes.ini~", "[service recipes]\nslots = 5\n"),
/// ])?;
/// assert_eq!(merged.config.services["recipes"].slots, 6);
/// assert_eq!(merged.ignored_files.len(), 1);
/// # Ok::<(), Vec<crank_protocol::status::Fault>>(())
/// ```
pub fn merge(files: &[File]) -> Result<Merged, Vec<status::Fault>> {
    let mut faults = Vec::new();
    let ignored_files = ignored_file_names(files);
    let config_files = sorted_config_files(files);
    check_sizes(&config_files, &mut faults);
    let document = parse_and_merge(&config_files, &mut faults);
    let all_parsed = faults.is_empty();
    let mut config_faults = Vec::new();
    let config = read_config(&document, &mut config_faults);
    if !all_parsed {
        config_faults.retain(|fault| !fault.problem.is_missing_item());
    }
    faults.extend(config_faults);
    match config {
        Some(config) if faults.is_empty() => Ok(Merged {
            warnings: located_warnings(&config, &document),
            config,
            ignored_files,
        }),
        _ => Err(sorted(faults)),
    }
}

fn located_warnings(config: &Config, document: &Document) -> Vec<status::Fault> {
    let warnings = lint::warnings(config).into_iter();
    warnings
        .map(|warning| located(&warning, document))
        .collect()
}

/// Returns a warning with the file and line of its key, or of its section if the key is left out.
fn located(warning: &Warning, document: &Document) -> status::Fault {
    let section = document.sections.get(&warning.section);
    let entry = section.and_then(|section| section.entries.get(warning.key));
    let (file, line) = match (entry, section) {
        (Some(entry), _) => (Arc::clone(&entry.file), entry.line),
        (None, Some(section)) => (Arc::clone(&section.file), section.line),
        (None, None) => (Arc::default(), 0),
    };
    status::Fault {
        file,
        line,
        section: Arc::clone(&warning.section),
        key: warning.key.into(),
        problem: warning.problem.to_string().into(),
    }
}

fn ignored_file_names(files: &[File]) -> Vec<Arc<str>> {
    let mut names: Vec<Arc<str>> = files
        .iter()
        .filter(|file| is_ignored_file(&file.name))
        .map(|file| Arc::clone(&file.name))
        .collect();
    names.sort();
    names
}

fn sorted_config_files(files: &[File]) -> Vec<&File> {
    let mut config_files: Vec<&File> = files
        .iter()
        .filter(|file| !is_ignored_file(&file.name) && !file.content.is_empty())
        .collect();
    config_files.sort_by(|a, b| a.name.cmp(&b.name));
    config_files
}

fn check_sizes(files: &[&File], faults: &mut Vec<Fault>) {
    let mut report = |file: Arc<str>, problem: Problem| {
        faults.push(Fault::new(file, problem.into()));
    };
    for file in files {
        let bytes = file.content.len();
        if bytes > MAX_FILE_BYTES {
            let max = MAX_FILE_BYTES;
            report(Arc::clone(&file.name), Problem::FileTooLarge { bytes, max });
        }
        if Name::new(&file.name).is_err() {
            report(Arc::clone(&file.name), Problem::InvalidFileName);
        }
    }
    if files.len() > MAX_FILES {
        let (files, max) = (files.len(), MAX_FILES);
        report(Arc::default(), Problem::TooManyFiles { files, max });
    }
    let bytes = files.iter().map(|file| file.content.len()).sum();
    if bytes > MAX_FOLDER_BYTES {
        let max = MAX_FOLDER_BYTES;
        report(Arc::default(), Problem::FolderTooLarge { bytes, max });
    }
}

fn parse_and_merge(files: &[&File], faults: &mut Vec<Fault>) -> Document {
    let mut document = Document::default();
    for file in files {
        if file.content.len() > MAX_FILE_BYTES {
            continue;
        }
        let (parsed, syntax_faults) = Document::parse_lossy(Arc::clone(&file.name), &file.content);
        document.merge(parsed);
        faults.extend(syntax_faults);
    }
    document
}

fn read_config(document: &Document, faults: &mut Vec<Fault>) -> Option<Config> {
    let mut builder = ConfigBuilder::default();
    for section in document.sections.values() {
        builder.read(section, faults);
    }
    if !document.sections.contains_key("account") {
        let section = "account";
        let fault = Fault::new(Arc::default(), ini::Problem::MissingSection { section });
        faults.push(fault.with_section(section.into()));
    }
    builder.check_services(document, faults);
    builder.check_duplicate_routes(document, faults);
    client::check_shared_keys(&builder.clients, document, faults);
    Some(Config {
        account: builder.account?,
        services: builder.services,
        routes: builder.routes,
        clients: builder.clients,
        limits: builder.limits,
    })
}

#[derive(Default)]
struct ConfigBuilder {
    account: Option<Owner>,
    services: BTreeMap<Name, Service>,
    routes: BTreeMap<Name, Route>,
    clients: BTreeMap<Name, ClientAccount>,
    limits: CallerLimits,
}

impl ConfigBuilder {
    fn read(&mut self, section: &Section, faults: &mut Vec<Fault>) {
        match section.kind_and_name() {
            ("account", None) => self.account = account::read(section, faults),
            ("client", name) => {
                if let Some(name) = section_name(section, "client", name, faults)
                    && let Some(client) = client::read(section, faults)
                {
                    self.clients.insert(name, client);
                }
            }
            ("limits", None) => self.limits = limits::read(section, faults),
            ("service", name) => {
                if let Some(name) = section_name(section, "service", name, faults)
                    && let Some(service) = service::read(section, faults)
                {
                    self.services.insert(name, service);
                }
            }
            ("route", name) => {
                if let Some(name) = section_name(section, "route", name, faults)
                    && let Some(route) = route::read(section, faults)
                {
                    self.routes.insert(name, route);
                }
            }
            _ => faults.push(section.fault(ini::Problem::UnknownSection {
                known: KNOWN_SECTIONS,
            })),
        }
    }

    fn check_services(&self, document: &Document, faults: &mut Vec<Fault>) {
        for (name, route) in &self.routes {
            let split_services = route
                .split
                .iter()
                .map(|weighted| ("split", &weighted.service));
            let single_service = route
                .split
                .is_empty()
                .then_some(("service", &route.service));
            for (key, service) in split_services.chain(single_service) {
                // A service whose section has faults is not reported as undefined as well.
                let heading = format!("service {service}");
                if document.sections.contains_key(heading.as_str()) {
                    continue;
                }
                let service = service.clone().into();
                let problem = Problem::UnknownService { service };
                faults.extend(route_fault(document, name, key, problem));
            }
        }
    }

    fn check_duplicate_routes(&self, document: &Document, faults: &mut Vec<Fault>) {
        let mut routes: BTreeMap<(Option<&str>, &str, Method), &Name> = BTreeMap::new();
        for (name, route) in &self.routes {
            for method in &route.methods {
                let Some(other) =
                    routes.insert((route.host.as_deref(), &route.path, *method), name)
                else {
                    continue;
                };
                let problem = Problem::DuplicateRoute {
                    other: other.clone().into(),
                    method: route::method_name(*method),
                    path: Arc::clone(&route.path),
                };
                faults.extend(route_fault(document, name, "path", problem));
            }
        }
    }
}

fn section_name(
    section: &Section,
    kind: &'static str,
    name: Option<&str>,
    faults: &mut Vec<Fault>,
) -> Option<Name> {
    let Some(name) = name else {
        faults.push(section.fault(Problem::MissingName { kind }.into()));
        return None;
    };
    match value::name(name) {
        Ok(name) => Some(name),
        Err(problem) => {
            faults.push(section.fault(problem));
            None
        }
    }
}

fn route_fault(document: &Document, route: &Name, key: &str, problem: Problem) -> Option<Fault> {
    let heading = format!("route {route}");
    let section = document.sections.get(heading.as_str())?;
    Some(section.key_fault(key, problem.into()))
}

fn sorted(mut faults: Vec<Fault>) -> Vec<status::Fault> {
    faults.sort_by(|a, b| (&a.file, a.line, &a.key).cmp(&(&b.file, b.line, &b.key)));
    faults.into_iter().map(status::Fault::from).collect()
}
