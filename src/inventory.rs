//! Hosts from an inventory, as configuration tools keep it: CSV with a header, or YAML groups with
//! variables that hosts inherit. Both come to the resolver result that discovery would bring.
//!
//! The YAML form is the public one of Ansible's inventories: groups hold `hosts`, `vars` and
//! `children`; a host's own variables go ahead of its groups', a deeper group's ahead of a
//! shallower one's, and among equally deep ones the later name's. Names may hold one range,
//! `card-[01:12]`.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use saphyr::{LoadableYamlNode, MarkedYaml, Scalar, YamlData};
use tokio::sync::mpsc;
use tracing::{info, warn};

use crate::core::{DiscoveryCommand, Endpoint, EndpointsUpdate, Message};
use crate::interface::{EndpointListKind, EndpointState, ReplicaEntry, ReplicaId, Timestamp};
use crate::net::discovery::endpoint_list::zone_number;

/// How often the file is looked at.
const LOOK: Duration = Duration::from_millis(500);
/// Hosts in an inventory at the most.
const MAX_HOSTS: usize = 4096;
/// An inventory holds so much at most.
const MAX_BYTES: u64 = 4 << 20;
/// Models of a host at the most.
const MAX_MODELS: usize = 256;
/// The port where none is given.
const PORT: &str = "9000";

/// What is wrong with an inventory.
#[derive(Debug)]
pub enum InventoryError {
    /// The file can't be read.
    Unreadable(std::io::Error),
    /// A line is wrong; lines count from 1.
    Line(usize, String),
}

impl std::fmt::Display for InventoryError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            InventoryError::Unreadable(e) => write!(out, "{e}"),
            InventoryError::Line(line, what) => write!(out, "line {line}: {what}"),
        }
    }
}

impl std::error::Error for InventoryError {}

fn wrong<T>(line: usize, what: impl Into<String>) -> Result<T, InventoryError> {
    Err(InventoryError::Line(line, what.into()))
}

/// A variable and the line it stands on.
type Vars = BTreeMap<String, (String, usize)>;

/// Reads an inventory's file; its ending tells the form.
pub fn load(path: &Path, localities: &[String]) -> Result<Vec<Endpoint>, InventoryError> {
    let size = std::fs::metadata(path)
        .map_err(InventoryError::Unreadable)?
        .len();
    if size > MAX_BYTES {
        return wrong(1, format!("the file is over {MAX_BYTES} bytes"));
    }
    let text = std::fs::read_to_string(path).map_err(InventoryError::Unreadable)?;
    if path
        .extension()
        .is_some_and(|e| e.eq_ignore_ascii_case("csv"))
    {
        read_csv(&text, localities)
    } else {
        read_yaml(&text, localities)
    }
}

/// A host from its variables.
fn host(
    name: &str,
    vars: &Vars,
    line: usize,
    localities: &[String],
) -> Result<Endpoint, InventoryError> {
    let var = |names: &[&str]| {
        let set = names
            .iter()
            .find_map(|n| vars.get(*n))
            .filter(|(value, _)| !value.is_empty());
        set.map(|(value, line)| (value.as_str(), *line))
    };
    let (address, at) = var(&["address", "ansible_host"]).unwrap_or((name, line));
    let port = var(&["port", "ansible_port"]);
    let has_port = address
        .rsplit_once(':')
        .is_some_and(|(host, _)| !host.contains(':') || host.ends_with(']'));
    let (host, port) = match address.rsplit_once(':').filter(|_| has_port) {
        Some((host, own)) => (host, own),
        None => (address, port.map_or(PORT, |p| p.0)),
    };
    let host = if host.contains(':') && !host.starts_with('[') {
        format!("[{host}]")
    } else {
        host.to_string()
    };
    if host.is_empty() || host.contains(|c: char| c.is_whitespace() || c.is_control() || c == '/') {
        return wrong(at, format!("{name}: {address:?} is no address"));
    }
    if port.parse::<u16>().ok().is_none_or(|p| p == 0) {
        return wrong(at, format!("{name}: {port:?} is no port"));
    }
    let state = match var(&["state", "phase"]) {
        None => EndpointState::InService,
        Some((text, line)) => match text.to_ascii_lowercase().as_str() {
            "serving" | "in_service" | "present" | "up" => EndpointState::InService,
            "draining" | "terminating" | "drain" => EndpointState::Draining,
            other => {
                return wrong(
                    line,
                    format!("{name}: state {other:?} is neither serving nor draining"),
                );
            }
        },
    };
    let number = |names: &[&str], most: f64| match var(names) {
        None => Ok(None),
        Some((text, line)) => match text.parse::<f64>() {
            Ok(n) if (0.0..=most).contains(&n) => Ok(Some(n)),
            _ => wrong(
                line,
                format!(
                    "{name}: {} {text:?} is no number from 0 to {most}",
                    names[0]
                ),
            ),
        },
    };
    let zone = match var(&["zone", "locality"]) {
        None => 0,
        Some((text, line)) => match zone_number(text, localities) {
            u32::MAX => return wrong(line, format!("{name}: zone {text:?} is not known")),
            zone => zone,
        },
    };
    let entry = ReplicaEntry {
        replica: ReplicaId::from_name(name),
        zone,
        cell: number(&["cell"], 1e6)?.unwrap_or(0.0) as u32,
        state,
        started_at: Timestamp::from_micros(
            number(&["up_since_ms"], 1e14)?.unwrap_or(0.0) as u64 * 1000,
        ),
        weight: number(&["size", "weight"], 1e6)?.unwrap_or(1.0),
        ..ReplicaEntry::default()
    };
    let models = var(&["models"])
        .map(|(text, line)| models(name, text, line))
        .transpose()?;
    Ok(Endpoint {
        name: name.to_string(),
        address: format!("{host}:{port}"),
        entry,
        models,
    })
}

/// A host's models: names with spaces, commas or semicolons between them.
fn models(name: &str, text: &str, line: usize) -> Result<Vec<String>, InventoryError> {
    let mut models: Vec<String> = Vec::new();
    for model in text
        .split(|c: char| c.is_whitespace() || c == ',' || c == ';')
        .filter(|m| !m.is_empty())
    {
        if models.iter().any(|m| m == model) {
            return wrong(line, format!("{name}: model {model:?} stands there twice"));
        }
        if models.len() >= MAX_MODELS {
            return wrong(line, format!("{name}: over {MAX_MODELS} models"));
        }
        models.push(model.to_string());
    }
    Ok(models)
}

/// Adds a host; names must differ.
fn add(hosts: &mut Vec<Endpoint>, host: Endpoint, line: usize) -> Result<(), InventoryError> {
    if hosts.iter().any(|h| h.entry.replica == host.entry.replica) {
        return wrong(line, format!("{} stands there twice", host.name));
    }
    if hosts.len() >= MAX_HOSTS {
        return wrong(line, format!("over {MAX_HOSTS} hosts"));
    }
    hosts.push(host);
    Ok(())
}

/// Reads CSV with a header: `name` and `address` (with a port, or a column `port`) are needed;
/// `zone`, `cell`, `state`, `size`, `up_since_ms` and `models` may be there; other columns are
/// passed over, and so are lines with `#`.
pub fn read_csv(text: &str, localities: &[String]) -> Result<Vec<Endpoint>, InventoryError> {
    let mut builder = csv::ReaderBuilder::new();
    let mut reader = builder
        .trim(csv::Trim::All)
        .comment(Some(b'#'))
        .from_reader(text.as_bytes());
    let line_of = |e: &csv::Error| e.position().map_or(1, |p| p.line() as usize);
    let head = reader
        .headers()
        .map_err(|e| InventoryError::Line(line_of(&e), e.to_string()))?;
    let names: Vec<String> = head
        .iter()
        .map(|n| n.trim_start_matches('\u{feff}').to_ascii_lowercase())
        .collect();
    let column = |wanted: &[&str]| names.iter().position(|n| wanted.contains(&n.as_str()));
    let Some(name_at) = column(&["name", "host", "hostname", "id"]) else {
        return wrong(1, "the header has no column \"name\"");
    };
    if column(&["address", "ansible_host"]).is_none() {
        return wrong(1, "the header has no column \"address\"");
    }
    let mut hosts = Vec::new();
    for record in reader.records() {
        let record = record.map_err(|e| InventoryError::Line(line_of(&e), e.to_string()))?;
        let line = record.position().map_or(1, |p| p.line() as usize);
        let name = record.get(name_at).unwrap_or_default();
        if name.is_empty() {
            return wrong(line, "no name");
        }
        let cells = names
            .iter()
            .zip(&record)
            .map(|(n, v)| (n.clone(), (v.to_string(), line)));
        add(
            &mut hosts,
            host(name, &cells.collect(), line, localities)?,
            line,
        )?;
    }
    Ok(hosts)
}

/// A group of the YAML form.
#[derive(Default)]
struct Group {
    vars: Vars,
    children: BTreeSet<String>,
    hosts: BTreeSet<String>,
}

#[derive(Default)]
struct Tree {
    groups: BTreeMap<String, Group>,
    hosts: BTreeMap<String, (Vars, usize)>,
}

/// Reads YAML groups.
pub fn read_yaml(text: &str, localities: &[String]) -> Result<Vec<Endpoint>, InventoryError> {
    let documents = MarkedYaml::load_from_str(text)
        .map_err(|e| InventoryError::Line(e.marker().line(), e.info().to_string()))?;
    let mut tree = Tree::default();
    for document in &documents {
        for (name, group, line) in entries(document, "groups")? {
            tree.group(&name, group, line, 0)?;
        }
    }
    let mut depths = BTreeMap::new();
    for name in tree.groups.keys() {
        tree.depth(name, &mut depths, &mut Vec::new())?;
    }
    // a host's groups and all that hold those, the shallowest first
    let mut order: Vec<(usize, &String)> =
        depths.iter().map(|(name, depth)| (*depth, *name)).collect();
    order.sort();
    let mut hosts = Vec::new();
    for (name, (own, line)) in &tree.hosts {
        let mut vars = Vars::new();
        for (_, group) in &order {
            if tree.holds(group, name) {
                vars.extend(tree.groups[*group].vars.clone());
            }
        }
        vars.extend(own.clone());
        add(&mut hosts, host(name, &vars, *line, localities)?, *line)?;
    }
    Ok(hosts)
}

/// A mapping's entries with their lines; none where there is nothing.
fn entries<'a, 'b>(
    node: &'a MarkedYaml<'b>,
    what: &str,
) -> Result<Vec<(String, &'a MarkedYaml<'b>, usize)>, InventoryError> {
    let map = match &node.data {
        YamlData::Mapping(map) => map,
        YamlData::Value(Scalar::Null) => return Ok(Vec::new()),
        _ => return wrong(node.span.start.line(), format!("{what} must be a mapping")),
    };
    let mut all = Vec::with_capacity(map.len());
    for (key, value) in map {
        let line = key.span.start.line();
        match scalar(key) {
            Some(name) => all.push((name, value, line)),
            None => return wrong(line, format!("{what}: a name must be plain text")),
        }
    }
    Ok(all)
}

fn scalar(node: &MarkedYaml<'_>) -> Option<String> {
    match &node.data {
        YamlData::Value(Scalar::String(text)) => Some(text.to_string()),
        YamlData::Value(Scalar::Integer(n)) => Some(n.to_string()),
        YamlData::Value(Scalar::FloatingPoint(n)) => Some(n.to_string()),
        YamlData::Value(Scalar::Boolean(b)) => Some(b.to_string()),
        YamlData::Value(Scalar::Null) => Some(String::new()),
        _ => None,
    }
}

/// Variables; those that are no plain values are other tools' and passed over.
fn vars(node: &MarkedYaml<'_>) -> Result<Vars, InventoryError> {
    let all = entries(node, "variables")?;
    // a list of models is one that this program reads
    let list = |name: &str, value: &MarkedYaml<'_>| match &value.data {
        YamlData::Sequence(items) if name == "models" => items
            .iter()
            .map(scalar)
            .collect::<Option<Vec<_>>>()
            .map(|all| all.join(" ")),
        _ => None,
    };
    let text = |name: &str, value| scalar(value).or_else(|| list(name, value));
    Ok(all
        .into_iter()
        .filter_map(|(name, value, line)| Some((text(&name, value)?, name, line)))
        .map(|(text, name, line)| (name, (text, line)))
        .collect())
}

impl Tree {
    fn group(
        &mut self,
        name: &str,
        node: &MarkedYaml<'_>,
        line: usize,
        deep: usize,
    ) -> Result<(), InventoryError> {
        if deep > 32 {
            return wrong(line, "groups stand over 32 deep");
        }
        self.groups.entry(name.to_string()).or_default();
        for (key, value, line) in entries(node, name)? {
            match key.as_str() {
                "vars" => {
                    let vars = vars(value)?;
                    self.groups
                        .entry(name.to_string())
                        .or_default()
                        .vars
                        .extend(vars);
                }
                "hosts" => {
                    for (pattern, own, line) in entries(value, "hosts")? {
                        let own = vars(own)?;
                        for host in expand(&pattern, line)? {
                            let known = self
                                .hosts
                                .entry(host.clone())
                                .or_insert_with(|| (Vars::new(), line));
                            known.0.extend(own.clone());
                            self.groups
                                .entry(name.to_string())
                                .or_default()
                                .hosts
                                .insert(host);
                        }
                    }
                }
                "children" => {
                    for (child, group, line) in entries(value, "children")? {
                        self.groups
                            .entry(name.to_string())
                            .or_default()
                            .children
                            .insert(child.clone());
                        self.group(&child, group, line, deep + 1)?;
                    }
                }
                other => {
                    return wrong(
                        line,
                        format!("{name}: {other:?} is neither hosts, vars nor children"),
                    );
                }
            }
        }
        Ok(())
    }

    /// How deep a group stands: one below its deepest parent, where `all` is every group's parent.
    fn depth<'a>(
        &'a self,
        name: &'a String,
        known: &mut BTreeMap<&'a String, usize>,
        path: &mut Vec<&'a String>,
    ) -> Result<usize, InventoryError> {
        if let Some(&depth) = known.get(name) {
            return Ok(depth);
        }
        if path.contains(&name) {
            return wrong(1, format!("group {name} holds itself"));
        }
        path.push(name);
        let mut depth = usize::from(name != "all");
        for (parent, group) in &self.groups {
            if group.children.contains(name) {
                depth = depth.max(self.depth(parent, known, path)? + 1);
            }
        }
        path.pop();
        known.insert(name, depth);
        Ok(depth)
    }

    fn holds(&self, group: &str, host: &str) -> bool {
        let own =
            |g: &Group| g.hosts.contains(host) || g.children.iter().any(|c| self.holds(c, host));
        group == "all" || self.groups.get(group).is_some_and(own)
    }
}

/// The names that a pattern stands for: itself, or one a number of its range.
fn expand(pattern: &str, line: usize) -> Result<Vec<String>, InventoryError> {
    let range = pattern.split_once('[').and_then(|(head, rest)| {
        let (range, tail) = rest.split_once(']')?;
        let (from, to) = range.split_once(':')?;
        Some((head, from, to, tail))
    });
    let Some((head, from, to, tail)) = range else {
        return Ok(vec![pattern.to_string()]);
    };
    match (from.parse::<usize>(), to.parse::<usize>()) {
        (Ok(first), Ok(last)) if first <= last && last - first < MAX_HOSTS => {
            let width = from.len();
            Ok((first..=last)
                .map(|n| format!("{head}{n:0width$}{tail}"))
                .collect())
        }
        _ => wrong(line, format!("{pattern:?}: the range is wrong")),
    }
}

/// What tells one state of the file from the next.
type Stamp = Option<(SystemTime, u64)>;

fn stamp(path: &Path) -> Stamp {
    let meta = std::fs::metadata(path).ok()?;
    Some((meta.modified().ok()?, meta.len()))
}

/// The list's actor on an inventory: brings the whole list when the module asks, and again whenever
/// the file has changed. A bad file is named in the log and the last good one stays.
pub async fn run(
    path: PathBuf,
    localities: Vec<String>,
    mut asked: mpsc::Receiver<DiscoveryCommand>,
    messages: mpsc::Sender<Message>,
) {
    let mut held: Option<Vec<Endpoint>> = None;
    let mut seen: Option<Stamp> = None;
    let mut tick = tokio::time::interval(LOOK);
    loop {
        let wanted = tokio::select! {
            _ = tick.tick() => false,
            asked = asked.recv() => match asked {
                Some(DiscoveryCommand::Watch) => true,
                // the hosts come from the file, wherever discovery is
                Some(DiscoveryCommand::Refresh | DiscoveryCommand::ChangeAddress { .. } | DiscoveryCommand::Adopt { .. }) => false,
                None => return,
            },
        };
        let now = stamp(&path);
        let mut changed = false;
        if seen != Some(now) {
            seen = Some(now);
            match load(&path, &localities) {
                Ok(hosts) if held.as_ref() != Some(&hosts) => {
                    info!("{}: {} hosts", path.display(), hosts.len());
                    (held, changed) = (Some(hosts), true);
                }
                Ok(_) => {}
                Err(e) => warn!("{}: {e}; the last good list stays", path.display()),
            }
        }
        if !wanted && !changed {
            continue;
        }
        let news = match held.clone() {
            Some(hosts) => EndpointsUpdate {
                kind: EndpointListKind::Complete,
                endpoints: hosts,
            },
            None => EndpointsUpdate {
                kind: EndpointListKind::Error,
                endpoints: Vec::new(),
            },
        };
        if messages
            .send(Message::EndpointsUpdated(news))
            .await
            .is_err()
        {
            return;
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const YAML: &str = "all:\n  vars: {port: 9100, zone: cleveland, size: 1}\n  hosts:\n    lone: {address: 127.0.0.9}\n  children:\n    toledo:\n      vars: {zone: toledo}\n      children:\n        fast:\n          vars: {size: 2, secrets: [1, 2]}\n          hosts:\n            fast-[01:02]: {ansible_host: 127.0.0.2}\n      hosts:\n        slow: {address: \"127.0.0.3:9300\", state: draining}\n";

    fn zones() -> Vec<String> {
        ["cleveland", "toledo", "erie"].map(String::from).to_vec()
    }

    #[test]
    fn yaml_hosts_inherit_and_the_deeper_group_goes_ahead() {
        let hosts = read_yaml(YAML, &zones()).unwrap();
        let row = |h: &Endpoint| {
            (
                h.name.clone(),
                h.address.clone(),
                h.entry.zone,
                h.entry.weight,
            )
        };
        let rows: Vec<_> = hosts.iter().map(row).collect();
        assert_eq!(rows[0], ("fast-01".into(), "127.0.0.2:9100".into(), 1, 2.0));
        assert_eq!(rows[1].0, "fast-02");
        assert_eq!(rows[2], ("lone".into(), "127.0.0.9:9100".into(), 0, 1.0));
        assert_eq!(rows[3], ("slow".into(), "127.0.0.3:9300".into(), 1, 1.0));
        assert_eq!(hosts[3].entry.state, EndpointState::Draining);
    }

    #[test]
    fn csv_and_yaml_come_to_the_same_result() {
        let csv = "name,address,zone,size,owner\nlone,127.0.0.9:9100,cleveland,1,ops\n# away\nslow,127.0.0.3:9300,toledo,,\n";
        let hosts = read_csv(csv, &zones()).unwrap();
        assert_eq!(hosts[0], read_yaml(YAML, &zones()).unwrap()[2]);
        assert_eq!((hosts[1].entry.zone, hosts[1].entry.weight), (1, 1.0));
    }

    #[test]
    fn models_are_a_column_or_a_variable() {
        let wanted = Some(vec!["hint".to_string(), "mark:v2".to_string()]);
        let csv = "name,address,models\na,127.0.0.1:1,hint; mark:v2\nb,127.0.0.1:2,\n";
        let hosts = read_csv(csv, &zones()).unwrap();
        assert_eq!((&hosts[0].models, &hosts[1].models), (&wanted, &None));
        let yaml =
            "g:\n  vars: {models: [hint, \"mark:v2\"]}\n  hosts:\n    a:\n    b: {models: hint}\n";
        let hosts = read_yaml(yaml, &zones()).unwrap();
        assert_eq!(hosts[0].models, wanted);
        assert_eq!(hosts[1].models, Some(vec!["hint".to_string()]));
        let twice =
            read_csv("name,address,models\na,127.0.0.1:1,hint hint\n", &zones()).unwrap_err();
        assert!(twice.to_string().starts_with("line 2: a: model"), "{twice}");
    }

    #[test]
    fn a_bad_file_is_named_by_its_line() {
        let line = |e: Result<Vec<Endpoint>, InventoryError>| match e {
            Err(InventoryError::Line(line, _)) => line,
            other => panic!("{other:?}"),
        };
        assert_eq!(
            line(read_csv(
                "name,address\na,127.0.0.1:1\na,127.0.0.1:2\n",
                &zones()
            )),
            3
        );
        assert_eq!(
            line(read_csv(
                "name,address\na,127.0.0.1:1\nb,127.0.0.1:x\n",
                &zones()
            )),
            3
        );
        assert_eq!(line(read_csv("name,zone\n", &zones())), 1);
        assert_eq!(
            line(read_yaml("all:\n  hosts:\n    a: {zone: mars}\n", &zones())),
            3
        );
        assert_eq!(line(read_yaml("all:\n  hots: {}\n", &zones())), 2);
        assert_eq!(line(read_yaml("all:\n  hosts: [\n", &zones())), 3);
        assert_eq!(
            line(read_yaml(
                "a: {children: {b: }}\nb: {children: {a: }}\n",
                &zones()
            )),
            1
        );
    }
}
