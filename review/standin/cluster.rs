//! The product's own processes on loopback addresses, and the record of a case.

use std::{
    collections::BTreeMap,
    fs::{self, File},
    io::Write,
    net::{SocketAddr, TcpListener},
    os::unix::process::CommandExt,
    path::PathBuf,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex},
    thread::sleep,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::http::{Message, call};

/// The program that the deploy file runs on every machine.
const PROGRAM: &str = "target/release/poplarhollow-edge";
/// Port of the metrics in the deploy file.
const METRICS: u16 = 9464;

/// What was sent, answered and run, with the seconds since the start of the case.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { start: Instant::now(), file })
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn note(&self, text: &str) {
        let line = format!("{:8.3} s  {text}\n", self.now().as_secs_f64());
        let mut file = self.file.lock().unwrap();
        let _ = file.write_all(line.as_bytes());
    }
}

/// Milliseconds since the epoch.
pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}

/// A number that differs from run to run.
fn seed() -> u64 {
    unix_ms().wrapping_mul(6_364_136_223_846_793_005).wrapping_add(u64::from(std::process::id()))
}

/// Ports of the machines, the same on all.
#[derive(Clone, Copy)]
pub struct Ports {
    pub frontend: u16,
    pub ready: u16,
    pub control: u16,
    pub directory: u16,
    pub peer: u16,
}

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, arg2: u64, arg3: u64, arg4: u64, arg5: u64) -> i32;
}

/// PR_SET_PDEATHSIG and SIGKILL on Linux.
const SET_PARENT_DEATH_SIGNAL: i32 = 1;
const KILL: u64 = 9;

/// SIGSTOP and SIGCONT on Linux.
const STOP: i32 = 19;
const CONTINUE: i32 = 18;

/// Which machines there are.
#[derive(Clone, Copy)]
pub struct Layout {
    /// All machines; the third part of them is in each of three zones.
    pub hosts: &'static [u8],
    /// Those that have a disk.
    pub disks: &'static [u8],
    /// Those whose control address is a seed.
    pub seeds: &'static [u8],
}

/// Three machines with a disk, one in each zone.
pub const SMALL: Layout = Layout { hosts: &[1, 2, 3], disks: &[1, 2, 3], seeds: &[1, 2, 3] };

/// Machines and their processes.
pub struct Cluster {
    pub record: Record,
    pub layout: Layout,
    net: String,
    pub ports: Ports,
    dir: PathBuf,
    children: BTreeMap<u8, Child>,
}

impl Cluster {
    /// Chooses a loopback network whose addresses and ports are free.
    pub fn new(record: &Record, layout: Layout) -> Option<Cluster> {
        let mut draw = seed();
        for _ in 0..50 {
            draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963);
            let net = format!("127.{}.{}", 20 + (draw >> 33) % 200, 1 + (draw >> 45) % 250);
            let first = 21_000 + ((draw >> 20) % 8_000) as u16;
            let ports = Ports {
                frontend: first,
                ready: first + 1,
                control: first + 2,
                directory: first + 3,
                peer: first + 10,
            };
            let used = [first, first + 1, first + 2, first + 3, first + 10, first + 11, METRICS];
            let is_free = layout.hosts.iter().all(|host| {
                used.iter().all(|port| TcpListener::bind(format!("{net}.{host}:{port}")).is_ok())
            });
            if !is_free {
                continue;
            }
            let dir = std::env::temp_dir().join(format!("review-{}-{draw}", std::process::id()));
            fs::create_dir_all(&dir).ok()?;
            let children = BTreeMap::new();
            let record = record.clone();
            return Some(Cluster { record, layout, net, ports, dir, children });
        }
        None
    }

    pub fn ip(&self, last: u8) -> String {
        format!("{}.{last}", self.net)
    }

    pub fn addr(&self, host: u8, port: u16) -> SocketAddr {
        format!("{}:{port}", self.ip(host)).parse().unwrap()
    }

    pub fn control(&self) -> Vec<SocketAddr> {
        self.layout.hosts.iter().map(|&host| self.addr(host, self.ports.control)).collect()
    }

    pub fn data(&self, host: u8) -> PathBuf {
        self.dir.join(format!("data{host}"))
    }

    /// Starts the process of a machine, as the deploy file says.
    pub fn start(&mut self, host: u8, bootstrap: bool) -> bool {
        let (own, ports) = (self.ip(host), self.ports);
        let control = |host: &u8| self.addr(*host, ports.control).to_string();
        let seeds: Vec<String> = self.layout.seeds.iter().map(control).collect();
        let has_disk = self.layout.disks.contains(&host);
        let disk = match has_disk {
            true => format!("limits.diskMb=64\ndataDir={}\n", self.data(host).display()),
            false => String::new(),
        };
        let zone = 1 + (host - 1) % 3;
        let share = if has_disk { 0.45 } else { 0.25 };
        let text = format!(
            "nodeName=edge-{host}\nrole=edge\nmachineClass=edge\nserves=edge,control_plane,registry\n\
             ip={own}\nzone=z{zone}\nregion=r\nzones.z1=r\nzones.z2=r\nzones.z3=r\n\
             listenAddresses.frontend={own}:{}\nlistenAddresses.ready={own}:{}\n\
             listenAddresses.controlPlane={own}:{}\nlistenAddresses.directory={own}:{}\n\
             portRange={},{}\nseeds={}\nbootstrap={bootstrap}\nfaultCounted={has_disk}\n\
             limits.cpuQuota={share}\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             limits.linkMbps=1000.0\n{disk}discovery=self_register\n\
             entryPoint=registry\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine\n\
             faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.downgradeMs=250\nbounds.partitionMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryAllowance=62\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\n\
             bounds.fencingEnforced=false\nbounds.leaseMs=3000\nbounds.thawMs=300\n\
             bounds.ceilingWindowS=5\nbounds.loadBurstFactor=1.1\nbounds.version_ms=5000\n\
             bounds.ttl_max_s=5\nconfigMode=highest\n",
            ports.frontend,
            ports.ready,
            ports.control,
            ports.directory,
            ports.peer,
            ports.peer + 15,
            seeds.join(","),
        );
        let path = self.dir.join(format!("host{host}.conf"));
        let log =
            File::options().create(true).append(true).open(self.dir.join(format!("{host}.log")));
        let (Ok(()), Ok(log)) = (fs::write(&path, text), log) else { return false };
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("PATH", "/usr/bin:/bin").env("HOME", &self.dir);
        command.env("POPLARHOLLOW_BOOT", &path).stdin(Stdio::null());
        // SAFETY: the call is safe between fork and exec. The process ends with this one.
        unsafe {
            command.pre_exec(|| {
                prctl(SET_PARENT_DEATH_SIGNAL, KILL, 0, 0, 0);
                Ok(())
            });
        }
        let errors = log.try_clone();
        let Ok(errors) = errors else { return false };
        match command.stdout(log).stderr(errors).spawn() {
            Ok(child) => {
                self.record.note(&format!("machine {host} starts (bootstrap={bootstrap})"));
                self.children.insert(host, child);
                true
            }
            Err(error) => {
                self.record.note(&format!("machine {host} could not be started: {error}"));
                false
            }
        }
    }

    /// Kills the process of a machine with SIGKILL.
    pub fn kill(&mut self, host: u8) {
        if let Some(mut child) = self.children.remove(&host) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("machine {host}: SIGKILL"));
        }
    }

    /// Kills the processes of several machines at the same moment.
    pub fn kill_all(&mut self, hosts: &[u8]) {
        for host in hosts {
            if let Some(child) = self.children.get_mut(host) {
                let _ = child.kill();
            }
        }
        for &host in hosts {
            self.kill(host);
        }
    }

    /// Stops the process of a machine, or lets it go on.
    pub fn freeze(&self, host: u8, frozen: bool) {
        let Some(child) = self.children.get(&host) else { return };
        // SAFETY: the child was started here and is not waited for yet.
        unsafe { kill(child.id() as i32, if frozen { STOP } else { CONTINUE }) };
        let what = if frozen { "stands still" } else { "goes on" };
        self.record.note(&format!("machine {host} {what}"));
    }

    /// Removes the disk of a machine whose process is down.
    pub fn wipe(&mut self, host: u8) {
        let _ = fs::remove_dir_all(self.data(host));
        self.record.note(&format!("machine {host}: its disk is lost"));
    }

    /// Whether all started processes still run.
    pub fn all_run(&mut self) -> bool {
        self.children.values_mut().all(|it| matches!(it.try_wait(), Ok(None)))
    }

    /// Whether a machine says that it is ready.
    pub fn is_ready(&self, host: u8) -> bool {
        let addr = self.addr(host, self.ports.ready);
        let answer = call(addr, "GET", "/poplarhollow/readyz", &[], "", Duration::from_secs(1));
        answer.is_ok_and(|it| it.status() == 200)
    }

    /// Waits until the machines are ready; false if that takes too long.
    pub fn wait_ready(&self, hosts: &[u8], limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            if hosts.iter().all(|&host| self.is_ready(host)) {
                self.record.note(&format!("machines {hosts:?} are ready"));
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    /// Sends a configuration, unchanged, to one node after the other until it is acknowledged.
    /// Returns the machine that acknowledged it.
    pub fn replace(&self, hosts: &[u8], body: &str, limit: Duration) -> Option<u8> {
        let until = Instant::now() + limit;
        let mut at = 0;
        while Instant::now() < until {
            let host = hosts[at % hosts.len()];
            at += 1;
            let addr = self.addr(host, self.ports.control);
            let path = "/poplarhollow/Config.Replace";
            let json = [("Content-Type", "application/json")];
            // The operator moves on after a second without a response.
            match call(addr, "POST", path, &json, body, Duration::from_secs(1)) {
                Ok(answer) if answer.status() == 200 => {
                    self.record.note(&format!("machine {host} acknowledges the configuration"));
                    return Some(host);
                }
                Ok(answer) => {
                    self.record.note(&format!("Config.Replace at {host}: {}", answer.status()));
                }
                Err(error) => self.record.note(&format!("Config.Replace at {host}: {error}")),
            }
            sleep(Duration::from_millis(300));
        }
        None
    }

    /// Reads the configuration at a machine.
    pub fn fetch(&self, host: u8) -> std::io::Result<Message> {
        let addr = self.addr(host, self.ports.control);
        call(addr, "GET", "/poplarhollow/Config.Fetch", &[], "", Duration::from_secs(1))
    }

    /// Copies lines of the machines' logs that contain one of the words into the record.
    pub fn copy_logs(&self, words: &[&str]) {
        for host in self.layout.hosts {
            let Ok(text) = fs::read_to_string(self.dir.join(format!("{host}.log"))) else {
                continue;
            };
            for line in text.lines().filter(|line| words.iter().any(|it| line.contains(it))) {
                self.record.note(&format!("log of {host}: {line}"));
            }
        }
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let hosts: Vec<u8> = self.children.keys().copied().collect();
        self.kill_all(&hosts);
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.dir);
        }
    }
}
