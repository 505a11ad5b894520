//! Tests of what bodies hold while others take their room.

use egretstage_caller_io::{CallerBounds, CallerLimits, GrowingBody};

/// Room of all bodies, in bytes.
const ROOM: usize = 1024 * 1024;

/// Size of a body that may use all of the room, in bytes.
const SMALL: usize = 60 * 1024;

/// Fault: the tasks of bodies that were given up aren't polled for a while. What all bodies
/// hold stays within the room, also before these tasks drop theirs.
#[test]
fn bodies_that_were_given_up_hold_nothing() {
    let limits = CallerLimits {
        connections: 100,
        body_bytes: ROOM,
        answer_bytes: 0,
    };
    let bounds = CallerBounds::new("test", limits, Box::new(|_| ()));
    let connections: Vec<_> = (0..12).map(|_| bounds.open().expect("room")).collect();
    let mut bodies: Vec<GrowingBody> = Vec::new();
    let sizes = [ROOM / 2, ROOM / 4].into_iter().chain([SMALL; 10]);
    for (connection, size) in connections.iter().zip(sizes) {
        let (_call, mut body) = connection.begin().expect("a request");
        assert!(body.extend(&vec![b'x'; size], size), "{size} bytes");
        bodies.push(body);
        let held: usize = bodies.iter().map(GrowingBody::len).sum();
        assert!(held <= ROOM, "{held} bytes are held");
    }
    assert!(bodies.remove(0).complete().is_none(), "it was given up");
    let (whole, _) = bodies.remove(0).complete().expect("it was kept");
    assert_eq!(whole.len(), ROOM / 4);
}
