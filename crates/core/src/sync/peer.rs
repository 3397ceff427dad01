//! Exchange of the configuration with peers: as a delta where possible, otherwise as chunks.

use std::time::Duration;

use indexmap::IndexMap;
use siskinstile_wire::message::config as wire;

use super::{
    Output, Sync,
    fetch::{Fetch, MAX_BATCH, Source},
    unreadable,
};
use crate::{
    Instant,
    chunk::{self, Bucket, Change, Index},
    fault::Fault,
    object::{Kind, Name},
};

/// Time without a chunk after which a fetch from a peer is restarted.
pub(super) const FETCH_TIMEOUT: Duration = Duration::from_secs(2);

impl Sync {
    /// Requests the configuration of a peer whose generation is newer than the one in force here,
    /// unless a fetch of that generation is making progress.
    pub fn handle_generation(&mut self, now: Instant, from: &Name, generation: u64) -> Vec<Output> {
        if !self.is_newer(generation) || self.fault == Some(Fault::IgnorePeers) {
            return Vec::new();
        }
        match &self.fetch {
            Some(fetch)
                if fetch.generation >= generation
                    && now.since(fetch.last_progress) < FETCH_TIMEOUT =>
            {
                Vec::new()
            }
            _ => vec![fetch_request(from, self.config.generation)],
        }
    }

    /// Processes a message of another instance.
    pub fn handle_message(&mut self, now: Instant, from: &Name, kind: wire::Kind) -> Vec<Output> {
        match kind {
            wire::Kind::Fetch(it) => self.send_newer(from, it.generation),
            wire::Kind::Delta(delta) => self.apply_delta(from, delta),
            wire::Kind::Index(index) => self.start_fetch(now, from, &index),
            wire::Kind::FetchChunks(request) => self.send_chunks(from, &request),
            wire::Kind::Chunk(it) => self.receive_chunk(now, from, it),
        }
    }

    /// Sends a delta from `generation`, or the index if the history does not go back that far.
    fn send_newer(&self, to: &Name, generation: u64) -> Vec<Output> {
        if generation >= self.config.generation && self.fault != Some(Fault::AdoptOlder) {
            return Vec::new();
        }
        let reply = match self.history.since(generation) {
            Some((newest, digest, changes)) => wire::Kind::Delta(wire::Delta {
                from: generation,
                to: newest,
                digest: digest.to_string(),
                changes: changes.into_iter().map(encode).collect(),
            }),
            None => wire::Kind::Index(self.wire_index()),
        };
        vec![Output::Send(to.clone(), reply)]
    }

    fn wire_index(&self) -> wire::Index {
        let entry = |(bucket, hash): (&Bucket, &Name)| wire::Entry {
            bucket: bucket.id(),
            hash: hash.to_string(),
        };
        let chunks = self.index.0.iter().map(entry).collect();
        wire::Index { generation: self.config.generation, chunks }
    }

    fn apply_delta(&mut self, from: &Name, delta: wire::Delta) -> Vec<Output> {
        if delta.from != self.config.generation || delta.to <= delta.from {
            return Vec::new();
        }
        let changes: Option<Vec<Change>> = delta.changes.into_iter().map(decode).collect();
        let Some(changes) = changes else { return vec![fetch_request(from, 0)] };
        let mut set = self.config.set.clone();
        let touched = match chunk::apply(&mut set, &changes) {
            Ok(touched) => touched,
            Err(error) => return vec![unreadable(&error), fetch_request(from, 0)],
        };
        let mut index = self.index.clone();
        index.refresh(&set, touched);
        match *index.digest() == *delta.digest {
            true => self.adopt(delta.to, set, index),
            // The delta does not result in the published configuration, so all chunks are fetched.
            false => vec![fetch_request(from, 0)],
        }
    }

    fn start_fetch(&mut self, now: Instant, from: &Name, index: &wire::Index) -> Vec<Output> {
        let busy = self.fetch.as_ref().is_some_and(|it| {
            it.generation >= index.generation && now.since(it.last_progress) < FETCH_TIMEOUT
        });
        if !self.is_newer(index.generation) || busy {
            return Vec::new();
        }
        let entry =
            |it: &wire::Entry| Some((Bucket::parse(&it.bucket)?, Name::from(it.hash.as_str())));
        let hashes: Option<IndexMap<Bucket, Name>> = index.chunks.iter().map(entry).collect();
        let Some(hashes) = hashes else { return Vec::new() };
        let source = Source::Peer(from.clone());
        let earlier = self.fetch.take();
        let fetch = Fetch::new(now, index.generation, Index(hashes), source, &self.index, earlier);
        self.fetch = Some(fetch);
        self.request_chunks(from)
    }

    /// Requests the next chunks, or adopts the generation if none is missing.
    fn request_chunks(&mut self, from: &Name) -> Vec<Output> {
        let Some(fetch) = &mut self.fetch else { return Vec::new() };
        if fetch.missing().next().is_none() {
            return self.finish_fetch();
        }
        let buckets: Vec<String> = fetch.next_batch().into_iter().map(Bucket::id).collect();
        if buckets.is_empty() {
            return Vec::new();
        }
        let request = wire::FetchChunks { generation: fetch.generation, buckets };
        vec![Output::Send(from.clone(), wire::Kind::FetchChunks(request))]
    }

    /// Sends chunks of the generation in force, or its index if another generation was requested.
    fn send_chunks(&self, to: &Name, request: &wire::FetchChunks) -> Vec<Output> {
        if request.generation != self.config.generation {
            return vec![Output::Send(to.clone(), wire::Kind::Index(self.wire_index()))];
        }
        let buckets = request.buckets.iter().take(MAX_BATCH).filter_map(|it| Bucket::parse(it));
        let chunk = |bucket: Bucket| {
            let text = chunk::encode(&self.config.set, bucket);
            let chunk = wire::Chunk { bucket: bucket.id(), text };
            Output::Send(to.clone(), wire::Kind::Chunk(chunk))
        };
        buckets.map(chunk).collect()
    }

    fn receive_chunk(&mut self, now: Instant, from: &Name, chunk: wire::Chunk) -> Vec<Output> {
        let Some(bucket) = Bucket::parse(&chunk.bucket) else { return Vec::new() };
        let is_source = |it: &&mut Fetch| matches!(&it.source, Source::Peer(peer) if peer == from);
        let Some(fetch) = self.fetch.as_mut().filter(is_source) else { return Vec::new() };
        fetch.last_progress = now;
        let mut out = self.add_chunk(bucket, chunk.text);
        out.extend(self.request_chunks(from));
        out
    }
}

fn fetch_request(from: &Name, generation: u64) -> Output {
    Output::Send(from.clone(), wire::Kind::Fetch(wire::Fetch { generation }))
}

fn encode(change: Change) -> wire::Change {
    let Change { kind, name, value } = change;
    wire::Change { kind: kind.as_str().to_owned(), name: name.to_string(), value }
}

fn decode(change: wire::Change) -> Option<Change> {
    let kind = Kind::parse(&change.kind)?;
    Some(Change { kind, name: change.name.into(), value: change.value })
}
