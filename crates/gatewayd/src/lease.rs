//! The lease for orders to engines, on the platform's store.

use std::{rc::Rc, time::Duration};

use siskinstile_core::{
    order::{Contender, Holding, Lease, Step},
    store as core,
};
use siskinstile_gateway::{Event, Name, event};
use tokio::time;

use crate::{
    control::Control,
    store::{Answer, Call, Fault, Kind},
    sync::Follower,
};

/// Name of the lease.
const ORDERS: &str = "orders";
/// Time between two looks at an own lease.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two reads of another's lease.
const READ_INTERVAL: Duration = Duration::from_secs(3);
/// Time for which a lease is handed to the reducer; longer than the time between two looks.
const HANDED: Duration = Duration::from_millis(900);

/// Holds the lease whenever this instance should.
pub async fn contend(control: Rc<Control>, follower: Rc<Follower>, name: Name, incarnation: u64) {
    let mut holding = Holding::new(Contender { name, incarnation });
    loop {
        let now = control.now();
        let wanted = control.read(|state| state.should_hold_lease(now));
        let pause = match holding.poll(now, wanted) {
            Step::Wait => LOOK_INTERVAL,
            step => {
                let answer = follower.call(&call(&step)).await;
                let read = step == Step::Read;
                holding.answered(control.now(), translate(answer, read));
                if read { READ_INTERVAL } else { LOOK_INTERVAL }
            }
        };
        let now = control.now();
        let until = now + HANDED;
        let holds = holding.may_order_unfenced(now);
        let token = holding.fence(until).filter(|_| holds);
        control.post(Event::Lease(token.map(|token| event::Lease { token, until })));
        time::sleep(pause).await;
    }
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

/// Puts the store's answer as the holding takes it.
fn translate(answer: Result<Answer, Fault>, read: bool) -> core::Answer {
    match answer {
        Ok(Answer::Object(object)) if read => core::Answer::Object(core::Object {
            kind: Kind::Leases.as_str().into(),
            name: object.name,
            version: object.revision,
            value: Lease::read(&object.value).map(|it| it.value()),
        }),
        Ok(Answer::Object(object)) => core::Answer::Written { version: object.revision },
        Ok(Answer::Missing) => core::Answer::Missing,
        Ok(Answer::Conflict(_)) => core::Answer::Conflict,
        _ => core::Answer::Lost,
    }
}
