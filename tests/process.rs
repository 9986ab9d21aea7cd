//! The instance as a process: its settings, ports, descriptors, memory and shutdown.

#![allow(clippy::unwrap_used, clippy::expect_used, reason = "a test fails by panicking")]

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::ops::ControlFlow;
use std::time::Duration;
use support::{
    Client, FakeServer, Instance, Setup, answer_ok, command, get, new_dir, write_settings,
};

/// Number of idle caller connections; below the descriptor limit of one process.
const IDLE_CALLERS: usize = 10_000;

/// Most memory that an idle caller connection may use, in bytes.
const IDLE_CALLER_MEMORY: usize = 8 * 1024;

/// Size of a large body, in bytes.
const LARGE_BODY: usize = 200 * 1024 * 1024;

/// Most additional memory that a large body may use, in bytes.
const LARGE_BODY_MEMORY: usize = 8 * 1024 * 1024;

fn unused_address() -> SocketAddr {
    "127.0.0.1:9".parse().unwrap()
}

#[test]
fn process_check_settings_reported() {
    let dir = new_dir();
    let file = write_settings(&dir, "127.0.0.1:0", unused_address(), "");
    let good = command(&file).arg("--check-settings").output().unwrap();
    assert!(good.status.success());
    let file =
        write_settings(&dir, "127.0.0.1:0", unused_address(), "idle_timeout = \"5 parsecs\"");
    let bad = command(&file).arg("--check-settings").output().unwrap();
    assert_eq!(bad.status.code(), Some(2));
    let text = String::from_utf8(bad.stderr).unwrap();
    assert_eq!(text.lines().count(), 1, "{text}");
    assert!(text.contains("entry.toml:13: limits.idle_timeout"), "{text}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn process_port_in_use_one_error() {
    let dir = new_dir();
    std::fs::write(dir.join("token"), "secret\n").unwrap();
    let taken = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let file = write_settings(&dir, &address, unused_address(), "");
    let output = command(&file).output().unwrap();
    assert_eq!(output.status.code(), Some(1));
    let text = String::from_utf8(output.stderr).unwrap();
    assert!(
        text.contains("listen.callers") && text.contains("in use") && text.contains(&address),
        "{text}"
    );
    assert_eq!(text.lines().count(), 1, "{text}");
    std::fs::remove_dir_all(dir).unwrap();
}

#[test]
fn process_no_uring_no_children() {
    let instance = Instance::start(&Setup::lookup(&FakeServer::fixed("")));
    for entry in std::fs::read_dir(instance.proc("fd")).unwrap() {
        let target = std::fs::read_link(entry.unwrap().path()).unwrap_or_default();
        assert!(!target.to_string_lossy().contains("io_uring"), "{}", target.display());
    }
    for task in std::fs::read_dir(instance.proc("task")).unwrap() {
        let children = std::fs::read_to_string(task.unwrap().path().join("children"));
        assert_eq!(children.unwrap_or_default(), "");
    }
}

#[test]
fn process_terminated_drains() {
    let (tx, rx) = std::sync::mpsc::channel();
    let tx = std::sync::Mutex::new(tx);
    let server = FakeServer::start(move |io, _| {
        let (go, wait) = std::sync::mpsc::channel();
        tx.lock().unwrap().send(go).unwrap();
        wait.recv().unwrap();
        answer_ok(io, b"whole")
    });
    let setup = Setup { limits: "drain_timeout = \"4s\"".into(), ..Setup::lookup(&server) };
    let mut instance = Instance::start(&setup);
    let mut client = Client::connect(instance.callers);
    client.get("/", "");
    let go: std::sync::mpsc::Sender<()> = rx.recv().unwrap();
    let answer = std::thread::spawn(move || client.answer());
    let answered = std::thread::spawn(move || {
        std::thread::sleep(Duration::from_millis(500));
        go.send(()).unwrap();
    });
    let start = std::time::Instant::now();
    assert_eq!(instance.stop().code(), Some(0));
    assert!(start.elapsed() < Duration::from_secs(5), "{:?}", start.elapsed());
    answered.join().unwrap();
    let answer = answer.join().unwrap();
    assert_eq!((answer.text().as_str(), answer.is_whole), ("whole", true));
}

#[test]
fn process_idle_callers_bounded_memory() {
    let server = FakeServer::start(|io, _| answer_ok(io, b"ok"));
    let instance = Instance::start(&Setup::lookup(&server));
    assert_eq!(get(instance.callers, "/", "").text(), "ok");
    let before = instance.memory();
    let idle: Vec<Client> = (0..IDLE_CALLERS)
        .map(|_| {
            let mut client = Client::connect(instance.callers);
            client.get("/", "");
            assert_eq!(client.answer().text(), "ok");
            client
        })
        .collect();
    support::wait_until("all callers accepted", || {
        instance.metric("galenapath_caller_connections") >= IDLE_CALLERS as f64
    });
    let grown = instance.memory().saturating_sub(before);
    println!("{} bytes for each idle caller", grown / IDLE_CALLERS);
    assert!(grown < IDLE_CALLERS * IDLE_CALLER_MEMORY);
    assert_eq!(get(instance.callers, "/", "").text(), "ok");
    drop(idle);
}

#[test]
fn process_large_bodies_no_more_memory() {
    let server = FakeServer::start(|io, req| {
        if req.path() == "/down" {
            let _ = write!(io, "HTTP/1.1 200 OK\r\ncontent-length: {LARGE_BODY}\r\n\r\n");
            let chunk = vec![b'x'; 1024 * 1024];
            for _ in 0..LARGE_BODY / chunk.len() {
                let _ = io.write_all(&chunk);
            }
            return ControlFlow::Break(());
        }
        answer_ok(io, req.body.len().to_string().as_bytes())
    });
    let instance = Instance::start(&Setup::lookup(&server));
    for _ in 0..100 {
        assert_eq!(get(instance.callers, "/small", "").text(), "0");
    }
    let before = instance.memory();
    upload(&instance);
    let up = instance.memory();
    download(&instance);
    let down = instance.memory();
    let max = before + LARGE_BODY_MEMORY;
    assert!(up < max && down < max, "before {before}, up {up}, down {down}");
}

fn upload(instance: &Instance) {
    let mut client = Client::connect(instance.callers);
    client.send(&format!("POST /up HTTP/1.1\r\nHost: s\r\nContent-Length: {LARGE_BODY}\r\n\r\n"));
    let chunk = vec![b'x'; 1024 * 1024];
    for _ in 0..LARGE_BODY / chunk.len() {
        client.io.write_all(&chunk).unwrap();
    }
    assert_eq!(client.answer().text(), LARGE_BODY.to_string());
}

fn download(instance: &Instance) {
    let mut client = Client::connect(instance.callers);
    client.get("/down", "Connection: close\r\n");
    let mut buf = vec![0; 1024 * 1024];
    let mut total = 0;
    loop {
        let n = client.io.read(&mut buf).unwrap();
        if n == 0 {
            break;
        }
        total += n;
    }
    assert!(total > LARGE_BODY && total < LARGE_BODY + 4096, "{total}");
}
