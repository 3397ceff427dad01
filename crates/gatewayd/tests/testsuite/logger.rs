//! Bounds on the number of log lines.

use crossbeam::channel;
use siskinstile_gateway::record::{self, Record};
use siskinstile_gatewayd::logger::{Logger, Message};

/// Guards against a storm of lines in a large fleet: a line for each of 1,000 peers becomes a few,
/// and lines about requests are not affected.
#[test]
fn write_many() {
    let (sender, lines) = channel::unbounded();
    let logger = Logger::new(sender, "one");
    for peer in 0..1_000 {
        logger.write(&Record::new(record::PEER_REACHABLE).with("peer", format!("peer-{peer}")));
    }
    let written = lines.try_iter().count();
    assert!((20..=40).contains(&written), "{written}");
    logger.write(&Record::new(record::STARTED));
    for request in 0..100 {
        let id = format!("id-{request}").into();
        logger.write(&Record::new(record::ANSWERED).for_request(&id));
    }
    assert_eq!(lines.try_iter().count(), 101);
}

/// A later line of the same code states how many were left out.
#[test]
fn write_after_limit() {
    let (sender, lines) = channel::unbounded();
    let logger = Logger::new(sender, "one");
    for _ in 0..100 {
        logger.write(&Record::new(record::PEER_REACHABLE));
    }
    std::thread::sleep(std::time::Duration::from_millis(1_100));
    logger.write(&Record::new(record::PEER_REACHABLE));
    let Some(Message::Line(last)) = lines.try_iter().last() else { panic!("no line") };
    assert!(last.contains("\"left_out\":"), "{last}");
}

/// Guards against lines as long as what another writer has left in the store, which wait in the queue: a text is cut, and
/// the line stays JSON.
#[test]
fn write_long() {
    const MAX_LINE_BYTES: usize = 16 << 10;
    let (sender, lines) = channel::unbounded();
    let logger = Logger::new(sender, "one");
    for text in ["a".repeat(1 << 20), "\u{e4}".repeat(1 << 20), "short".to_owned()] {
        logger.write(&Record::new(record::ENTRY_UNREADABLE).with("entry", text));
    }
    let lines = lines.try_iter().map(|it| match it {
        Message::Line(line) => line,
        Message::Flush(_) => panic!("no line"),
    });
    let lines: Vec<String> = lines.collect();
    assert!(lines.iter().all(|it| it.len() <= MAX_LINE_BYTES && it.ends_with("}\n")));
    assert!(lines[0].contains("aaa\u{2026}\""), "{}", lines[0]);
    assert!(lines[2].contains("\"short\""), "{}", lines[2]);
}

/// Guards against a process that ends before its last lines are written: a flush waits until all lines before it are.
#[test]
fn flush_waits() {
    let (sender, messages) = channel::unbounded();
    let logger = Logger::new(sender, "one");
    let (written, ended) = channel::unbounded();
    let writer = std::thread::spawn(move || {
        std::thread::sleep(std::time::Duration::from_millis(20));
        for message in messages {
            match message {
                Message::Line(line) => written.send(line).expect("the test runs"),
                Message::Flush(done) => drop(done),
            }
        }
    });
    for _ in 0..10 {
        logger.write(&Record::new(record::STARTED));
    }
    logger.flush();
    assert_eq!(ended.try_iter().count(), 10);
    drop(logger);
    writer.join().expect("no panic");
}

/// Guards against a process that does not end since nobody takes its lines.
#[test]
fn flush_bounded() {
    let (sender, lines) = channel::unbounded();
    let logger = Logger::new(sender, "one");
    logger.flush();
    drop(lines);
    logger.flush();
}
