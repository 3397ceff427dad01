//! Handover of requests by an instance that reaches no endpoint, and what must not set it off.

use std::{collections::HashMap, sync::Arc, time::Duration};

use rstest::rstest;
use siskinstile_core::name_hash::NameHash;
use siskinstile_gateway::{
    Catalog, Effect, Event, Name,
    call::{Outcome, Step},
    effect::HandOver,
    handover::{self, Report},
    record,
    request::{Arrival, Id},
};
use siskinstile_wire::message::heartbeat::Heartbeat;

use crate::site::{Site, draft, ended};

/// Time within which an instance notices that it reaches no endpoint.
const NOTICE_MS: u64 = 1_000;
/// Time within which links that return are used.
const RETURN_MS: u64 = 3_000;

/// An instance with peers, whose heartbeats arrive.
struct Fleet {
    site: Site,
    peers: Vec<(Name, Name)>,
    number: u64,
    cut_off: Vec<Name>,
}

impl Fleet {
    /// Starts an instance in the data centre `north` with peers in the given ones.
    fn open(datacentres: &[&str]) -> Fleet {
        let name = |number| Name::from(format!("peer-{number}"));
        let peers = datacentres.iter().enumerate();
        let peers = peers.map(|(number, it)| (name(number), Name::from(*it))).collect();
        let mut fleet = Fleet { site: Site::configured(), peers, number: 0, cut_off: Vec::new() };
        fleet.beat();
        fleet
    }

    /// The same for an instance that is cut off and has noticed it.
    fn cut_off(datacentres: &[&str]) -> Fleet {
        let mut fleet = Fleet::open(datacentres);
        fleet.site.answers = Some(false);
        fleet.site.advance(NOTICE_MS);
        fleet.beat();
        fleet.site.send("/lookup/");
        fleet.site.effects.clear();
        fleet
    }

    /// Lets a heartbeat of each peer arrive.
    fn beat(&mut self) {
        self.number += 1;
        for (name, datacentre) in &self.peers {
            self.site.post(Event::Heartbeat(Box::new(Heartbeat {
                name: name.to_string(),
                incarnation: 1,
                number: self.number,
                datacentre: datacentre.to_string(),
                cut_off: self.cut_off.contains(name),
                ..Heartbeat::default()
            })));
        }
    }

    /// Advances time while heartbeats arrive.
    fn advance(&mut self, ms: u64) {
        for _ in 0..ms / 100 {
            self.site.advance(100);
            self.beat();
        }
    }

    fn handovers(&mut self) -> Vec<HandOver> {
        let effects = std::mem::take(&mut self.site.effects);
        let (handovers, rest) =
            effects.into_iter().partition(|it| matches!(it, Effect::HandOver(_)));
        self.site.effects = rest;
        let handover = |it: Effect| match it {
            Effect::HandOver(it) => Some(it),
            _ => None,
        };
        let handovers: Vec<Effect> = handovers;
        handovers.into_iter().filter_map(handover).collect()
    }

    fn report(&mut self, handover: &HandOver, outcome: handover::Outcome) {
        self.site.post(Event::HandedOver(Report { id: handover.id, outcome }));
    }

    fn logged(&self, code: u16) -> usize {
        let is_logged =
            |it: &&Effect| matches!(it, Effect::Log(record) if record.code.number == code);
        self.site.effects.iter().filter(is_logged).count()
    }
}

/// Guards against a handover for one endpoint that is silent for a second, and for a service that is
/// down for all, since endpoints of other services accept connections.
#[rstest]
#[case::silent(false)]
#[case::service_down(true)]
fn no_handover_without_need(#[case] is_down: bool) {
    let mut fleet = Fleet::open(&["north", "south"]);
    for _ in 0..10 {
        fleet.site.send("/lookup/");
        for call in fleet.site.calls().into_iter().filter(|_| is_down) {
            let (sent, unresponsive, cause) = (false, true, "unreachable");
            let (ended, closed, last_event) = (false, false, None);
            fleet.site.report(
                call.id,
                Outcome::Failed { sent, unresponsive, ended, closed, last_event, cause },
            );
        }
        fleet.advance(100);
    }
    assert!(fleet.handovers().is_empty());
    assert_eq!(fleet.logged(record::CUT_OFF.number), 0);
}

/// Guards against requests that are lost while the reach is in doubt: the first one after a silence, or
/// after a start without links, waits for the probes and is handed over, not sent on an idle connection
/// that shows nothing.
#[rstest]
#[case::silence(2_000)]
#[case::start(0)]
fn first_request_after_silence(#[case] silence_ms: u64) {
    let mut fleet = Fleet::open(&["north"]);
    fleet.site.answers = None;
    fleet.advance(silence_ms);
    fleet.site.effects.clear();
    let id = fleet.site.send("/issue/");
    assert!(fleet.site.calls().is_empty(), "nothing is sent before a probe has ended");
    for _ in 0..6 {
        let round = fleet.site.effects.iter().rev().find_map(|it| match it {
            Effect::Probe { round, .. } => Some(*round),
            _ => None,
        });
        let round = round.expect("probes");
        fleet.site.post(Event::Probed { round, answered: false });
    }
    let handovers = fleet.handovers();
    assert_eq!(handovers.iter().map(|it| it.request).collect::<Vec<_>>(), [id]);
    assert_eq!(fleet.logged(record::CUT_OFF.number), 1);
}

/// Guards against links that have returned and are not used, and against ejections that outlast them.
#[test]
fn links_return() {
    let mut fleet = Fleet::cut_off(&["north"]);
    fleet.site.send("/lookup/");
    assert_eq!(fleet.handovers().len(), 1);
    fleet.site.answers = Some(true);
    fleet.advance(RETURN_MS);
    assert_eq!(fleet.logged(record::CONNECTED.number), 1);
    fleet.site.calls();
    fleet.site.send("/lookup/");
    assert!(fleet.handovers().is_empty());
    assert_eq!(fleet.site.calls().len(), 1);
}

/// Guards against requests that go round in the fleet: what a peer has handed over is refused by an
/// instance that is cut off itself. So is what comes from a peer with a newer configuration, whose caller
/// would see an older one again.
#[rstest]
#[case::one_hop_only(true, 1)]
#[case::older_configuration(false, 2)]
fn handed_over_refused(#[case] is_cut_off: bool, #[case] version: u64) {
    let open = if is_cut_off { Fleet::cut_off } else { Fleet::open };
    let mut fleet = open(&["north"]);
    fleet.site.post(Event::Arrival(Arrival {
        id: Id(900),
        request_id: "request-900".into(),
        host: "board.example".into(),
        path: "/lookup/1".into(),
        content: NameHash(900),
        key: Some("key-a".into()),
        tokens: None,
        prompt_parts: Vec::new(),
        max_wait: None,
        last_event: None,
        resumes: None,
        handed_over: Some(version),
    }));
    assert!(fleet.handovers().is_empty() && fleet.site.calls().is_empty());
    assert_eq!(fleet.site.failure(Id(900)).map(|it| it.0), Some(503));
}

/// Guards against quotas that are spent twice: the peer charges the team.
#[test]
fn team_charged_once() {
    let mut fleet = Fleet::cut_off(&["north"]);
    for _ in 0..40 {
        fleet.site.send("/review/");
    }
    assert_eq!(fleet.handovers().len(), 40, "40 prompts are twice what the team may ask for");
}

/// Guards against a peer that takes all: requests spread over the own data centre, up to a limit for
/// each, and then go farther.
#[test]
fn peers_share() {
    let mut fleet = Fleet::cut_off(&["north", "north", "north", "south"]);
    for _ in 0..30 {
        fleet.site.send("/lookup/");
    }
    let mut counts: HashMap<Name, usize> = HashMap::new();
    for it in fleet.handovers() {
        *counts.entry(it.peer).or_default() += 1;
    }
    let near = ["peer-0", "peer-1", "peer-2"].map(|it| counts.get(it).copied().unwrap_or(0));
    assert!(near.iter().all(|it| (9..=11).contains(it)), "{near:?}");
    for _ in 0..200 {
        fleet.site.send("/lookup/");
    }
    let far = fleet.handovers().iter().filter(|it| *it.peer == *"peer-3").count();
    assert!(far > 0, "the others are full");
}

/// Guards against bodies that leave the regions in which a route must be processed, also when no peer there
/// can take the request.
#[rstest]
#[case::peer_there(&["south", "north"], Some("peer-1"))]
#[case::none_there(&["south", "south"], None)]
fn homes_hold(#[case] datacentres: &[&str], #[case] peer: Option<&str>) {
    let mut fleet = Fleet::cut_off(datacentres);
    let mut draft = draft(2);
    draft.routes.iter_mut().for_each(|it| it.regions = vec!["upper".into()]);
    let catalog = Catalog::check(draft).expect("the draft is sound");
    fleet.site.post(Event::Configured(Arc::new(catalog)));
    let id = fleet.site.send("/issue/");
    let handover = fleet.handovers().pop();
    assert_eq!(handover.as_ref().map(|it| &*it.peer), peer);
    assert_eq!(fleet.site.failure(id).is_some(), peer.is_none());
}

/// Guards against memory and connections without a bound: beyond a number of open handovers requests are
/// refused at once.
#[test]
fn handovers_bounded() {
    let mut fleet = Fleet::cut_off(&["north"; 20]);
    let ids: Vec<Id> = (0..700).map(|_| fleet.site.send("/lookup/")).collect();
    let handed_over = fleet.handovers().len();
    let refused = ids.iter().filter(|it| fleet.site.failure(**it).is_some()).count();
    assert!(handed_over <= 512 && handed_over + refused == 700, "{handed_over}, {refused}");
}

/// Guards against peers that cannot serve the request: those that are cut off themselves, or silent.
#[test]
fn unfit_peers() {
    let mut fleet = Fleet::cut_off(&["north", "north", "south"]);
    fleet.cut_off = vec!["peer-0".into(), "peer-1".into()];
    fleet.beat();
    fleet.site.send("/lookup/");
    assert_eq!(fleet.handovers().iter().map(|it| &*it.peer).collect::<Vec<_>>(), ["peer-2"]);
    fleet.site.advance(2_500);
    let id = fleet.site.send("/lookup/");
    assert!(fleet.handovers().is_empty());
    assert_eq!(fleet.site.failure(id).map(|it| it.0), Some(503));
}

/// Guards against requests that are refused although other peers would take them, and against endless
/// tries.
#[test]
fn not_taken() {
    let mut fleet = Fleet::cut_off(&["north"; 5]);
    let id = fleet.site.send("/issue/");
    let mut tried = Vec::new();
    while let Some(handover) = fleet.handovers().pop() {
        assert!(!tried.contains(&handover.peer));
        fleet.report(&handover, handover::Outcome::NotTaken { cause: "refused" });
        tried.push(handover.peer);
    }
    assert_eq!(tried.len(), 3);
    let (status, retry_after) = fleet.site.failure(id).expect("a refusal");
    assert!(status == 503 && retry_after.is_some());
}

/// Guards against tries that are all spent in a data centre that is cut off as a whole and has not told so.
#[test]
fn not_taken_elsewhere() {
    let mut fleet = Fleet::cut_off(&["north", "north", "north", "south"]);
    fleet.site.send("/issue/");
    let first = fleet.handovers().pop().expect("a handover");
    assert!(*first.peer != *"peer-3");
    fleet.report(&first, handover::Outcome::NotTaken { cause: "refused" });
    assert_eq!(&*fleet.handovers().pop().expect("another one").peer, "peer-3");
}

/// Guards against a second run: where the hop breaks the request may have run, and is not sent again.
#[test]
fn hop_broken() {
    let mut fleet = Fleet::cut_off(&["north", "north"]);
    let id = fleet.site.send("/issue/");
    let handover = fleet.handovers().pop().expect("a handover");
    fleet.report(&handover, handover::Outcome::Broken);
    assert!(fleet.handovers().is_empty());
    assert_eq!(fleet.site.failure(id).map(|it| it.0), Some(502));
}

/// Guards against requests that never end: a peer that does not answer has the time of the request,
/// and the hop is closed then.
#[test]
fn peer_silent() {
    let mut fleet = Fleet::cut_off(&["north"]);
    let id = fleet.site.send("/issue/");
    let handover = fleet.handovers().pop().expect("a handover");
    assert_eq!(handover.time_left, Duration::from_millis(800));
    fleet.advance(1_000);
    assert_eq!(fleet.site.failure(id).map(|it| it.0), Some(504));
    let is_cancelled = |it: &Effect| matches!(it, Effect::Cancel(call) if *call == handover.id);
    assert!(fleet.site.effects.iter().any(is_cancelled));
}

/// Guards against a stop that cuts requests which peers are serving, and against callers who have left
/// and whose work goes on.
#[rstest]
#[case::drain(false)]
#[case::caller_leaves(true)]
fn handover_ends(#[case] caller_leaves: bool) {
    let mut fleet = Fleet::cut_off(&["north"]);
    let id = fleet.site.send("/review/");
    let open = fleet.site.state.open_requests();
    let handover = fleet.handovers().pop().expect("a handover");
    if caller_leaves {
        fleet.site.post(Event::Disconnected(id));
        let is_cancelled = |it: &Effect| matches!(it, Effect::Cancel(call) if *call == handover.id);
        assert!(fleet.site.effects.iter().any(is_cancelled));
        return assert_eq!(fleet.site.state.open_requests(), open - 1);
    }
    fleet.site.post(Event::Drain);
    fleet.report(&handover, handover::Outcome::Answered { status: 200 });
    fleet.advance(4_500);
    let is_stopped = |it: &Effect| matches!(it, Effect::Stopped);
    assert!(!fleet.site.effects.iter().any(is_stopped), "the stream goes on");
    fleet.site.post(Event::Disconnected(id));
    assert!(fleet.site.effects.iter().any(is_stopped));
}

/// Guards against work that is lost with the links: open requests that have not run are handed over,
/// idempotent ones that were sent take a retry, and at-most-once ones that were sent stay.
#[test]
fn open_requests_move() {
    let mut fleet = Fleet::open(&["north"]);
    fleet.site.send("/lookup/");
    let call = fleet.site.call();
    fleet.site.report(call.id, Outcome::Buffered { status: 200 });
    let lookup = fleet.site.send("/lookup/");
    let prompt = fleet.site.send("/review/");
    let issue = fleet.site.send("/issue/");
    let holds = fleet.site.calls().iter().filter(|it| matches!(it.step, Step::Hold { .. })).count();
    assert_eq!(holds, 1);
    fleet.site.answers = Some(false);
    fleet.advance(NOTICE_MS);
    let moved: Vec<Id> = fleet.handovers().iter().map(|it| it.request).collect();
    assert!(moved.contains(&lookup) && moved.contains(&prompt) && !moved.contains(&issue));
}

/// Guards against streams that are joined from two versions: one that was sent and has no event yet stays,
/// since its origin has been told, and a run at a peer could begin it at another version.
#[test]
fn sent_stream_stays() {
    let mut fleet = Fleet::open(&["north"]);
    let stream = fleet.site.send("/review-again/");
    fleet.site.run_generation();
    fleet.site.answers = Some(false);
    fleet.advance(NOTICE_MS);
    assert_eq!(fleet.logged(record::CUT_OFF.number), 1);
    assert!(!fleet.handovers().iter().any(|it| it.request == stream));
}

/// Guards against requests and prompts that are quarantined for crashes of endpoints which only the own
/// links have ended.
#[test]
fn cut_is_no_crash() {
    let mut fleet = Fleet::open(&["north"]);
    for _ in 0..6 {
        fleet.site.send_content("/lookup/", &[], NameHash(7));
    }
    fleet.site.answers = None;
    for call in fleet.site.calls() {
        fleet.site.report(call.id, ended());
        fleet.advance(200);
    }
    fleet.site.effects.clear();
    fleet.site.answers = Some(true);
    fleet.advance(500);
    assert_eq!(fleet.logged(record::REQUEST_QUARANTINED.number), 0);
}
