//! The client of the Consul HTTP API against the stand-in store, in one process.

#![expect(clippy::unwrap_used, reason = "helpers of tests fail as the tests do")]

use bytes::Bytes;
use galenapath_dev::store::{StoreOptions, serve};
use galenapath_platform::{
    Announcement, Cause, ConsulPlatform, Expected, Platform, StoreIndex, SwapOutcome,
};
use galenapath_protocol::Verdict;
use monoio::io::AsyncWriteRentExt;
use monoio::net::{TcpListener, TcpStream};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const KEY: &str = "config/head";
const TIMEOUT: Duration = Duration::from_millis(300);

fn run<F: Future<Output = ()>>(options: StoreOptions, test: impl FnOnce(SocketAddr) -> F) {
    let builder = monoio::RuntimeBuilder::<monoio::LegacyDriver>::new();
    builder.enable_timer().build().unwrap().block_on(async {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        monoio::spawn(serve(listener, options));
        test(address).await;
    });
}

async fn set_faults(store: SocketAddr, faults: &str) {
    let mut stream = TcpStream::connect(store).await.unwrap();
    let request = format!(
        "PUT /admin/faults HTTP/1.1\r\nhost: store\r\ncontent-length: {}\r\n\r\n{faults}",
        faults.len()
    );
    stream.write_all(request.into_bytes()).await.0.unwrap();
    let (read, buf) = monoio::io::AsyncReadRent::read(&mut stream, vec![0; 1024]).await;
    let text = String::from_utf8_lossy(&buf[..read.unwrap()]).into_owned();
    assert!(text.starts_with("HTTP/1.1 200"), "{text}");
}

fn value(text: &'static str) -> Bytes {
    Bytes::from_static(text.as_bytes())
}

#[test]
fn read_absent_then_written() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        let absent = platform.read(KEY).await.unwrap();
        assert_eq!(absent.expected(), Expected::Absent);
        let swap = platform.swap(KEY, absent.expected(), value("one")).await.unwrap();
        assert_eq!(swap, SwapOutcome::Done);
        let written = platform.read(KEY).await.unwrap();
        assert_eq!(written.entry.unwrap().value, value("one"));
    });
}

#[test]
fn swap_stale_is_conflict() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        platform.swap(KEY, Expected::Absent, value("one")).await.unwrap();
        let read = platform.read(KEY).await.unwrap();
        let first = platform.swap(KEY, read.expected(), value("two")).await.unwrap();
        let second = platform.swap(KEY, read.expected(), value("three")).await.unwrap();
        assert_eq!((first, second), (SwapOutcome::Done, SwapOutcome::Conflict));
        let absent = platform.swap(KEY, Expected::Absent, value("four")).await.unwrap();
        assert_eq!(absent, SwapOutcome::Conflict);
    });
}

#[test]
fn swap_lost_reply_may_have_run() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        set_faults(store, r#"{"lose_replies": 1}"#).await;
        let lost = platform.swap(KEY, Expected::Absent, value("one")).await.unwrap_err();
        assert_eq!(lost.verdict, Verdict::MayHaveRun);
        let read = platform.read(KEY).await.unwrap();
        assert_eq!(read.entry.unwrap().value, value("one"));
    });
}

#[test]
fn swap_unreachable_not_run() {
    run(StoreOptions::default(), |_| async move {
        let closed = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let platform = ConsulPlatform::new(closed, TIMEOUT);
        let error = platform.swap(KEY, Expected::Absent, value("one")).await.unwrap_err();
        assert!(matches!(error.cause, Cause::Unreachable(_)), "{error}");
        assert_eq!(error.verdict, Verdict::NotRun);
    });
}

#[test]
fn swap_rate_limited_not_run() {
    let options = StoreOptions { writes_per_s: 1, ..StoreOptions::default() };
    run(options, |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        platform.swap(KEY, Expected::Absent, value("one")).await.unwrap();
        let error = platform.swap(KEY, Expected::Absent, value("two")).await.unwrap_err();
        assert!(matches!(error.cause, Cause::RateLimited), "{error}");
        assert_eq!(error.verdict, Verdict::NotRun);
    });
}

#[test]
fn swap_largest_value_stored() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, Duration::from_secs(5));
        let large = Bytes::from(vec![7; 1 << 20]);
        let swap = platform.swap(KEY, Expected::Absent, large.clone()).await.unwrap();
        assert_eq!(swap, SwapOutcome::Done);
        assert_eq!(platform.read(KEY).await.unwrap().entry.unwrap().value, large);
        let over = Bytes::from(vec![7; (1 << 20) + 1]);
        assert!(platform.swap("other", Expected::Absent, over).await.is_err());
    });
}

#[test]
fn read_frozen_store_times_out() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        set_faults(store, r#"{"frozen": true}"#).await;
        let started = Instant::now();
        let error = platform.read(KEY).await.unwrap_err();
        assert!(matches!(error.cause, Cause::TimedOut(_)), "{error}");
        assert!(started.elapsed() < TIMEOUT * 3);
    });
}

#[test]
fn watch_returns_on_change() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        platform.swap(KEY, Expected::Absent, value("one")).await.unwrap();
        let read = platform.read(KEY).await.unwrap();
        let position = read.position;
        let watch = monoio::spawn(async move {
            let watcher = ConsulPlatform::new(store, TIMEOUT);
            watcher.watch(KEY, position, Duration::from_secs(30)).await.unwrap()
        });
        platform.swap(KEY, read.expected(), value("two")).await.unwrap();
        let changed = watch.await;
        assert!(changed.position > position);
        assert_eq!(changed.entry.unwrap().value, value("two"));
    });
}

#[test]
fn watch_without_change_ends_after_wait() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        let read = platform.watch(KEY, StoreIndex(1), Duration::from_millis(20)).await.unwrap();
        assert_eq!(read.entry, None);
    });
}

#[test]
fn claim_by_second_lease_rejected_until_expiry() {
    run(StoreOptions::default(), |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        let first = platform.lease(Duration::from_secs(1)).await.unwrap();
        let second = platform.lease(Duration::from_secs(60)).await.unwrap();
        assert!(platform.claim(KEY, &first, value("a")).await.unwrap());
        assert!(!platform.claim(KEY, &second, value("b")).await.unwrap());
        let held = platform.read(KEY).await.unwrap();
        assert_eq!(held.entry.unwrap().holder, Some(first.clone()));
        let gone = platform.watch(KEY, held.position, Duration::from_secs(30)).await.unwrap();
        assert_eq!(gone.entry, None);
        assert!(!platform.renew(&first).await.unwrap());
        assert!(platform.claim(KEY, &second, value("b")).await.unwrap());
    });
}

#[test]
fn list_shows_instance_after_lag() {
    run(StoreOptions { list_lag_ms: 100, ..StoreOptions::default() }, |store| async move {
        let platform = ConsulPlatform::new(store, TIMEOUT);
        let announcement = Announcement {
            id: "server-1".into(),
            service: "timetable".into(),
            address: "127.0.0.1:9000".parse().unwrap(),
            meta: [("domain".to_owned(), "a".to_owned())].into_iter().collect(),
        };
        platform.announce(&announcement).await.unwrap();
        let early = platform.list("timetable", None, Duration::ZERO).await.unwrap();
        assert!(early.instances.is_empty());
        let wait = Duration::from_secs(30);
        let shown = platform.list("timetable", Some(early.position), wait).await.unwrap();
        assert_eq!(shown.instances[0].address, announcement.address);
        assert_eq!(shown.instances[0].domain(), Some("a"));
        platform.withdraw("server-1").await.unwrap();
        let gone = platform.list("timetable", Some(shown.position), wait).await.unwrap();
        assert!(gone.instances.is_empty());
    });
}
