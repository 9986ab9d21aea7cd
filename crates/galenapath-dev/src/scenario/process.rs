//! Child processes of a scenario.

use super::error::ScenarioError;
use monoio::time::sleep;
use rustix::process::{Pid, Signal, kill_process};
use std::fs::File;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

/// Interval at which conditions are checked.
pub const POLL: Duration = Duration::from_millis(10);
/// Number of lines of output that an error message contains.
const TAIL_LINES: usize = 15;

/// A child process, killed on drop. Its output is appended to files.
pub struct Process {
    name: String,
    child: Child,
    dir: PathBuf,
}

impl Process {
    /// Starts `program`. Its output goes to `NAME.out` and `NAME.err` in `dir`.
    pub fn start(
        name: &str,
        program: &Path,
        args: &[String],
        dir: &Path,
    ) -> Result<Self, ScenarioError> {
        let open = |kind: &str| {
            let path = dir.join(format!("{name}.{kind}"));
            File::options().create(true).append(true).open(path)
        };
        let out = open("out").map_err(ScenarioError::io(name))?;
        let err = open("err").map_err(ScenarioError::io(name))?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(out)
            .stderr(err)
            .spawn()
            .map_err(ScenarioError::io(format!("start {name}")))?;
        Ok(Self { name: name.to_owned(), child, dir: dir.to_owned() })
    }

    /// Returns the process ID.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends `signal`.
    pub fn signal(&self, signal: Signal) -> Result<(), ScenarioError> {
        let pid = i32::try_from(self.child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or_else(|| ScenarioError::bad("process has no id"))?;
        kill_process(pid, signal)
            .map_err(|e| ScenarioError::io(format!("signal {}", self.name))(e.into()))
    }

    /// Kills the process and waits until it has exited.
    pub fn kill(&mut self) {
        // Both fail only if the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Returns the exit status if the process has exited.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits until the process exits, for `limit` at most.
    pub async fn wait_end(&mut self, limit: Duration) -> Result<ExitStatus, ScenarioError> {
        let began = Instant::now();
        loop {
            if let Some(status) = self.ended() {
                return Ok(status);
            }
            if began.elapsed() >= limit {
                return Err(ScenarioError::Timeout {
                    condition: format!("{} exits", self.name),
                    seen: "it is still running".to_owned(),
                    limit_ms: limit.as_millis(),
                });
            }
            sleep(POLL).await;
        }
    }

    /// Returns the standard output of the process so far.
    pub fn output(&self) -> String {
        std::fs::read_to_string(self.dir.join(format!("{}.out", self.name))).unwrap_or_default()
    }

    /// Waits until the process prints a line that starts with `prefix`; returns the rest of the
    /// line.
    pub async fn wait_line(
        &mut self,
        prefix: &str,
        limit: Duration,
    ) -> Result<String, ScenarioError> {
        let began = Instant::now();
        loop {
            let output = self.output();
            if let Some(rest) = output.lines().rev().find_map(|line| line.strip_prefix(prefix)) {
                return Ok(rest.trim().to_owned());
            }
            if self.ended().is_some() || began.elapsed() >= limit {
                return Err(ScenarioError::Timeout {
                    condition: format!("{} prints `{prefix}`", self.name),
                    seen: self.tail(),
                    limit_ms: limit.as_millis(),
                });
            }
            sleep(POLL).await;
        }
    }

    /// Returns the last lines of the output, after any earlier panic messages, for error messages.
    pub fn tail(&self) -> String {
        let read = |kind: &str| {
            let path = self.dir.join(format!("{}.{kind}", self.name));
            std::fs::read_to_string(path).unwrap_or_default()
        };
        let (out, err) = (read("out"), read("err"));
        let lines: Vec<_> = out.lines().chain(err.lines()).collect();
        let first = lines.len().saturating_sub(TAIL_LINES);
        let panics = lines[..first].windows(2).filter(|pair| pair[0].contains("panicked"));
        panics.flatten().chain(&lines[first..]).copied().collect::<Vec<_>>().join("\n")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}
