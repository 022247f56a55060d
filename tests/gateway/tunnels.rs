//! Tunnels through other daemons: the messages that open them, the frames in them, and which daemon
//! carries them.

use std::{net::SocketAddr, time::Duration};

use googletest::prelude::*;
use rand::{RngExt, SeedableRng, rngs::SmallRng, seq::IteratorRandom};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::Instant,
};
use willowarch::gateway::{
    forwarding::{
        handshake::{
            TunnelOutcome, TunnelRequest, read_outcome, read_request, send_outcome, send_request,
        },
        tunnel_stream::TunnelStream,
    },
    policy::daemon::forwarder_choice::{ForwarderCandidate, ForwarderTable},
};

async fn connected_pair() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    let (opened, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    (opened.expect("connect"), accepted.expect("accept").0)
}

/// Sends these bytes to a tunnel in pieces of this length and closes it; returns what is read from it.
async fn read_tunnel(bytes: &[u8], piece: usize) -> std::io::Result<Vec<u8>> {
    let (daemon, mut forwarder) = connected_pair().await;
    let sending = async {
        for piece in bytes.chunks(piece) {
            // Fails if the reader has already ended.
            let _ = forwarder.write_all(piece).await;
            tokio::task::yield_now().await;
        }
        drop(forwarder);
    };
    let reading = async {
        let (mut tunnel, mut all) = (TunnelStream::new(daemon), Vec::new());
        tunnel.read_to_end(&mut all).await.map(|_| all)
    };
    let (read, ()) = tokio::join!(reading, sending);
    read
}

const HELLO: &[u8] = b"\0\0\0\x05hello";
const END: &[u8] = b"\0\0\0\0";

macro_rules! frames_in_a_tunnel {
    ($($name:ident: $bytes:expr => $result:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let bytes: Vec<u8> = $bytes;
            for piece in [1, 3, 64] {
                let read = read_tunnel(&bytes, piece).await.map_err(|error| error.kind());
                assert_eq!(read, $result, "in pieces of {piece}");
            }
        }
    )*};
}

frames_in_a_tunnel! {
    whole_frames: [HELLO, HELLO, END].concat() => Ok(b"hellohello".to_vec());
    nothing_but_the_end: END.to_vec() => Ok(Vec::new());
    end_of_the_forwarder_after_a_frame:
        HELLO.to_vec() => Err(std::io::ErrorKind::UnexpectedEof);
    end_of_the_forwarder_within_a_frame:
        HELLO[..7].to_vec() => Err(std::io::ErrorKind::UnexpectedEof);
    end_of_the_forwarder_within_a_header:
        HELLO[..2].to_vec() => Err(std::io::ErrorKind::UnexpectedEof);
    bytes_after_the_end: [HELLO, END, HELLO].concat() => Ok(b"hello".to_vec());
}

#[tokio::test]
async fn handshake_leaves_the_bytes_after_it() {
    let (mut daemon, mut forwarder) = connected_pair().await;
    let request = TunnelRequest {
        endpoint: "i-7".into(),
        born: 9,
        daemon: "edge-1".into(),
        request: "a".into(),
    };
    send_request(&mut daemon, &request).await.expect("send");
    daemon.write_all(b"GET").await.expect("write");
    assert_eq!(read_request(&mut forwarder).await.expect("read"), request);
    send_outcome(&mut forwarder, TunnelOutcome::NotReached).await.expect("send");
    forwarder.write_all(b"HTTP").await.expect("write");
    assert_eq!(read_outcome(&mut daemon).await.expect("read"), TunnelOutcome::NotReached);
    let (mut to_forwarder, mut to_daemon) = ([0; 3], [0; 4]);
    forwarder.read_exact(&mut to_forwarder).await.expect("read");
    daemon.read_exact(&mut to_daemon).await.expect("read");
    assert_eq!((&to_forwarder, &to_daemon), (b"GET", b"HTTP"));
}

#[tokio::test]
async fn malformed_tunnel_request_is_rejected() {
    let (mut daemon, mut forwarder) = connected_pair().await;
    daemon.write_all(&[0xff; 64]).await.expect("write");
    drop(daemon);
    assert!(read_request(&mut forwarder).await.is_err());
}

fn forwarder_address(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, (number / 250) as u8, (number % 250) as u8], 8005))
}

fn candidate(number: usize) -> ForwarderCandidate {
    let contact_age = Some(Duration::ZERO);
    ForwarderCandidate { address: forwarder_address(number), contact_age }
}

/// How a partitioned daemon chooses a forwarder.
#[derive(Clone, Copy, Debug)]
enum ChoiceRule {
    /// The rule of the daemon.
    Own,
    /// The candidate with the fewest tunnels, as last reported.
    LeastReported,
    /// The one with fewer reported tunnels of two random candidates.
    LessOfTwo,
}

/// Number of tunnels of each forwarder at a time.
fn open_tunnels(ends: &[Vec<u64>], ms: u64) -> Vec<usize> {
    ends.iter().map(|ends| ends.iter().filter(|end| **end > ms).count()).collect()
}

/// Lets partitioned daemons open tunnels, each of which lasts for a second, by reports of a given age;
/// returns the greatest number of tunnels of a forwarder as a multiple of the mean.
fn worst_share(rule: ChoiceRule, daemons: usize, partitioned: usize, report_age_ms: u64) -> f64 {
    let mut rng = SmallRng::seed_from_u64(daemons as u64);
    let forwarders = daemons - partitioned;
    let candidates: Vec<ForwarderCandidate> = (0..forwarders).map(candidate).collect();
    let (mut ends, mut reported) = (vec![Vec::new(); forwarders], vec![0; forwarders]);
    let (mut worst, table, start) = (0.0_f64, ForwarderTable::default(), Instant::now());
    for ms in 0..10_000 {
        if ms % report_age_ms == 0 {
            reported = open_tunnels(&ends, ms);
        }
        for _ in 0..(0..partitioned).filter(|_| rng.random_bool(0.02)).count() {
            let chosen = match rule {
                ChoiceRule::Own => {
                    let chosen = table.choose(&candidates, &[], start, &mut rng).expect("one");
                    candidates.iter().position(|one| one.address == chosen).expect("known")
                }
                ChoiceRule::LeastReported => {
                    (0..forwarders).min_by_key(|one| reported[*one]).expect("one")
                }
                ChoiceRule::LessOfTwo => {
                    let drawn = (0..forwarders).sample(&mut rng, 2);
                    drawn.into_iter().min_by_key(|one| reported[*one]).expect("one")
                }
            };
            ends[chosen].push(ms + 1_000);
        }
        if ms >= 2_000 && ms % 100 == 0 {
            let open = open_tunnels(&ends, ms);
            let mean = open.iter().sum::<usize>() as f64 / forwarders as f64;
            worst = worst.max(open.into_iter().max().unwrap_or(0) as f64 / mean);
        }
    }
    worst
}

/// Half of the daemons are partitioned. By the least reported number of tunnels all choose the same
/// forwarder until the next reports.
#[googletest::test]
fn tunnels_are_spread_over_the_forwarders() {
    for (daemons, report_age_ms) in [(9, 400), (78, 1_000), (195, 1_400)] {
        let of = |rule| worst_share(rule, daemons, daemons / 2, report_age_ms);
        let (own, least) = (of(ChoiceRule::Own), of(ChoiceRule::LeastReported));
        let two = of(ChoiceRule::LessOfTwo);
        println!("{daemons} daemons: own rule {own:.2}, less of two {two:.2}, least {least:.2}");
        expect_that!(own, lt(2.0));
        expect_that!(own, lt(two));
        expect_that!(own, lt(least));
    }
}

#[googletest::test]
fn forwarder_that_failed_is_left_out_for_a_second() {
    let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let mut table = ForwarderTable::default();
    let candidates = [candidate(1), candidate(2)];
    table.failed(forwarder_address(1), start);
    let later = start + Duration::from_millis(1_100);
    for _ in 0..20 {
        let chosen = table.choose(&candidates, &[], start, &mut rng);
        expect_that!(chosen, some(eq(forwarder_address(2))));
    }
    let mut chosen = (0..50).filter_map(|_| table.choose(&candidates, &[], later, &mut rng));
    expect_true!(chosen.any(|one| one == forwarder_address(1)));
    let tried = [forwarder_address(2)];
    expect_that!(table.choose(&candidates, &tried, start, &mut rng), none());
}

#[googletest::test]
fn forwarder_in_contact_with_endpoints_goes_first() {
    let (start, mut rng) = (Instant::now(), SmallRng::seed_from_u64(1));
    let table = ForwarderTable::default();
    let without = ForwarderCandidate { contact_age: None, ..candidate(1) };
    let with = candidate(2);
    for _ in 0..20 {
        let chosen = table.choose(&[without, with], &[], start, &mut rng);
        expect_that!(chosen, some(eq(with.address)));
    }
    let chosen = table.choose(&[without], &[], start, &mut rng);
    expect_that!(chosen, some(eq(without.address)));
}
