//! Decode: the import of a KV cache, the hold on a slot and the token stream.

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
    state::{AttemptId, CancelFlag, Hold},
};
use crate::http::{Answer, Call, EventStream, error};

/// Timeout for a connection to a prefill engine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout for a read from a prefill engine.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between keep-alive comments while no token is sent.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(500);

/// Body of an import call.
#[derive(Deserialize)]
struct ImportBody {
    request: String,
    attempt: u64,
    model: String,
    /// Name of the KV cache.
    kv: String,
    /// Address of the prefill engine that computed the KV cache.
    from: String,
    /// Length of the prompt, in tokens.
    tokens: u64,
    max_tokens: u64,
}

/// Body of a decode call.
#[derive(Deserialize)]
struct DecodeBody {
    request: String,
    attempt: u64,
    /// Index of the first token to send; above 0 when a broken stream is resumed.
    #[serde(default)]
    from_index: u64,
}

/// A token stream of a hold; a later stream of the same hold replaces it.
struct Stream {
    id: AttemptId,
    hash: u16,
    max_tokens: u64,
    from_index: u64,
    /// Cancels the hold and this stream.
    cancel: CancelFlag,
    /// Set when another stream replaces this one.
    replaced: CancelFlag,
    /// Number of tokens after which an injected fault breaks the stream.
    break_after: Option<u64>,
}

/// How a stream ended.
enum End {
    /// All tokens were sent.
    Complete,
    /// The stream was cancelled or replaced by another one.
    Cancelled,
    /// An injected fault broke the stream.
    Broken,
}

impl Shared {
    pub(super) fn import(&self, call: &Call) -> Result<Answer, Answer> {
        let body: ImportBody = call.json()?;
        self.check_role_and_model(Role::Decode, &body.model)?;
        let id = AttemptId { request: body.request.clone(), attempt: body.attempt };
        let Some(cancel) = self.reserve(&id, &body)? else {
            return Ok(Answer::Json(200, json!({})));
        };
        let pulled = pull_kv_cache(&body).and_then(|()| self.transfer(body.tokens, &cancel));
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
        let body: DecodeBody = call.json()?;
        let id = AttemptId { request: body.request, attempt: body.attempt };
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
            let replaced = CancelFlag::default();
            let break_after = shared.faults.take_break();
            let stream = Stream { id, hash, max_tokens, from_index, cancel, replaced, break_after };
            shared.attach(&stream);
            let end = shared.send_tokens(&stream, events);
            shared.detach(&stream, &end);
            !matches!(end, Ok(End::Complete | End::Cancelled))
        })))
    }

    /// Reserves a slot and memory for an import.
    ///
    /// Returns the hold's cancel flag, or `None` if the attempt was already imported.
    fn reserve(&self, id: &AttemptId, body: &ImportBody) -> Result<Option<CancelFlag>, Answer> {
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
        let cancel = CancelFlag::default();
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

    /// Waits for the transfer time of a KV cache.
    fn transfer(&self, tokens: u64, cancel: &CancelFlag) -> Result<(), Answer> {
        let ms = self.state().config.transfer_ms * tokens as f64 / 1_000.0;
        let done = self.sleep(Duration::from_secs_f64(ms / 1_000.0), cancel);
        done.then_some(()).ok_or_else(|| error(409, "cancelled"))
    }

    /// Attaches a stream to its hold and ends the stream that it replaces.
    fn attach(&self, stream: &Stream) {
        let mut state = self.state();
        if let Some(hold) = state.holds.get_mut(&stream.id) {
            hold.deadline = None;
            if let Some(earlier) = hold.stream.replace(stream.replaced.clone()) {
                earlier.set();
            }
        }
    }

    fn send_tokens(&self, stream: &Stream, events: &mut EventStream) -> io::Result<End> {
        for index in stream.from_index..stream.max_tokens {
            if stream.break_after == Some(index - stream.from_index) {
                return Ok(End::Broken);
            }
            if !self.generate_token(stream, index, events)? {
                return Ok(End::Cancelled);
            }
            let token = token_at(stream.hash, index);
            events.data(&json!({"index": index, "token": token}))?;
        }
        events.data(&json!({"end": "length", "tokens": stream.max_tokens}))?;
        Ok(End::Complete)
    }

    /// Generates a token, or returns at once if it was generated before.
    ///
    /// Sends keep-alive comments meanwhile. Returns whether the stream continues.
    fn generate_token(
        &self,
        stream: &Stream,
        index: u64,
        events: &mut EventStream,
    ) -> io::Result<bool> {
        let Some(time) = self.token_time(stream, index) else { return Ok(false) };
        let end = Instant::now() + time;
        loop {
            let remaining = end.saturating_duration_since(Instant::now());
            if !self.sleep(remaining.min(KEEP_ALIVE_INTERVAL), &stream.cancel)
                || stream.replaced.is_set()
            {
                return Ok(false);
            }
            if remaining <= KEEP_ALIVE_INTERVAL {
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

    /// Returns the time to generate a token under the current load; zero if it exists already.
    ///
    /// Returns `None` if the hold no longer exists.
    fn token_time(&self, stream: &Stream, index: u64) -> Option<Duration> {
        let state = self.state();
        let hold = state.holds.get(&stream.id)?;
        if index < hold.generated {
            return Some(Duration::ZERO);
        }
        let config = &state.config;
        let utilization = state.running_streams() as f64 / f64::from(config.slots.max(1));
        let ms = config.token_ms * (1.0 + config.batch_slowdown * utilization);
        Some(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Releases the hold of a complete stream; keeps that of a broken stream for `resume_ms`.
    ///
    /// Does nothing if the stream was cancelled or replaced.
    fn detach(&self, stream: &Stream, end: &io::Result<End>) {
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
fn pull_kv_cache(body: &ImportBody) -> Result<(), Answer> {
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
