//! Tests of the parts that listeners share.

use siskinstile_net::Places;

#[tokio::test(flavor = "current_thread")]
async fn take_waiting_yields() {
    let places = Places::new(2);
    let first = places.take().expect("free");
    let second = places.take().expect("free");
    first.keep();
    let third = places.take().expect("the second has sent nothing");
    second.yielded().await;
    third.keep();
    assert!(places.take().is_none(), "requests are under way on both");
    first.wait();
    assert!(places.take().is_some());
}

#[test]
fn take_after_drop() {
    let places = Places::new(1);
    let place = places.take().expect("free");
    place.keep();
    assert!(places.take().is_none());
    drop(place);
    assert!(places.take().is_some());
}
