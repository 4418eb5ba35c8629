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
use wrenthread_nginx::access_log::{self, Lines as LogLines};
use wrenthread_nginx::blocks::{self, Tables, UpstreamTable};
use wrenthread_nginx::write_debouncer::WriteDebouncer;
use wrenthread_settings::{Nginx, Settings};

/// The delay before joining again after a failed join or an ended session.
const AGAIN: Duration = Duration::from_millis(500);
/// How often the access log is checked for new lines.
const LOOK: Duration = Duration::from_millis(100);
/// About how much of the access log is read at once.
const GULP: usize = 1 << 20;

/// The proxy that the agent joins as, and the governor that it joins.
pub struct Place {
    pub who: ProxyIdentity,
    /// `http://host:port` of the governor's long-poll interface.
    pub at: String,
}

/// Formats a proxy's current tables, as returned by a running governor, as upstream blocks.
///
/// Errors: a table has no name, the proxy uses its default table, or the tables can't be written as upstream blocks.
pub fn print(tables: &Value) -> Result<String> {
    let mut all = Tables::new();
    for group in tables["groups"].as_array().into_iter().flatten() {
        let name = group["group"].as_str().context("a group in the governor's answer has no name")?;
        let open = |line: &&Value| line["open"].as_bool() == Some(true);
        let line = |line: &Value| Some((line["address"].as_str()?.to_string(), line["weight"].as_f64()?));
        let Some(lines) = group["lines"].as_array() else {
            bail!(
                "the proxy uses its default table for group `{name}`: there are no upstream servers to write"
            );
        };
        let lines = lines.iter().filter(open).filter_map(line).collect();
        all.insert(
            name.to_string(),
            UpstreamTable { servers: lines, admission_fraction: group["level"].as_f64().unwrap_or(1.0) },
        );
    }
    let name = tables["name"].as_str().unwrap_or_default();
    Ok(blocks::write(&all, &format!("tables of proxy `{name}`, version {}", tables["sent"]))?)
}

/// Runs the agent until SIGTERM or SIGINT. The last written file remains, and nginx continues to use it.
///
/// Errors: the include file's folder does not exist, or the runtime or signal handlers can't be set up.
pub fn run(settings: &Settings, place: Place, once: bool) -> Result<()> {
    let folder = settings.nginx.include_file.parent().unwrap_or(Path::new("."));
    let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
    std::fs::metadata(folder)
        .with_context(|| format!("cannot access the folder {} of the include file", folder.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .context("cannot start the tokio runtime")?;
    LocalSet::new().block_on(&runtime, agent(settings, place, once))
}

struct Told {
    began: Instant,
    /// Version and tables; only the latest are kept, as the file needs no intermediate ones.
    tables: watch::Sender<(String, Tables)>,
}

impl Observer for Told {
    fn update_received(&self, mark: &str, _: usize, tables: &UpdatedTables) {
        let lines = |(lines, level): &(Vec<(Arc<str>, f64)>, f64)| UpstreamTable {
            servers: lines.iter().map(|(at, weight)| (at.to_string(), *weight)).collect(),
            admission_fraction: *level,
        };
        let tables: Tables = tables.iter().map(|(group, one)| (group.clone(), lines(one))).collect();
        if !tables.is_empty() {
            tracing::debug!(mark, at = self.began.elapsed().as_secs_f64(), "tables received");
            self.tables.send_replace((mark.to_string(), tables));
        }
    }
}

#[expect(clippy::too_many_lines, reason = "left for readers: docs/ROADMAP.md")]
async fn agent(settings: &Settings, place: Place, once: bool) -> Result<()> {
    let began = Instant::now();
    let groups: Vec<String> = settings.groups.iter().map(|group| group.name.clone()).collect();
    let cache = Rc::new(RefCell::new(TableCache::new(groups, Vec::new(), None)));
    let (told, mut tables) = watch::channel((String::new(), Tables::new()));
    // The current session, which reports are sent to.
    let (session, sessions) = watch::channel::<Option<poll::Session>>(None);
    let place = Rc::new(place);
    {
        let (place, cache, told) = (place.clone(), cache.clone(), Told { began, tables: told });
        tokio::task::spawn_local(async move {
            loop {
                match poll::Session::join(&place.at, &place.who, &cache).await {
                    Ok(joined) => {
                        tracing::info!(at = place.at, "joined the governor");
                        session.send_replace(Some(joined.clone()));
                        let ended = poll::follow(&joined, &cache, &told).await;
                        session.send_replace(None);
                        if let Err(why) = ended {
                            tracing::warn!(%why, "session with the governor ended; nginx keeps its current file");
                        }
                    }
                    Err(why) => {
                        tracing::warn!(%why, "cannot join the governor; nginx keeps its current file")
                    }
                }
                tokio::time::sleep(AGAIN).await;
            }
        });
    }
    if let Some(log) = settings.nginx.access_log.clone() {
        tokio::task::spawn_local(read_log(log, began, cache.clone()));
        tokio::task::spawn_local(report(settings.report_interval, cache.clone(), sessions));
    }
    let mut terminate = tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate())
        .context("cannot handle SIGTERM")?;
    let span = |seconds: f64| Duration::try_from_secs_f64(seconds).unwrap_or_default();
    let mut pacer =
        WriteDebouncer::new(span(settings.nginx.min_interval), span(settings.nginx.min_drain_interval));
    let (mut mark, mut running) = (String::new(), None);
    let (ends, mut ended) = mpsc::channel(1);
    loop {
        let due = pacer.next_deadline();
        let wait = due.map(|due| due.saturating_sub(began.elapsed()));
        tokio::select! {
            biased;
            _ = terminate.recv() => break,
            _ = tokio::signal::ctrl_c() => break,
            Ok(()) = tables.changed() => {
                let (told, newest) = tables.borrow_and_update().clone();
                mark = told;
                pacer.set_wanted(newest);
            }
            Some(well) = ended.recv() => {
                pacer.write_finished(well);
                metrics::counter!("wrenthread_nginx_files_total", "well" => well.to_string()).increment(1);
                if once && well {
                    break;
                }
            }
            () = tokio::time::sleep(wait.unwrap_or(Duration::MAX / 2).min(Duration::from_secs(3600))) => {}
        }
        let Some(tables) = pacer.start_write(began.elapsed()) else { continue };
        let (nginx, says, ends) = (settings.nginx.clone(), format!("version {mark}"), ends.clone());
        let failures = pacer.failures();
        running = Some(tokio::task::spawn_local(async move {
            let done = put(&nginx, &tables, &says).await;
            match &done {
                Ok(()) => tracing::info!(says, groups = tables.len(), "include file written"),
                Err(why) => tracing::error!(
                    why = format!("{why:#}"),
                    failures,
                    "cannot update the include file; nginx keeps its previous one"
                ),
            }
            let _ = ends.send(done.is_ok()).await;
        }));
    }
    // Waits for a running reload: interrupting it could leave a file that nginx has not loaded.
    if let Some(running) = running.filter(|running| !running.is_finished()) {
        let _ = tokio::time::timeout(span(settings.nginx.reload_timeout), running).await;
    }
    tracing::info!("agent stopping; nginx keeps its current file");
    Ok(())
}

/// Replaces the include file and reloads nginx. If the reload fails, the previous file is restored.
async fn put(nginx: &Nginx, tables: &Tables, says: &str) -> Result<()> {
    let text = blocks::write(tables, says).context("cannot write the received tables as upstream blocks")?;
    let before = match tokio::fs::read(&nginx.include_file).await {
        Ok(before) => Some(before),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => return Err(error).with_context(|| nginx.include_file.display().to_string()),
    };
    replace(&nginx.include_file, text.as_bytes()).await?;
    let Err(why) = reload(nginx).await else { return Ok(()) };
    // nginx may be restarted at any time and would then fail on a file that it has rejected.
    match before {
        Some(before) => replace(&nginx.include_file, &before).await?,
        None => {
            tokio::fs::remove_file(&nginx.include_file)
                .await
                .context("cannot remove the include file that nginx rejected")?;
        }
    }
    Err(why)
}

async fn replace(path: &Path, text: &[u8]) -> Result<()> {
    let new = path.with_extension("conf.new~");
    let written = async {
        tokio::fs::write(&new, text).await?;
        tokio::fs::File::open(&new).await?.sync_all().await?;
        tokio::fs::rename(&new, path).await
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
    let within = Duration::try_from_secs_f64(nginx.reload_timeout).unwrap_or_default();
    let ran = tokio::time::timeout(within, command).await;
    let ran = ran.with_context(|| {
        format!("reload command `{program}` did not finish within {} s", nginx.reload_timeout)
    })?;
    let ran = ran.with_context(|| format!("cannot run the reload command `{program}`"))?;
    if !ran.status.success() {
        let said: String = String::from_utf8_lossy(&ran.stderr).chars().take(500).collect();
        bail!("reload command `{program}` failed with {}: {}", ran.status, said.trim());
    }
    Ok(())
}

/// Follows the access log from its current end, across rotations, and counts the requests in the cache.
async fn read_log(path: PathBuf, began: Instant, cache: Rc<RefCell<TableCache>>) {
    let mut tail = Tail::default();
    let (mut odd, mut said) = (BTreeMap::<access_log::Odd, u64>::new(), false);
    loop {
        match tail.look(&path).await {
            Ok(lines) => {
                said = false;
                for line in lines {
                    match access_log::flow(&line) {
                        Ok(Some(flow)) => count(&mut cache.borrow_mut(), began.elapsed(), &flow),
                        Ok(None) => {}
                        Err(why) => {
                            metrics::counter!("wrenthread_log_lines_odd_total", "why" => why.to_string())
                                .increment(1);
                            let times = odd.entry(why).or_default();
                            *times += 1;
                            if times.is_power_of_two() {
                                tracing::warn!(%why, times, "ignoring access log lines");
                            }
                        }
                    }
                }
            }
            // Logged only once until reading succeeds again.
            Err(error) if !said => {
                said = true;
                tracing::warn!(%error, path = %path.display(), "cannot read the access log");
            }
            Err(_) => {}
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// Adds a logged request to the counters that reports are built from.
fn count(cache: &mut TableCache, now: Duration, flow: &access_log::Flow) {
    let Some(group) = cache.class_index(&flow.group) else { return };
    if flow.tries.is_empty() {
        return cache.request_rejected(group);
    }
    for one in &flow.tries {
        let at: Arc<str> = one.address.as_str().into();
        // Skips servers that have not been in any table received so far; earlier tables count, too.
        if cache.replica_at(&at).is_none() {
            continue;
        }
        cache.attempt_started(group, &at);
        let outcome = match one.answered {
            Some(took) => Outcome::Succeeded { latency: took, load: &[] },
            None => Outcome::Failed,
        };
        cache.attempt_ended(now, group, &at, outcome);
    }
}

/// Reads new lines of a log file that is rotated from time to time.
#[derive(Default)]
struct Tail {
    /// The open file, its device and inode numbers, and the offset read so far.
    open: Option<(tokio::fs::File, (u64, u64), u64)>,
    lines: LogLines,
    ever: bool,
}

impl Tail {
    async fn look(&mut self, path: &Path) -> std::io::Result<Vec<String>> {
        let mut lines = Vec::new();
        if let Some((file, id, read)) = &mut self.open {
            drain(file, read, &mut self.lines, &mut lines).await?;
            let there = tokio::fs::metadata(path).await;
            let same = there.as_ref().is_ok_and(|there| (there.dev(), there.ino()) == *id);
            let cut = same && there.is_ok_and(|there| there.len() < *read);
            if same && !cut {
                return Ok(lines);
            }
            // The path refers to another file, or the file was truncated. What nginx had written to the old file
            // has been read above; continues with the new one.
            self.lines.rotated();
            self.open = None;
        }
        let mut file = match tokio::fs::File::open(path).await {
            Ok(file) => file,
            // After a rotation, the file does not exist until nginx reopens its log.
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && self.ever => return Ok(lines),
            Err(error) => return Err(error),
        };
        let there = file.metadata().await?;
        let mut read = 0;
        if !self.ever {
            // Lines written before the agent started are not reported.
            read = file.seek(SeekFrom::End(0)).await?;
            if read > 0 {
                self.lines = LogLines::from_the_midst();
                // Starts at the last byte: if it is a newline, the next line is complete and is not skipped.
                file.seek(SeekFrom::Start(read - 1)).await?;
                read -= 1;
            }
        }
        self.ever = true;
        drain(&mut file, &mut read, &mut self.lines, &mut lines).await?;
        self.open = Some((file, (there.dev(), there.ino()), read));
        Ok(lines)
    }
}

/// Reads the lines that were added to a file, up to about [`GULP`] bytes.
async fn drain(
    file: &mut tokio::fs::File,
    read: &mut u64,
    from: &mut LogLines,
    lines: &mut Vec<String>,
) -> std::io::Result<()> {
    let mut buffer = vec![0; 64 << 10];
    let mut left = GULP;
    while left > 0 {
        let got = file.read(&mut buffer).await?;
        if got == 0 {
            break;
        }
        *read += got as u64;
        left = left.saturating_sub(got);
        lines.extend(from.more(&buffer[..got]));
    }
    let long = from.take_long();
    if long > 0 {
        tracing::warn!(long, "ignoring access log lines that are too long");
    }
    Ok(())
}

/// Sends load reports at intervals while there is a session.
async fn report(
    every: f64,
    cache: Rc<RefCell<TableCache>>,
    sessions: watch::Receiver<Option<poll::Session>>,
) {
    let every = Duration::try_from_secs_f64(every).unwrap_or(Duration::from_secs(1));
    let (mut last, mut number) = (Instant::now(), 0);
    loop {
        tokio::time::sleep(every).await;
        let Some(session) = sessions.borrow().clone() else { continue };
        let stats = cache.borrow_mut().take_counters();
        let report = poll::report(&cache.borrow(), last.elapsed(), &stats);
        last = Instant::now();
        number += 1;
        match session.report(number, &report).await {
            Ok(true) => {}
            Ok(false) => tracing::debug!(number, "the governor did not count a report"),
            Err(why) => tracing::debug!(%why, number, "cannot send a report"),
        }
    }
}
