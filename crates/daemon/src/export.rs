//! `wrenthread export nginx`: an agent beside an nginx. It follows a governor as a proxy does, by long-poll,
//! and puts what it is told into a file that nginx includes; it has nginx read the file, and reads nginx's
//! access log as load reports.

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

/// How long until a governor is asked again that could not be had.
const AGAIN: Duration = Duration::from_millis(500);
/// How often the log is looked at, and how much of it is read in one go.
const LOOK: Duration = Duration::from_millis(100);
const GULP: usize = 1 << 20;

/// Who the nginx is among proxies, and where its governor is.
pub struct Place {
    pub who: ProxyIdentity,
    /// `http://host:port` of the governor's long-poll front.
    pub at: String,
}

/// Prints a proxy's present tables, as a running governor tells them, as upstream blocks.
///
/// Errors: no such proxy; tables that can't be written as such.
pub fn print(tables: &Value) -> Result<String> {
    let mut all = Tables::new();
    for group in tables["groups"].as_array().into_iter().flatten() {
        let name = group["group"].as_str().context("a group without its name")?;
        let open = |line: &&Value| line["open"].as_bool() == Some(true);
        let line = |line: &Value| Some((line["address"].as_str()?.to_string(), line["weight"].as_f64()?));
        let Some(lines) = group["lines"].as_array() else {
            bail!("the proxy stands on its own table for `{name}`: there is nothing to write");
        };
        let lines = lines.iter().filter(open).filter_map(line).collect();
        all.insert(
            name.to_string(),
            UpstreamTable { servers: lines, admission_fraction: group["level"].as_f64().unwrap_or(1.0) },
        );
    }
    let name = tables["name"].as_str().unwrap_or_default();
    Ok(blocks::write(&all, &format!("what `{name}` holds, at version {}", tables["sent"]))?)
}

/// Follows until a signal to stop. The file stays as it is then, and nginx goes on with it.
///
/// Errors: sockets, signals or the folder of the file can't be had.
pub fn run(settings: &Settings, place: Place, once: bool) -> Result<()> {
    let folder = settings.nginx.include_file.parent().unwrap_or(Path::new("."));
    let folder = if folder.as_os_str().is_empty() { Path::new(".") } else { folder };
    std::fs::metadata(folder).with_context(|| format!("the folder {}", folder.display()))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().context("tokio")?;
    LocalSet::new().block_on(&runtime, agent(settings, place, once))
}

struct Told {
    began: Instant,
    /// The newest state only: those between are of no use to a file.
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
            tracing::debug!(mark, at = self.began.elapsed().as_secs_f64(), "told");
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
    // The session that reports go to, while there is one.
    let (session, sessions) = watch::channel::<Option<poll::Session>>(None);
    let place = Rc::new(place);
    {
        let (place, cache, told) = (place.clone(), cache.clone(), Told { began, tables: told });
        tokio::task::spawn_local(async move {
            loop {
                match poll::Session::join(&place.at, &place.who, &cache).await {
                    Ok(joined) => {
                        tracing::info!(at = place.at, "the governor is followed");
                        session.send_replace(Some(joined.clone()));
                        let ended = poll::follow(&joined, &cache, &told).await;
                        session.send_replace(None);
                        if let Err(why) = ended {
                            tracing::warn!(%why, "the session is over; nginx keeps what it has");
                        }
                    }
                    Err(why) => tracing::warn!(%why, "no governor is followed; nginx keeps what it has"),
                }
                tokio::time::sleep(AGAIN).await;
            }
        });
    }
    if let Some(log) = settings.nginx.access_log.clone() {
        tokio::task::spawn_local(read_log(log, began, cache.clone()));
        tokio::task::spawn_local(report(settings.report_interval, cache.clone(), sessions));
    }
    let mut terminate =
        tokio::signal::unix::signal(tokio::signal::unix::SignalKind::terminate()).context("signals")?;
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
                Ok(()) => tracing::info!(says, groups = tables.len(), "the file is written"),
                Err(why) => tracing::error!(why = format!("{why:#}"), failures, "nginx keeps what it had"),
            }
            let _ = ends.send(done.is_ok()).await;
        }));
    }
    // A reload in the midst is let come to its end: half of one would leave a file that nobody reads.
    if let Some(running) = running.filter(|running| !running.is_finished()) {
        let _ = tokio::time::timeout(span(settings.nginx.reload_timeout), running).await;
    }
    tracing::info!("the agent stops; nginx keeps what it has");
    Ok(())
}

/// Replaces the file whole, and has nginx read it. Where it does not, the file is as it was before.
async fn put(nginx: &Nginx, tables: &Tables, says: &str) -> Result<()> {
    let text = blocks::write(tables, says).context("what is told can't be written as upstream blocks")?;
    let before = match tokio::fs::read(&nginx.include_file).await {
        Ok(before) => Some(before),
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => None,
        Err(error) => return Err(error).with_context(|| nginx.include_file.display().to_string()),
    };
    replace(&nginx.include_file, text.as_bytes()).await?;
    let Err(why) = reload(nginx).await else { return Ok(()) };
    // nginx may be started anew at any time, and must not find there what it would not take.
    match before {
        Some(before) => replace(&nginx.include_file, &before).await?,
        None => {
            tokio::fs::remove_file(&nginx.include_file)
                .await
                .context("the file that nginx would not take")?;
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
    let ran = ran.with_context(|| format!("`{program}` takes more than {} s", nginx.reload_timeout))?;
    let ran = ran.with_context(|| format!("`{program}` can't be run"))?;
    if !ran.status.success() {
        let said: String = String::from_utf8_lossy(&ran.stderr).chars().take(500).collect();
        bail!("`{program}` ended with {}: {}", ran.status, said.trim());
    }
    Ok(())
}

/// Reads what is added to the log, from its present end on, over rotations.
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
                                tracing::warn!(%why, times, "lines of the access log do not count");
                            }
                        }
                    }
                }
            }
            // Said once, not at every look.
            Err(error) if !said => {
                said = true;
                tracing::warn!(%error, path = %path.display(), "the access log can't be read");
            }
            Err(_) => {}
        }
        tokio::time::sleep(LOOK).await;
    }
}

/// A flow as a report has it.
fn count(cache: &mut TableCache, now: Duration, flow: &access_log::Flow) {
    let Some(group) = cache.class_index(&flow.group) else { return };
    if flow.tries.is_empty() {
        return cache.request_rejected(group);
    }
    for one in &flow.tries {
        let at: Arc<str> = one.address.as_str().into();
        // A table before the present one may have told it; one that never was told is none of ours.
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

/// A log that grows, and is replaced now and then.
#[derive(Default)]
struct Tail {
    /// The file, which it is (device and number), and how far it is read.
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
            // Another file has its name, or it was cut to nothing: what nginx still wrote into the old one
            // until now is read, the rest is its next file's.
            self.lines.rotated();
            self.open = None;
        }
        let mut file = match tokio::fs::File::open(path).await {
            Ok(file) => file,
            // Between a rotation and nginx's opening it anew there is none.
            Err(error) if error.kind() == std::io::ErrorKind::NotFound && self.ever => return Ok(lines),
            Err(error) => return Err(error),
        };
        let there = file.metadata().await?;
        let mut read = 0;
        if !self.ever {
            // What was before the agent is nobody's report.
            read = file.seek(SeekFrom::End(0)).await?;
            if read > 0 {
                self.lines = LogLines::from_the_midst();
                // At the end of a line there is nothing to pass over.
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

/// What was added to a file, in bounded parts.
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
        tracing::warn!(long, "lines of the access log are too long and do not count");
    }
    Ok(())
}

/// Reports what the log told, to whichever session there is.
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
            Ok(false) => tracing::debug!(number, "a report does not count"),
            Err(why) => tracing::debug!(%why, number, "a report did not get there"),
        }
    }
}
