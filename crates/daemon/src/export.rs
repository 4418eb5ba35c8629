//! `wrenthread export nginx`: an agent that runs beside nginx and connects it to a governor as a proxy.
//!
//! The agent receives tables over long-poll, writes them to a file that nginx includes and reloads nginx. It also reads
//! nginx's access log and sends load reports computed from it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::SeekFrom;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncSeekExt};
use tokio::sync::{mpsc, watch};
use tokio::task::LocalSet;
use wrenthread_client::table_cache::{Outcome, TableCache};
use wrenthread_client::{Observer, ProxyIdentity, UpdatedTables, poll};
use wrenthread_nginx::access_log::{self, LineSplitter};
use wrenthread_nginx::blocks::{self, Tables, UpstreamTable};
use wrenthread_nginx::write_debouncer::WriteDebouncer;
use wrenthread_settings::{Nginx, Settings};

/// The delay before joining again after a failed join or an ended session.
const REJOIN_DELAY: Duration = Duration::from_millis(500);
/// How often the access log is checked for new lines.
const LOG_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// About how much of the access log is read at once.
const MAX_READ_BYTES: usize = 1 << 20;

/// The proxy that the agent joins as, and the governor that it joins.
pub struct AgentIdentity {
    pub identity: ProxyIdentity,
    /// `http://host:port` of the governor's long-poll interface.
    pub governor_url: String,
}

/// Formats a proxy's current tables, as returned by a running governor, as upstream blocks.
///
/// Errors: a table has no name, the proxy uses its default table, or the tables can't be written as upstream blocks.
pub fn format_upstream_blocks(tables: &Value) -> Result<String> {
    let mut upstreams = Tables::new();
    for group in tables["groups"].as_array().into_iter().flatten() {
        let name = group["group"].as_str().context("a group in the governor's answer has no name")?;
        let is_open = |line: &&Value| line["open"].as_bool() == Some(true);
        let server = |line: &Value| Some((line["address"].as_str()?.to_string(), line["weight"].as_f64()?));
        let Some(lines) = group["lines"].as_array() else {
            bail!(
                "the proxy uses its default table for group `{name}`: there are no upstream servers to write"
            );
        };
        let servers = lines.iter().filter(is_open).filter_map(server).collect();
        upstreams.insert(
            name.to_string(),
            UpstreamTable { servers, admission_fraction: group["level"].as_f64().unwrap_or(1.0) },
        );
    }
    let name = tables["name"].as_str().unwrap_or_default();
    Ok(blocks::write(&upstreams, &format!("tables of proxy `{name}`, version {}", tables["sent"]))?)
}

/// Runs the agent until SIGTERM or SIGINT. The last written file remains, and nginx continues to use it.
///
/// Errors: the include file's folder does not exist, or the runtime or signal handlers can't be set up.
pub fn run(settings: &Settings, agent: AgentIdentity, once: bool) -> Result<()> {
    let folder = settings.nginx.include_file.parent().unwrap_or(Path::new("."));
    let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
    std::fs::metadata(folder)
        .with_context(|| format!("cannot access the folder {} of the include file", folder.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
    LocalSet::new().block_on(&runtime, run_agent(settings, agent, once))
}

struct TableObserver {
    started_at: Instant,
    /// Version and tables; only the latest are kept, as the file needs no intermediate ones.
    tables: watch::Sender<(String, Tables)>,
}

impl Observer for TableObserver {
    fn update_received(&self, mark: &str, _: usize, tables: &UpdatedTables) {
        let upstream = |(lines, level): &(Vec<(Arc<str>, f64)>, f64)| UpstreamTable {
            servers: lines.iter().map(|(address, weight)| (address.to_string(), *weight)).collect(),
            admission_fraction: *level,
        };
        let tables: Tables = tables.iter().map(|(group, table)| (group.clone(), upstream(table))).collect();
        if !tables.is_empty() {
            tracing::debug!(mark, at = self.started_at.elapsed().as_secs_f64(), "tables received");
            self.tables.send_replace((mark.to_string(), tables));
        }
    }
}

#[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
async fn run_agent(settings: &Settings, agent: AgentIdentity, once: bool) -> Result<()> {
    let started_at = Instant::now();
    let groups: Vec<String> = settings.groups.iter().map(|group| group.name.clone()).collect();
    let cache = Rc::new(RefCell::new(TableCache::new(groups, Vec::new(), None)));
    let (latest_tables, mut tables) = watch::channel((String::new(), Tables::new()));
    // The current session, which reports are sent to.
    let (session, sessions) = watch::channel::<Option<poll::Session>>(None);
    let agent = Rc::new(agent);
    {
        let (agent, cache, observer) =
            (agent.clone(), cache.clone(), TableObserver { started_at, tables: latest_tables });
        tokio::task::spawn_local(async move {
            loop {
                match poll::Session::join(&agent.governor_url, &agent.identity, &cache).await {
                    Ok(joined) => {
                        tracing::info!(at = agent.governor_url, "joined the governor");
                        session.send_replace(Some(joined.clone()));
                        let ended = poll::follow(&joined, &cache, &observer).await;
                        session.send_replace(None);
                        if let Err(why) = ended {
                            tracing::warn!(%why, "session with the governor ended; nginx keeps its current file");
                        }
                    }
                    Err(why) => tracing::warn!(%why, "cannot join the governor; nginx keeps its file"),
                }
                tokio::time::sleep(REJOIN_DELAY).await;
            }
        });
    }
    if let Some(log) = settings.nginx.access_log.clone() {
        tokio::task::spawn_local(follow_log(log, started_at, cache.clone()));
        tokio::task::spawn_local(send_reports(settings.report_interval, cache.clone(), sessions));
    }
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .context("cannot handle SIGTERM")?;
    let duration = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or_default();
    let mut debouncer = WriteDebouncer::new(
        duration(settings.nginx.min_interval),
        duration(settings.nginx.min_drain_interval),
    );
    let (mut version, mut running_write) = (String::new(), None);
    let (result_sender, mut results) = mpsc::channel(1);
    loop {
        let deadline = debouncer.next_deadline();
        let wait = deadline.map(|deadline| deadline.saturating_sub(started_at.elapsed()));
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = tokio::signal::ctrl_c() => break,
            Ok(()) = tables.changed() => {
                let (latest_version, latest) = tables.borrow_and_update().clone();
                version = latest_version;
                debouncer.set_wanted(latest);
            }
            Some(succeeded) = results.recv() => {
                debouncer.write_finished(succeeded);
                metrics::counter!("wrenthread_nginx_files_total", "well" => succeeded.to_string()).increment(1);
                if once && succeeded {
                    break;
                }
            }
            () = tokio::time::sleep(wait.unwrap_or(Duration::MAX / 2).min(Duration::from_secs(3600))) => {}
        }
        let Some(tables) = debouncer.start_write(started_at.elapsed()) else { continue };
        let (nginx, says, result_sender) =
            (settings.nginx.clone(), format!("version {version}"), result_sender.clone());
        let failures = debouncer.failures();
        running_write = Some(tokio::task::spawn_local(async move {
            let result = write_and_reload(&nginx, &tables, &says).await;
            match &result {
                Ok(()) => tracing::info!(says, groups = tables.len(), "include file written"),
                Err(why) => tracing::error!(
                    why = format!("{why:#}"),
                    failures,
                    "cannot update the include file; nginx keeps its previous one"
                ),
            }
            let _ = result_sender.send(result.is_ok()).await;
        }));
    }
    // Waits for a running reload: interrupting it could leave a file that nginx has not loaded.
    if let Some(running_write) = running_write.filter(|write| !write.is_finished()) {
        let _ = tokio::time::timeout(duration(settings.nginx.reload_timeout), running_write).await;
    }
    tracing::info!("agent stopping; nginx keeps its current file");
    Ok(())
}

/// Replaces the include file and reloads nginx. If the reload fails, the previous file is restored.
async fn write_and_reload(nginx: &Nginx, tables: &Tables, header: &str) -> Result<()> {
    let text =
        blocks::write(tables, header).context("cannot write the received tables as upstream blocks")?;
    let previous = match tokio::fs::read(&nginx.include_file).await {
        Ok(previous) => Some(previous),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => return Err(error).with_context(|| nginx.include_file.display().to_string()),
    };
    replace_file(&nginx.include_file, text.as_bytes()).await?;
    let Err(reload_error) = reload(nginx).await else { return Ok(()) };
    // nginx may be restarted at any time and would then fail on a file that it has rejected.
    match previous {
        Some(previous) => replace_file(&nginx.include_file, &previous).await?,
        None => {
            tokio::fs::remove_file(&nginx.include_file)
                .await
                .context("cannot remove the include file that nginx rejected")?;
        }
    }
    Err(reload_error)
}

async fn replace_file(path: &Path, text: &[u8]) -> Result<()> {
    let temporary = path.with_extension("conf.new~");
    let written = async {
        tokio::fs::write(&temporary, text).await?;
        tokio::fs::File::open(&temporary).await?.sync_all().await?;
        tokio::fs::rename(&temporary, path).await
    };
    written.await.with_context(|| path.display().to_string())
}

async fn reload(nginx: &Nginx) -> Result<()> {
    let [program, arguments @ ..] = nginx.reload_command.as_slice() else { return Ok(()) };
    let command = tokio::process::Command::new(program)
        .args(arguments)
        .stdin(Stdio::null())
        .kill_on_drop(true)
        .output();
    let timeout = Duration::try_from_secs_f64(nginx.reload_timeout).unwrap_or_default();
    let output = tokio::time::timeout(timeout, command).await;
    let output = output.with_context(|| {
        format!("reload command `{program}` did not finish within {} s", nginx.reload_timeout)
    })?;
    let output = output.with_context(|| format!("cannot run the reload command `{program}`"))?;
    if !output.status.success() {
        let message: String = String::from_utf8_lossy(&output.stderr).chars().take(500).collect();
        bail!("reload command `{program}` failed with {}: {}", output.status, message.trim());
    }
    Ok(())
}

/// Follows the access log from its current end, across rotations, and counts the requests in the cache.
async fn follow_log(path: PathBuf, started_at: Instant, cache: Rc<RefCell<TableCache>>) {
    let mut tail = LogTail::default();
    let (mut ignored_counts, mut error_logged) = (BTreeMap::<access_log::LineError, u64>::new(), false);
    loop {
        match tail.read_new_lines(&path).await {
            Ok(lines) => {
                error_logged = false;
                for line in lines {
                    match access_log::parse_line(&line) {
                        Ok(Some(request)) => {
                            count_request(&mut cache.borrow_mut(), started_at.elapsed(), &request);
                        }
                        Ok(None) => {}
                        Err(why) => {
                            metrics::counter!("wrenthread_log_lines_odd_total", "why" => why.to_string())
                                .increment(1);
                            let times = ignored_counts.entry(why).or_default();
                            *times += 1;
                            if times.is_power_of_two() {
                                tracing::warn!(%why, times, "ignoring access log lines");
                            }
                        }
                    }
                }
            }
            // Logged only once until reading succeeds again.
            Err(error) if !error_logged => {
                error_logged = true;
                tracing::warn!(%error, path = %path.display(), "cannot read the access log");
            }
            Err(_) => {}
        }
        tokio::time::sleep(LOG_POLL_INTERVAL).await;
    }
}

/// Adds a logged request to the counters that reports are built from.
fn count_request(cache: &mut TableCache, now: Duration, request: &access_log::LoggedRequest) {
    let Some(class) = cache.class_index(&request.class) else { return };
    if request.attempts.is_empty() {
        return cache.request_rejected(class);
    }
    for attempt in &request.attempts {
        let address: Arc<str> = attempt.address.as_str().into();
        // Skips servers that have not been in any table received so far; earlier tables count, too.
        if cache.replica_at(&address).is_none() {
            continue;
        }
        cache.attempt_started(class, &address);
        let outcome = match attempt.latency {
            Some(latency) => Outcome::Succeeded { latency, load: &[] },
            None => Outcome::Failed,
        };
        cache.attempt_ended(now, class, &address, outcome);
    }
}

/// Reads new lines of a log file that is rotated from time to time.
#[derive(Default)]
struct LogTail {
    /// The open file, its device and inode numbers, and the offset read so far.
    open: Option<(tokio::fs::File, (u64, u64), u64)>,
    splitter: LineSplitter,
    /// Whether the file has been opened before.
    has_opened: bool,
}

impl LogTail {
    async fn read_new_lines(&mut self, path: &Path) -> std::io::Result<Vec<String>> {
        let mut lines = Vec::new();
        if let Some((file, id, offset)) = &mut self.open {
            read_lines(file, offset, &mut self.splitter, &mut lines).await?;
            let metadata = tokio::fs::metadata(path).await;
            let is_same_file =
                metadata.as_ref().is_ok_and(|metadata| (metadata.dev(), metadata.ino()) == *id);
            let is_truncated = is_same_file && metadata.is_ok_and(|metadata| metadata.len() < *offset);
            if is_same_file && !is_truncated {
                return Ok(lines);
            }
            // The path refers to another file, or the file was truncated. What nginx had written to the old file
            // has been read above; continues with the new one.
            self.splitter.rotated();
            self.open = None;
        }
        let mut file = match tokio::fs::File::open(path).await {
            Ok(file) => file,
            // After a rotation, the file does not exist until nginx reopens its log.
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && self.has_opened => {
                return Ok(lines);
            }
            Err(error) => return Err(error),
        };
        let metadata = file.metadata().await?;
        let mut offset = 0;
        if !self.has_opened {
            // Lines written before the agent started are not reported.
            offset = file.seek(SeekFrom::End(0)).await?;
            if offset > 0 {
                self.splitter = LineSplitter::from_mid_line();
                // Starts at the last byte: if it is a newline, the next line is complete and is not skipped.
                file.seek(SeekFrom::Start(offset - 1)).await?;
                offset -= 1;
            }
        }
        self.has_opened = true;
        read_lines(&mut file, &mut offset, &mut self.splitter, &mut lines).await?;
        self.open = Some((file, (metadata.dev(), metadata.ino()), offset));
        Ok(lines)
    }
}

/// Reads the lines that were added to a file, up to about [`MAX_READ_BYTES`] bytes.
async fn read_lines(
    file: &mut tokio::fs::File,
    offset: &mut u64,
    splitter: &mut LineSplitter,
    lines: &mut Vec<String>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    let mut remaining = MAX_READ_BYTES;
    while remaining > 0 {
        let count = file.read(&mut buffer).await?;
        if count == 0 {
            break;
        }
        *offset += count as u64;
        remaining = remaining.saturating_sub(count);
        lines.extend(splitter.push(&buffer[..count]));
    }
    let long = splitter.take_too_long_count();
    if long > 0 {
        tracing::warn!(long, "ignoring access log lines that are too long");
    }
    Ok(())
}

/// Sends load reports at intervals while there is a session.
async fn send_reports(
    interval: f64,
    cache: Rc<RefCell<TableCache>>,
    sessions: watch::Receiver<Option<poll::Session>>,
) {
    let interval = Duration::try_from_secs_f64(interval).unwrap_or(Duration::from_secs(1));
    let (mut reported_at, mut number) = (Instant::now(), 0);
    loop {
        tokio::time::sleep(interval).await;
        let Some(session) = sessions.borrow().clone() else { continue };
        let stats = cache.borrow_mut().take_counters();
        let report = poll::report_request(&cache.borrow(), reported_at.elapsed(), &stats);
        reported_at = Instant::now();
        number += 1;
        match session.report(number, &report).await {
            Ok(true) => {}
            Ok(false) => tracing::debug!(number, "the governor did not count a report"),
            Err(why) => tracing::debug!(%why, number, "cannot send a report"),
        }
    }
}
