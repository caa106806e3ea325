//! From files to one checked configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use crank_protocol::config::{Account, Config, Method, Route, Service};
use crank_protocol::{Name, status};

use super::{File, Problem, account, is_ignored_file, route, service};
use crate::ini::{self, Document, Fault, Section, value};

pub(crate) const MOST_FILES: usize = 256;
pub(crate) const LARGEST_FILE_BYTES: usize = 64 * 1024;
pub(crate) const LARGEST_FOLDER_BYTES: usize = 1024 * 1024;
const SECTIONS: &str = "[account], [service NAME] or [route NAME]";

/// What a good folder gives.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The configuration.
    pub config: Config,
    /// The names of files that were passed over as editors' leavings.
    pub ignored_files: Vec<Arc<str>>,
}

/// Merges a folder's files in the byte order of their names, and checks the whole.
///
/// SettingsReader unite, and a later file's key wins. Editors' leavings are passed over, and a file
/// without content is as good as removed.
///
/// # Errors
/// Every fault found, in the order of files and lines; one refuses the whole folder.
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
    let ignored_files = ignored_files(files);
    let kept = kept(files);
    check_sizes(&kept, &mut faults);
    let whole = unite(&kept, &mut faults);
    let all_read = faults.is_empty();
    let mut of_whole = Vec::new();
    let config = configure(&whole, &mut of_whole);
    if !all_read {
        of_whole.retain(|fault| !fault.problem.is_missing_item());
    }
    faults.extend(of_whole);
    match config {
        Some(config) if faults.is_empty() => Ok(Merged {
            config,
            ignored_files,
        }),
        _ => Err(sorted(faults)),
    }
}

fn ignored_files(files: &[File]) -> Vec<Arc<str>> {
    let mut names: Vec<Arc<str>> = files
        .iter()
        .filter(|file| is_ignored_file(&file.name))
        .map(|file| Arc::clone(&file.name))
        .collect();
    names.sort();
    names
}

fn kept(files: &[File]) -> Vec<&File> {
    let mut kept: Vec<&File> = files
        .iter()
        .filter(|file| !is_ignored_file(&file.name) && !file.content.is_empty())
        .collect();
    kept.sort_by(|a, b| a.name.cmp(&b.name));
    kept
}

fn check_sizes(files: &[&File], faults: &mut Vec<Fault>) {
    let mut refuse = |file: Arc<str>, problem: Problem| {
        faults.push(Fault::new(file, problem.into()));
    };
    for file in files {
        let bytes = file.content.len();
        if bytes > LARGEST_FILE_BYTES {
            let most = LARGEST_FILE_BYTES;
            refuse(
                Arc::clone(&file.name),
                Problem::FileTooLarge { bytes, most },
            );
        }
        if Name::new(&file.name).is_err() {
            refuse(Arc::clone(&file.name), Problem::BadFileName);
        }
    }
    if files.len() > MOST_FILES {
        let (files, most) = (files.len(), MOST_FILES);
        refuse(Arc::default(), Problem::TooManyFiles { files, most });
    }
    let bytes = files.iter().map(|file| file.content.len()).sum();
    if bytes > LARGEST_FOLDER_BYTES {
        let most = LARGEST_FOLDER_BYTES;
        refuse(Arc::default(), Problem::FolderTooLarge { bytes, most });
    }
}

fn unite(files: &[&File], faults: &mut Vec<Fault>) -> Document {
    let mut whole = Document::default();
    for file in files {
        if file.content.len() > LARGEST_FILE_BYTES {
            continue;
        }
        let (document, found) = Document::parse_lossy(Arc::clone(&file.name), &file.content);
        whole.merge(document);
        faults.extend(found);
    }
    whole
}

fn configure(whole: &Document, faults: &mut Vec<Fault>) -> Option<Config> {
    let mut parts = Parts::default();
    for section in whole.sections.values() {
        parts.read(section, faults);
    }
    if !whole.sections.contains_key("account") {
        let section = "account";
        let fault = Fault::new(Arc::default(), ini::Problem::MissingSection { section });
        faults.push(fault.with_section(section.into()));
    }
    parts.check_services(whole, faults);
    parts.check_claims(whole, faults);
    Some(Config {
        account: parts.account?,
        services: parts.services,
        routes: parts.routes,
    })
}

#[derive(Default)]
struct Parts {
    account: Option<Account>,
    services: BTreeMap<Name, Service>,
    routes: BTreeMap<Name, Route>,
}

impl Parts {
    fn read(&mut self, section: &Section, faults: &mut Vec<Fault>) {
        match section.kind_and_name() {
            ("account", None) => self.account = account::read(section, faults),
            ("service", name) => {
                if let Some(name) = named(section, "service", name, faults)
                    && let Some(service) = service::read(section, faults)
                {
                    self.services.insert(name, service);
                }
            }
            ("route", name) => {
                if let Some(name) = named(section, "route", name, faults)
                    && let Some(route) = route::read(section, faults)
                {
                    self.routes.insert(name, route);
                }
            }
            _ => faults.push(section.fault(ini::Problem::UnknownSection { known: SECTIONS })),
        }
    }

    fn check_services(&self, whole: &Document, faults: &mut Vec<Fault>) {
        for (name, route) in &self.routes {
            let parts = route.split.iter().map(|part| ("split", &part.service));
            let whole_route = route
                .split
                .is_empty()
                .then_some(("service", &route.service));
            for (key, service) in parts.chain(whole_route) {
                // A service that is there but faulty is not also missing.
                let heading = format!("service {service}");
                if whole.sections.contains_key(heading.as_str()) {
                    continue;
                }
                let service = service.clone().into();
                let problem = Problem::NoService { service };
                faults.extend(route_fault(whole, name, key, problem));
            }
        }
    }

    fn check_claims(&self, whole: &Document, faults: &mut Vec<Fault>) {
        let mut claims: BTreeMap<(Option<&str>, &str, Method), &Name> = BTreeMap::new();
        for (name, route) in &self.routes {
            for method in &route.methods {
                let Some(other) =
                    claims.insert((route.host.as_deref(), &route.path, *method), name)
                else {
                    continue;
                };
                let problem = Problem::Claimed {
                    other: other.clone().into(),
                    method: route::written(*method),
                    path: Arc::clone(&route.path),
                };
                faults.extend(route_fault(whole, name, "path", problem));
            }
        }
    }
}

fn named(
    section: &Section,
    kind: &'static str,
    name: Option<&str>,
    faults: &mut Vec<Fault>,
) -> Option<Name> {
    let Some(name) = name else {
        faults.push(section.fault(Problem::Nameless { kind }.into()));
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

fn route_fault(whole: &Document, route: &Name, key: &str, problem: Problem) -> Option<Fault> {
    let heading = format!("route {route}");
    let section = whole.sections.get(heading.as_str())?;
    Some(section.key_fault(key, problem.into()))
}

fn sorted(mut faults: Vec<Fault>) -> Vec<status::Fault> {
    faults.sort_by(|a, b| (&a.file, a.line, &a.key).cmp(&(&b.file, b.line, &b.key)));
    faults.into_iter().map(status::Fault::from).collect()
}
