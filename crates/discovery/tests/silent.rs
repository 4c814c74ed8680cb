//! Guards against updates that miss their maximum delay when streams of the coordinator fall
//! silent: a third call has to fit after two silent ones. Times are passed in; only the sockets are
//! real.

use std::io::Write;
use std::net::TcpListener;

use marljunction_discovery::stream::Stream;
use marljunction_discovery::SourceParams;
use marljunction_net::{ConnectionLimits, Net};
use marljunction_pacing::pace::MAX_UPDATE_DELAY_NS;
use marljunction_pacing::PacingParams;
use marljunction_settings::Names;
use mio::{Events, Poll};

const MS: u64 = 1_000_000;
const T0: u64 = 1_700_000_000_000 * MS;

/// Time of the third call after the first (ns), if the first two are silent. With `head`, the first
/// receives a response head before.
fn third_call_ns(seed: u64, callers: u32, head: bool) -> u64 {
    let mut poll = Poll::new().unwrap();
    let mut net = Net::new(poll.registry().try_clone().unwrap(), 1, ConnectionLimits::of(64, 64.0));
    let coordinator = TcpListener::bind("127.0.0.1:0").unwrap();
    let pace = PacingParams {
        callers: Some(callers),
        caller_index: seed as u32 % callers,
        ..PacingParams::default()
    };
    let pacing = SourceParams { pace, seed, stale_ns: MAX_UPDATE_DELAY_NS };
    let mut stream = Stream::new(T0, coordinator.local_addr().unwrap(), Names::default(), 1, pacing);
    let (mut now, mut first, mut answered) = (T0, None, None);
    while stream.stats().0 .0 < 3 {
        now += 20 * MS;
        stream.tick(now, &mut net);
        if head && stream.stats().0 .0 == 1 && answered.is_none() {
            let (mut up, _) = coordinator.accept().unwrap();
            up.write_all(b"HTTP/1.1 200 OK\r\n\r\n:hi\n").unwrap();
            let mut events = Events::with_capacity(4);
            while stream.stats().1.age_ns(now) > 0 {
                poll.poll(&mut events, Some(std::time::Duration::from_secs(8))).unwrap();
                assert!(!events.is_empty(), "no response head");
                for conn in events.iter().map(|e| e.token().0 as u64).collect::<Vec<_>>() {
                    stream.ready(now, &mut net, conn);
                }
            }
            answered = Some(up);
        }
        // The silence begins with the first call, or with its response head.
        if stream.stats().0 .0 >= 1 {
            first.get_or_insert(now);
        }
        assert!(now < T0 + 60_000 * MS, "no third call");
    }
    now - first.unwrap_or(now)
}

#[test]
fn a_third_call_fits_in_the_update_delay_after_two_silent_ones() {
    for callers in [1, 6, 300] {
        for seed in 0..40 {
            for head in [false, true] {
                let call_ns = third_call_ns(seed, callers, head);
                let update_ns = call_ns + 500 * MS;
                assert!(
                    update_ns < MAX_UPDATE_DELAY_NS,
                    "{callers} callers, seed {seed}, head {head}: {} ms",
                    call_ns / MS
                );
            }
        }
    }
}
