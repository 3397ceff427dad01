//! Decode: import of a KV cache, the hold and the stream of tokens.

use std::{
    io,
    sync::Arc,
    time::{Duration, Instant},
};

use serde::Deserialize;
use serde_json::json;

use super::{
    Shared,
    cache::token_at,
    config::Role,
    state::{Cancel, Hold, Id},
};
use crate::http::{Answer, Call, EventStream, error};

/// Longest time to connect to a prefill engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time without a byte from a prefill engine.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Time between comment lines while no token is sent.
const COMMENT_INTERVAL: Duration = Duration::from_millis(500);

/// Body of an import call.
#[derive(Deserialize)]
struct Import {
    request: String,
    attempt: u64,
    model: String,
    kv: String,
    from: String,
    tokens: u64,
    max_tokens: u64,
}

/// Body of a decode call.
#[derive(Deserialize)]
struct Decode {
    request: String,
    attempt: u64,
    #[serde(default)]
    from_index: u64,
}

/// One stream of a hold.
struct Stream {
    id: Id,
    hash: u16,
    max_tokens: u64,
    from_index: u64,
    /// Ends the hold.
    cancel: Cancel,
    /// Ends this stream only.
    replaced: Cancel,
    breaks_after: Option<u64>,
}

/// How a stream came to its end.
enum End {
    /// All tokens were sent.
    Complete,
    /// It was cancelled or another stream took its place.
    Cancelled,
    /// A knob broke it.
    Broken,
}

impl Shared {
    pub(super) fn import(&self, call: &Call) -> Result<Answer, Answer> {
        let body: Import = call.json()?;
        self.check(Role::Decode, &body.model)?;
        let id = Id { request: body.request.clone(), attempt: body.attempt };
        let Some(cancel) = self.reserve(&id, &body)? else {
            return Ok(Answer::Json(200, json!({})));
        };
        let pulled = pull(&body).and_then(|()| self.transfer(body.tokens, &cancel));
        let mut state = self.state();
        if let Err(answer) = pulled {
            if !cancel.is_set() {
                state.holds.shift_remove(&id);
            }
            return Err(answer);
        }
        let wait = Duration::from_millis(state.config.decode_wait_ms);
        state.totals.imports += 1;
        let hold = state.holds.get_mut(&id).ok_or_else(|| error(409, "cancelled"))?;
        hold.imported = true;
        hold.deadline = Some(Instant::now() + wait);
        Ok(Answer::Json(200, json!({})))
    }

    pub(super) fn decode(self: &Arc<Self>, call: &Call) -> Result<Answer, Answer> {
        let body: Decode = call.json()?;
        let id = Id { request: body.request, attempt: body.attempt };
        let mut state = self.state();
        let hold = state
            .holds
            .get_mut(&id)
            .filter(|it| it.imported && it.deadline.is_none_or(|at| at > Instant::now()))
            .ok_or_else(|| error(404, "not held"))?;
        let (cancel, hash, max_tokens) = (hold.cancel.clone(), hold.hash, hold.max_tokens);
        let from_index = body.from_index;
        drop(state);
        let shared = Arc::clone(self);
        Ok(Answer::Stream(Box::new(move |events| {
            let replaced = Cancel::default();
            let breaks_after = shared.faults.take_break();
            let stream =
                Stream { id, hash, max_tokens, from_index, cancel, replaced, breaks_after };
            shared.start(&stream);
            let end = shared.run(&stream, events);
            shared.end(&stream, &end);
            !matches!(end, Ok(End::Complete | End::Cancelled))
        })))
    }

    /// Takes a place and memory; returns none if the attempt has been imported already.
    fn reserve(&self, id: &Id, body: &Import) -> Result<Option<Cancel>, Answer> {
        let hash = body.kv.rsplit('-').next().and_then(|it| u16::from_str_radix(it, 16).ok());
        let hash = hash.ok_or_else(|| error(400, "kv"))?;
        let memory = body.tokens + body.max_tokens;
        let mut state = self.state();
        match state.holds.get(id) {
            Some(hold) if hold.imported => return Ok(None),
            Some(_) => return Err(error(409, "importing")),
            None if !state.has_room(memory) => return Err(error(409, "full")),
            None => {}
        }
        let cancel = Cancel::default();
        let hold = Hold {
            hash,
            memory,
            max_tokens: body.max_tokens,
            generated: 0,
            deadline: None,
            imported: false,
            cancel: cancel.clone(),
            stream: None,
        };
        state.holds.insert(id.clone(), hold);
        Ok(Some(cancel))
    }

    fn transfer(&self, tokens: u64, cancel: &Cancel) -> Result<(), Answer> {
        let ms = self.state().config.transfer_ms * tokens as f64 / 1_000.0;
        let done = self.sleep(Duration::from_secs_f64(ms / 1_000.0), cancel);
        done.then_some(()).ok_or_else(|| error(409, "cancelled"))
    }

    /// Makes a stream the one of its hold and ends the one before.
    fn start(&self, stream: &Stream) {
        let mut state = self.state();
        if let Some(hold) = state.holds.get_mut(&stream.id) {
            hold.deadline = None;
            if let Some(earlier) = hold.stream.replace(stream.replaced.clone()) {
                earlier.set();
            }
        }
    }

    fn run(&self, stream: &Stream, events: &mut EventStream) -> io::Result<End> {
        for index in stream.from_index..stream.max_tokens {
            if stream.breaks_after == Some(index - stream.from_index) {
                return Ok(End::Broken);
            }
            if !self.generate(stream, index, events)? {
                return Ok(End::Cancelled);
            }
            let token = token_at(stream.hash, index);
            events.data(&json!({"index": index, "token": token}))?;
        }
        events.data(&json!({"end": "length", "tokens": stream.max_tokens}))?;
        Ok(End::Complete)
    }

    /// Takes the time of a token unless it exists; returns whether the stream goes on.
    fn generate(&self, stream: &Stream, index: u64, events: &mut EventStream) -> io::Result<bool> {
        let Some(time) = self.token_time(stream, index) else { return Ok(false) };
        let end = Instant::now() + time;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            if !self.sleep(left.min(COMMENT_INTERVAL), &stream.cancel) || stream.replaced.is_set() {
                return Ok(false);
            }
            if left <= COMMENT_INTERVAL {
                break;
            }
            events.comment()?;
        }
        let mut state = self.state();
        let Some(hold) = state.holds.get_mut(&stream.id) else { return Ok(false) };
        let is_new = hold.generated <= index;
        hold.generated = hold.generated.max(index + 1);
        state.totals.decoded += u64::from(is_new);
        Ok(true)
    }

    /// Returns the time that a token takes now, none where the hold is gone.
    fn token_time(&self, stream: &Stream, index: u64) -> Option<Duration> {
        let state = self.state();
        let hold = state.holds.get(&stream.id)?;
        if index < hold.generated {
            return Some(Duration::ZERO);
        }
        let config = &state.config;
        let filled = state.streaming() as f64 / f64::from(config.slots.max(1));
        let ms = config.token_ms * (1.0 + config.batch_slowdown * filled);
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Frees the hold of a complete stream; one that broke is kept for a while.
    fn end(&self, stream: &Stream, end: &io::Result<End>) {
        let mut state = self.state();
        if stream.replaced.is_set() || stream.cancel.is_set() {
            return;
        }
        if matches!(end, Ok(End::Complete)) {
            state.holds.shift_remove(&stream.id);
            return;
        }
        let wait = Duration::from_millis(state.config.resume_ms);
        if let Some(hold) = state.holds.get_mut(&stream.id) {
            hold.stream = None;
            hold.deadline = Some(Instant::now() + wait);
        }
    }
}

/// Pulls a KV cache from the prefill engine that computed it.
fn pull(body: &Import) -> Result<(), Answer> {
    let answer = attohttpc::get(format!("http://{}/kv/{}", body.from, body.kv))
        .proxy_settings(attohttpc::ProxySettings::builder().build())
        .connect_timeout(CONNECT_TIMEOUT)
        .read_timeout(READ_TIMEOUT)
        .send()
        .map_err(|it| error(502, &it.to_string()))?;
    match answer.status().as_u16() {
        200 => Ok(()),
        404 | 410 => Err(error(410, "evicted")),
        status => Err(error(502, &format!("prefill endpoint answered {status}"))),
    }
}
