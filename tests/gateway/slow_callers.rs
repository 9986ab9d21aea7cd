//! Callers that take or send their bytes slowly.

use crate::support::{Gateway, WAIT_TIMEOUT, World, read_some};
use galenapath_dev::link::LinkFault;
use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// More than the buffers of all sockets hold.
const LARGE_BODY: usize = 24 << 20;

fn head(method: &str, path: &str, id: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {id}\r\n\
         X-Request-Deadline-Ms: 60000\r\n"
    )
}

#[test]
fn large_answer_read_slowly_arrives_whole() {
    let world = World::start();
    world.servers_of("load").iter().for_each(|server| server.set_body(LARGE_BODY));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let text = head("GET", "/load/1", "slow") + "Connection: close\r\n\r\n";
    io.write_all(text.as_bytes()).unwrap();
    let begin = Instant::now();
    let mut chunk = vec![0; 32 * 1024];
    let mut total = 0;
    loop {
        let n = read_some(&mut io, &mut chunk).unwrap();
        total += n;
        if n == 0 {
            break;
        }
        if begin.elapsed() < Duration::from_secs(14) {
            std::thread::sleep(Duration::from_millis(500));
        }
    }
    assert!(total > LARGE_BODY, "{total} bytes after {:?}", begin.elapsed());
}

#[test]
fn large_answer_of_server_that_pauses_arrives_whole() {
    let world = World::start_linked();
    world.servers_of("load").iter().for_each(|server| server.set_body(LARGE_BODY));
    let gateway = Gateway::start_ready(&world, &[]);
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let text = head("GET", "/load/1", "pause") + "Connection: close\r\n\r\n";
    io.write_all(text.as_bytes()).unwrap();
    let mut chunk = vec![0; 64 * 1024];
    let mut total = 0;
    while total < LARGE_BODY / 4 {
        total += read_some(&mut io, &mut chunk).unwrap();
    }
    // The paths of other instances, and so the server, are sound.
    world.set_paths(&gateway, LinkFault::HoldReplies);
    let total = std::thread::scope(|scope| {
        let reading = scope.spawn(move || {
            let mut rest = Vec::new();
            let _ = io.read_to_end(&mut rest);
            total + rest.len()
        });
        std::thread::sleep(Duration::from_secs(12));
        world.set_paths(&gateway, LinkFault::None);
        reading.join().unwrap()
    });
    assert!(total > LARGE_BODY, "{total} bytes");
}

#[test]
fn upload_rejected_early_gets_its_answer_though_it_is_sent_slowly() {
    let world = World::start();
    let gateway = Gateway::start_ready(&world, &[]);
    let mut io = TcpStream::connect(gateway.callers()).unwrap();
    io.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let text = head("POST", "/file/1", "up") + "Content-Length: 400000\r\n\r\n";
    io.write_all(text.as_bytes()).unwrap();
    let mut sent = 0;
    for _ in 0..40 {
        // Its caller reads only once it has sent everything.
        match io.write_all(&[b'u'; 10_000]) {
            Ok(()) => sent += 10_000,
            Err(_) => break,
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut answer = String::new();
    let result = io.read_to_string(&mut answer);
    assert!(answer.starts_with("HTTP/1.1 413"), "{sent} bytes sent: {result:?} {answer}");
    assert_eq!(sent, 400_000);
}

/// Is interrupted once before it has bytes.
struct Interrupted(bool);

impl Read for Interrupted {
    fn read(&mut self, buf: &mut [u8]) -> io::Result<usize> {
        if !std::mem::replace(&mut self.0, true) {
            return Err(io::ErrorKind::Interrupted.into());
        }
        buf[0] = b'x';
        Ok(1)
    }
}

/// Guards against tests that take a suspended machine for an answer that is cut.
#[test]
fn read_some_goes_on_after_interruption() {
    let mut buf = [0; 4];
    assert_eq!(read_some(&mut Interrupted(false), &mut buf).unwrap(), 1);
}
