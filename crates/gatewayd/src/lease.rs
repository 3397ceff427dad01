//! The lease on the platform's store that entitles one instance to give orders to engines.

use std::{rc::Rc, time::Duration};

use siskinstile_core::{
    order::{Candidate, Lease, LeaseClient, Step},
    store as core_store,
};
use siskinstile_gateway::{Event, Name, event};
use tokio::time;

use crate::{
    control::Control,
    store::{Answer, Call, Fault, Kind},
    sync::Follower,
};

/// Name of the lease object.
const ORDERS: &str = "orders";
/// Time between two checks of a lease that this instance holds.
const POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of a lease that another instance holds.
const READ_INTERVAL: Duration = Duration::from_secs(3);
/// Validity of a lease in the event posted to the reducer; longer than `POLL_INTERVAL`, so that it
/// does not expire between two checks.
const VALIDITY: Duration = Duration::from_millis(900);
/// Bits of a fencing token below the era of the store.
const ERA_SHIFT: u32 = 32;

/// Acquires and renews the lease while this instance should hold it according to the reducer.
///
/// Posts the fencing token, or its absence, to the reducer after each step; runs until the process
/// ends.
pub async fn contend(
    control: Rc<Control>,
    follower: Rc<Follower>,
    candidate: Candidate,
    first_start: bool,
) {
    let mut client = LeaseClient::new(candidate);
    if !first_start {
        // A missing lease may have been lost in a restore before this start.
        client.platform_restored(control.now());
    }
    let mut era = follower.era();
    loop {
        let now = control.now();
        let should_hold = control.read(|state| state.should_hold_lease(now));
        let pause = match client.poll(now, should_hold) {
            Step::Wait => POLL_INTERVAL,
            step => {
                let answer = follower.call(&call(&step)).await;
                let read = step == Step::Read;
                client.handle_answer(control.now(), convert(answer, read));
                if read { READ_INTERVAL } else { POLL_INTERVAL }
            }
        };
        let now = control.now();
        if follower.era() != era {
            // A first era is no restore, but a conditional write may have crossed one.
            client.platform_restored(now);
            era = follower.era();
        }
        let until = now + VALIDITY;
        let may_order = client.may_order_unfenced(now);
        let token = client.fence(until).filter(|_| may_order).map(|it| token(era, it));
        control.post(Event::Lease(token.map(|token| event::Lease { token, until })));
        time::sleep(pause).await;
    }
}

/// Returns the fencing token of a lease; it rises with the era of the store, in which the fence of
/// the lease may start anew.
fn token(era: Option<u64>, fence: u64) -> u64 {
    (era.unwrap_or_default() << ERA_SHIFT) | fence
}

fn call(step: &Step) -> Call {
    let (kind, name) = (Kind::Leases, Name::from(ORDERS));
    match step {
        Step::Write { lease, if_version: 0 } => Call::Create { kind, name, value: lease.value() },
        Step::Write { lease, if_version } => {
            Call::Replace { kind, name, revision: Some(*if_version), value: lease.value() }
        }
        Step::Read | Step::Wait => Call::Read { kind, name },
    }
}

/// Converts the store's answer into the type of the lease's state machine.
fn convert(answer: Result<Answer, Fault>, read: bool) -> core_store::Answer {
    match answer {
        Ok(Answer::Object(object)) if read => core_store::Answer::Object(core_store::Object {
            kind: Kind::Leases.as_str().into(),
            name: object.name,
            version: object.position.revision,
            value: Lease::parse(&object.value).map(|it| it.value()),
        }),
        Ok(Answer::Object(object)) => {
            core_store::Answer::Written { version: object.position.revision }
        }
        Ok(Answer::Missing) => core_store::Answer::Missing,
        Ok(Answer::Conflict(_)) => core_store::Answer::Conflict,
        _ => core_store::Answer::Lost,
    }
}
