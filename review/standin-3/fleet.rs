//! The platform: starts hosts with their settings on loopback addresses, freezes them, and ends them.

use std::{
    fs::{self, File},
    io::Write,
    net::{Ipv4Addr, SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// The command of the deploy file.
const PROGRAM: &str = "target/release/poplarhollow-edge";
const FRONTEND: u16 = 8149;
const READY: u16 = 8141;
const CONTROL: u16 = 8144;
const DIRECTORY: u16 = 8143;
const PEERS: (u16, u16) = (7380, 7395);
const METRICS: u16 = 9464;

const SIGKILL: i32 = 9;
const SIGSTOP: i32 = 19;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A machine: its name, its zone (from 1) and whether it has a disk.
#[derive(Clone, Copy)]
pub struct Machine {
    pub name: &'static str,
    pub zone: u8,
    pub disk: bool,
}

/// The machines, their processes and the record.
pub struct Fleet {
    machines: Vec<Machine>,
    /// Second byte of all addresses.
    network: u8,
    folder: PathBuf,
    seeds: Vec<&'static str>,
    processes: Vec<(&'static str, Child)>,
    record: File,
    started: Instant,
    /// Whether the whole system starts for the first time.
    bootstrap: bool,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for (_, process) in &mut self.processes {
            // It may be frozen, or have ended.
            let _ = process.kill();
            let _ = process.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Looks for free addresses and makes a temporary folder.
    pub fn new(
        machines: &[Machine],
        seeds: &[&'static str],
        record: &str,
    ) -> Result<Fleet, String> {
        if !std::path::Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing: build first"));
        }
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |it| it.subsec_nanos());
        let folder = std::env::temp_dir().join(format!("review-3-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|it| it.to_string())?;
        let record = File::create(record).map_err(|it| it.to_string())?;
        let mut fleet = Fleet {
            machines: machines.to_vec(),
            network: 0,
            folder,
            seeds: seeds.to_vec(),
            processes: Vec::new(),
            record,
            started: Instant::now(),
            bootstrap: true,
        };
        let first = (std::process::id() ^ nanos) % 180;
        for offset in 0..180 {
            fleet.network = 60 + ((first + offset) % 180) as u8;
            if fleet.is_free() {
                return Ok(fleet);
            }
        }
        Err("there are no free addresses".to_owned())
    }

    fn is_free(&self) -> bool {
        let ports = [FRONTEND, READY, CONTROL, DIRECTORY, PEERS.0, PEERS.0 + 1, METRICS];
        self.machines.iter().all(|machine| {
            ports.iter().all(|port| TcpListener::bind((self.ip(machine.name), *port)).is_ok())
        })
    }

    /// Returns a machine's address. Those with a disk have the lowest ones of their zone.
    fn ip(&self, name: &str) -> Ipv4Addr {
        let at = self.machines.iter().position(|it| it.name == name).unwrap_or_default();
        let machine = self.machines[at];
        let before = self.machines[..at].iter().filter(|it| it.zone == machine.zone).count();
        Ipv4Addr::new(127, self.network, machine.zone, 1 + before as u8)
    }

    pub fn control(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.ip(name), CONTROL))
    }

    pub fn frontend(&self, name: &str) -> SocketAddr {
        SocketAddr::from((self.ip(name), FRONTEND))
    }

    /// Returns an address beside those of the machines.
    pub fn other_addr(&self, port: u16) -> SocketAddr {
        SocketAddr::from((Ipv4Addr::new(127, self.network, 200, 1), port))
    }

    /// Returns the data folder of a machine.
    pub fn data(&self, name: &str) -> PathBuf {
        self.folder.join(format!("{name}-data"))
    }

    pub fn names(&self) -> Vec<&'static str> {
        self.machines.iter().map(|it| it.name).collect()
    }

    /// Time since the first start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    pub fn sleep_until(&self, at: f64) {
        std::thread::sleep(Duration::from_secs_f64(at).saturating_sub(self.now()));
    }

    /// Writes a line of the record.
    pub fn note(&mut self, line: &str) {
        let now = self.now().as_secs_f64();
        println!("{now:8.3} s  {line}");
        let _ = writeln!(self.record, "{now:8.3} s  {line}");
    }

    /// Starts a machine's process as the deploy file says.
    pub fn start(&mut self, name: &'static str) -> Result<(), String> {
        let machine = *self.machines.iter().find(|it| it.name == name).ok_or("no such machine")?;
        let settings = self.folder.join(format!("{name}.conf"));
        fs::write(&settings, self.settings(&machine)).map_err(|it| it.to_string())?;
        let mut command = Command::new(PROGRAM);
        command.env_clear().env("POPLARHOLLOW_BOOT", &settings).env("LANG", "C");
        let log =
            File::create(self.folder.join(format!("{name}.log"))).map_err(|it| it.to_string())?;
        command.stdin(Stdio::null()).stdout(log).stderr(Stdio::null());
        let process = command.spawn().map_err(|it| it.to_string())?;
        if self.processes.is_empty() && self.bootstrap {
            self.started = Instant::now();
        }
        self.processes.push((name, process));
        Ok(())
    }

    fn signal(&self, name: &str, signal: i32) {
        for (of, process) in &self.processes {
            if *of == name {
                // SAFETY: `kill` takes two numbers. The process is a child that was not waited for.
                unsafe { kill(process.id() as i32, signal) };
            }
        }
    }

    pub fn freeze(&mut self, name: &str) {
        self.signal(name, SIGSTOP);
        self.note(&format!("{name} stands still"));
    }

    pub fn runs(&self, name: &str) -> bool {
        self.processes.iter().any(|it| it.0 == name)
    }

    fn end(&mut self, name: &str) {
        self.signal(name, SIGKILL);
        for (_, process) in self.processes.iter_mut().filter(|it| it.0 == name) {
            let _ = process.wait();
        }
        self.processes.retain(|it| it.0 != name);
    }

    /// Ends a machine's process.
    pub fn lose_power(&mut self, name: &str) {
        self.end(name);
        self.note(&format!("{name} loses power"));
    }

    /// Ends a machine's process and removes its data folder.
    pub fn lose_disk(&mut self, name: &str) {
        self.end(name);
        let _ = fs::remove_dir_all(self.data(name));
        self.note(&format!("{name} loses power and its disk"));
    }

    /// Starts a machine's process again. It is no first start of the system.
    pub fn start_later(&mut self, name: &'static str) -> Result<(), String> {
        self.bootstrap = false;
        self.start(name)
    }

    /// Notes the lines of the hosts' logs about leaders and alarms.
    pub fn note_logs(&mut self) {
        for name in self.names() {
            let text =
                fs::read_to_string(self.folder.join(format!("{name}.log"))).unwrap_or_default();
            for line in text.lines() {
                if line.contains("\"event\":\"leader\"") || line.contains("\"event\":\"alarm\"") {
                    let _ = writeln!(self.record, "log of {name}: {line}");
                }
            }
        }
    }

    fn settings(&self, machine: &Machine) -> String {
        let ip = self.ip(machine.name);
        let seeds: Vec<String> = self.seeds.iter().map(|it| self.control(it).to_string()).collect();
        let data = match machine.disk {
            true => self.data(machine.name).display().to_string(),
            false => String::new(),
        };
        let (name, zone, seeds) = (machine.name, machine.zone, seeds.join(","));
        let (counted, quota) = (machine.disk, if machine.disk { 0.45 } else { 0.25 });
        let ((first, last), bootstrap) = (PEERS, self.bootstrap);
        format!(
            "nodeName={name}\nrole=edge\nmachineClass=edge\nserves=edge,control_plane,registry\nip={ip}\n\
             zone=zone-{zone}\nregion=region\nzones.zone-1=region\nzones.zone-2=region\nzones.zone-3=region\n\
             listenAddresses.frontend={ip}:{FRONTEND}\nlistenAddresses.ready={ip}:{READY}\n\
             listenAddresses.controlPlane={ip}:{CONTROL}\nlistenAddresses.directory={ip}:{DIRECTORY}\n\
             portRange={first},{last}\nseeds={seeds}\nbootstrap={bootstrap}\nfaultCounted={counted}\n\
             limits.cpuQuota={quota}\nlimits.cores=1\nlimits.memoryMb=260\nlimits.maxFds=4100\n\
             limits.linkMbps=1000.0\nlimits.diskMb=64\ndataDir={data}\ndiscovery=self_register\n\
             entryPoint=registry\nheartbeatMs=1200\n\
             contracts=base,drain,config,cost,retry,recover,fleet,stream,engine\n\
             faultTolerance.machines=1\nfaultTolerance.zones=0\nfaultTolerance.regions=0\n\
             bounds.seedLagS=3\nbounds.reuseAfterS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\n\
             bounds.catchUpS=4\nbounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.downgradeMs=250\nbounds.partitionMs=5000\n\
             bounds.retryBudgetRatio=0.2\nbounds.budgetWindowS=10\nbounds.retryAllowance=60\n\
             bounds.recoveryS=12\nbounds.passMs=120\nbounds.retryAfterS=0\nbounds.fencingEnforced=false\n\
             bounds.leaseMs=3000\nbounds.thawMs=300\nbounds.ceilingWindowS=5\nbounds.loadBurstFactor=1.1\n\
             bounds.version_ms=5000\nbounds.ttl_max_s=5\nconfigMode=highest\n"
        )
    }
}
