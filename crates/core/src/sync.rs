//! Publication of the operators' objects and adoption of what is published.
//!
//! The objects are listed, checked as a whole, written as one chunk and put in force by one
//! conditional update of the manifest. A reader takes a manifest only with its chunk.

use std::sync::Arc;

use indexmap::IndexMap;
use serde_json::{Value, json};
use siskinstile_macros::value;

use crate::{
    check::{self, Fault},
    config::Config,
    log,
    object::{Kind, Name, Set},
    store::{Answer, Call, Object, Tag},
};

/// Kind and name of the manifest.
pub const MANIFEST: &str = "manifest";
/// Kind of the chunks.
pub const CHUNK: &str = "chunk";
/// Kind of the status objects.
pub const STATUS: &str = "status";
/// Name of the manifest that is in force.
const CURRENT: &str = "current";

/// What the synchronisation wants done.
#[value]
pub enum Output {
    /// Call the platform.
    Call(Tag, Call),
    /// Put a configuration in force.
    Adopt(Arc<Config>),
    /// Write a log event.
    Log(log::Record),
}

/// A publication under way.
#[value]
struct Draft {
    listed: IndexMap<Kind, Vec<Object>>,
    value: Value,
    hash: Name,
}

/// The synchronisation of one instance with the platform.
#[value(default)]
pub struct Sync {
    revision: Option<u64>,
    generation: u64,
    manifest_version: u64,
    published: Option<Name>,
    draft: Option<Draft>,
    again: bool,
}

impl Sync {
    /// Starts: reads the manifest in force.
    pub fn start(&self) -> Vec<Output> {
        vec![get_manifest()]
    }

    /// Takes an answer of the platform.
    pub fn stored(&mut self, tag: &Tag, answer: Answer, leader: bool) -> Vec<Output> {
        match (tag, answer) {
            (Tag::Watch, answer) => self.watched(answer, leader),
            (Tag::Manifest, answer) => self.manifest_read(answer, leader),
            (Tag::Chunk(generation), Answer::Object(object)) => {
                self.chunk_read(*generation, object)
            }
            (Tag::Chunk(_), _) => Vec::new(),
            (Tag::Objects(kind), answer) => self.listed(*kind, answer),
            (Tag::PutChunk, answer) => self.chunk_written(answer),
            (Tag::PutManifest, answer) => self.manifest_written(answer, leader),
            _ => Vec::new(),
        }
    }

    /// Begins a publication unless one is under way.
    pub fn publish(&mut self) -> Vec<Output> {
        if self.draft.is_some() {
            self.again = true;
            return Vec::new();
        }
        self.again = false;
        self.draft =
            Some(Draft { listed: IndexMap::new(), value: Value::Null, hash: Name::from("") });
        Kind::ALL
            .into_iter()
            .map(|kind| Output::Call(Tag::Objects(kind), Call::List { kind: kind.as_str().into() }))
            .collect()
    }

    fn watched(&mut self, answer: Answer, leader: bool) -> Vec<Output> {
        let Answer::Objects { revision, objects } = answer else {
            self.revision = None;
            return vec![get_manifest()];
        };
        self.revision = Some(revision);
        let mut out = vec![self.watch()];
        if objects.iter().any(|it| &*it.kind == MANIFEST) {
            out.push(get_manifest());
        }
        if leader && objects.iter().any(|it| Kind::parse(&it.kind).is_some()) {
            out.extend(self.publish());
        }
        out
    }

    fn watch(&self) -> Output {
        let kinds = Kind::ALL.iter().map(|it| it.as_str()).chain([MANIFEST]);
        let call = Call::Watch {
            kinds: kinds.map(Name::from).collect(),
            since: self.revision.unwrap_or(0),
        };
        Output::Call(Tag::Watch, call)
    }

    fn manifest_read(&mut self, answer: Answer, leader: bool) -> Vec<Output> {
        let mut out = Vec::new();
        match answer {
            Answer::Object(object) => {
                self.manifest_version = object.version;
                let value = object.value.unwrap_or_default();
                let generation = value["generation"].as_u64().unwrap_or(0);
                let chunk = value["chunk"].as_str().unwrap_or_default();
                self.published = Some(chunk.into());
                if generation > self.generation {
                    let call = Call::Get { kind: CHUNK.into(), name: chunk.into() };
                    out.push(Output::Call(Tag::Chunk(generation), call));
                }
            }
            Answer::Missing => self.manifest_version = 0,
            _ => return vec![get_manifest()],
        }
        if self.revision.is_none() {
            self.revision = Some(self.manifest_version);
            out.push(self.watch());
            if leader {
                out.extend(self.publish());
            }
        }
        out
    }

    fn chunk_read(&mut self, generation: u64, object: Object) -> Vec<Output> {
        if generation <= self.generation {
            return Vec::new();
        }
        match serde_json::from_value::<Set>(object.value.unwrap_or_default()) {
            Ok(set) => {
                self.generation = generation;
                vec![Output::Adopt(Arc::new(Config::new(generation, set)))]
            }
            Err(error) => {
                let record = log::Record::new(log::CONFIG_UNREADABLE, error.to_string());
                vec![Output::Log(record)]
            }
        }
    }

    fn listed(&mut self, kind: Kind, answer: Answer) -> Vec<Output> {
        let (Some(draft), Answer::Objects { objects, .. }) = (&mut self.draft, answer) else {
            self.draft = None;
            return Vec::new();
        };
        draft.listed.insert(kind, objects);
        if draft.listed.len() < Kind::ALL.len() {
            return Vec::new();
        }
        self.examine()
    }

    /// Checks the whole set; nothing is written for a set with errors but their statuses.
    fn examine(&mut self) -> Vec<Output> {
        let Some(draft) = &mut self.draft else { return Vec::new() };
        let mut set = Set::default();
        let mut broken: IndexMap<(Kind, Name), String> = IndexMap::new();
        for (kind, object) in objects(&draft.listed) {
            let value = object.value.clone().unwrap_or_default();
            if let Err(error) = set.insert(kind, value) {
                broken.insert((kind, object.name.clone()), error.to_string());
            }
        }
        for fault in check::check(&set) {
            let Fault { kind, name, field, problem } = fault;
            let text = broken.entry((kind, name)).or_default();
            text.push_str(&format!("{field}: {problem}; "));
        }
        let mut out: Vec<Output> = objects(&draft.listed)
            .map(|(kind, object)| status(kind, object, broken.get(&(kind, object.name.clone()))))
            .collect();
        if !broken.is_empty() {
            let detail = format!("{} objects with errors", broken.len());
            out.push(Output::Log(log::Record::new(log::CONFIG_REFUSED, detail)));
            self.draft = None;
            return out;
        }
        draft.value = serde_json::to_value(&set).expect("a set is plain data");
        draft.hash = crate::key::hash(b"", &draft.value.to_string())[..32].into();
        if self.published.as_ref() == Some(&draft.hash) {
            self.draft = None;
            return out;
        }
        let call = Call::Put {
            kind: CHUNK.into(),
            name: draft.hash.clone(),
            value: draft.value.clone(),
            if_version: None,
        };
        out.push(Output::Call(Tag::PutChunk, call));
        out
    }

    fn chunk_written(&mut self, answer: Answer) -> Vec<Output> {
        let (Some(draft), Answer::Written { .. }) = (&self.draft, answer) else {
            self.draft = None;
            return Vec::new();
        };
        let call = Call::Put {
            kind: MANIFEST.into(),
            name: CURRENT.into(),
            value: json!({ "generation": self.generation + 1, "chunk": draft.hash }),
            if_version: Some(self.manifest_version),
        };
        vec![Output::Call(Tag::PutManifest, call)]
    }

    fn manifest_written(&mut self, answer: Answer, leader: bool) -> Vec<Output> {
        self.draft = None;
        let mut out = vec![get_manifest()];
        if let Answer::Written { .. } = answer {
            let detail = format!("generation {}", self.generation + 1);
            out.push(Output::Log(log::Record::new(log::CONFIG_PUBLISHED, detail)));
        }
        if leader && self.again {
            out.extend(self.publish());
        }
        out
    }
}

fn get_manifest() -> Output {
    Output::Call(Tag::Manifest, Call::Get { kind: MANIFEST.into(), name: CURRENT.into() })
}

fn objects(listed: &IndexMap<Kind, Vec<Object>>) -> impl Iterator<Item = (Kind, &Object)> {
    listed.iter().flat_map(|(kind, objects)| objects.iter().map(|object| (*kind, object)))
}

fn status(kind: Kind, object: &Object, error: Option<&String>) -> Output {
    let name = format!("{}.{}", kind.as_str(), object.name);
    let value =
        json!({ "checked_version": object.version, "valid": error.is_none(), "error": error });
    let call = Call::Put { kind: STATUS.into(), name: name.into(), value, if_version: None };
    Output::Call(Tag::Status, call)
}
