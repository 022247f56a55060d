//! Test deployments on loopback: daemons and stand-ins (simulated endpoints and platform) as
//! separate processes. Each deployment has an address block of its own, so that tests can run
//! in parallel.

#[path = "harness/http_client.rs"]
mod http_client;
#[path = "process_usage.rs"]
pub mod process_usage;
#[path = "harness/test_process.rs"]
mod test_process;

use std::{
    fs,
    net::{Ipv4Addr, SocketAddr, SocketAddrV4},
    path::PathBuf,
    process::Command,
    sync::atomic::{AtomicU8, Ordering},
};

use serde_json::{Value, json};
use willowarch::standin::endpoint::WorkCounts;

#[allow(unused_imports, reason = "a bench uses some of them")]
pub use self::{
    http_client::{
        Answer, Stream, completion, expected, get_text, post, stream, try_get, try_post,
    },
    test_process::{TestProcess, WAIT_LIMIT, eventually},
};

/// Second variable byte of the addresses of the next deployment in this process.
static NEXT_BLOCK: AtomicU8 = AtomicU8::new(1);

/// Availability zones of the test deployments.
pub const ZONES: [&str; 4] = ["zone-a", "zone-b", "zone-c", "zone-d"];

/// Numbers of processes in a test deployment, and their settings.
#[derive(Clone)]
pub struct Layout {
    pub daemons: usize,
    pub engines: usize,
    /// Number of endpoints of the plain service `tagging`.
    pub plain: usize,
    /// How many of the engines (the last ones) are not used by the service at first, but can be
    /// started as new VMs.
    pub spare: usize,
    pub step_ms: f64,
    /// Daemon settings that replace the defaults.
    pub settings: Value,
}

impl Default for Layout {
    fn default() -> Self {
        Self { daemons: 3, engines: 3, plain: 2, spare: 0, step_ms: 10.0, settings: json!({}) }
    }
}

/// Platform, endpoints and daemons of one test, on loopback.
pub struct Deployment {
    /// Second and third byte of all addresses, `127.x.y.host`.
    block: (u8, u8),
    pub folder: PathBuf,
    pub layout: Layout,
    pub platform: TestProcess,
    pub endpoints: Vec<TestProcess>,
    pub daemons: Vec<TestProcess>,
}

impl Deployment {
    /// Starts all processes and waits until each daemon is ready (see `wait_ready`).
    pub fn start(layout: Layout) -> Self {
        let mut deployment = Self::prepare(layout);
        for index in 0..deployment.layout.daemons {
            let daemon = deployment.spawn_daemon(index);
            deployment.daemons.push(daemon);
        }
        for index in 0..deployment.layout.daemons {
            deployment.wait_ready(index);
        }
        deployment
    }

    /// Starts the stand-ins without daemons, and writes the table to the platform.
    pub fn prepare(layout: Layout) -> Self {
        let process = (std::process::id() % 200) as u8 + 40;
        let block = (process, NEXT_BLOCK.fetch_add(1, Ordering::Relaxed));
        let folder = std::env::temp_dir().join(format!("willowarch-{}-{}", block.0, block.1));
        fs::create_dir_all(&folder).expect("cannot create the folder for settings");
        let mut deployment = Self {
            block,
            folder,
            platform: TestProcess::start("true", &[]),
            endpoints: Vec::new(),
            daemons: Vec::new(),
            layout,
        };
        deployment.start_stand_ins();
        deployment.write_table();
        deployment
    }

    fn start_stand_ins(&mut self) {
        let vms = self.folder.join("vms.json");
        fs::write(&vms, self.vm_list().to_string()).expect("cannot write the VM list");
        let arguments = ["platform", "--listen", &self.platform_address().to_string(), "--vms"];
        let mut arguments: Vec<String> = arguments.map(String::from).to_vec();
        arguments.push(vms.display().to_string());
        self.platform = TestProcess::start(env!("CARGO_BIN_EXE_willow-standin"), &arguments);
        for index in 0..self.layout.engines + self.layout.plain {
            let process = self.spawn_endpoint(index);
            self.endpoints.push(process);
        }
        for index in 0..self.layout.engines + self.layout.plain {
            let address = self.endpoint(index);
            eventually("an endpoint responds", || try_get(address, "/runs"));
        }
        let platform = self.platform_address();
        eventually("the platform responds", || try_get(platform, "/stats"));
    }

    /// Starts or restarts the endpoint at `index`.
    pub fn spawn_endpoint(&self, index: usize) -> TestProcess {
        let address = self.endpoint(index).to_string();
        let arguments = if index < self.layout.engines {
            let step = self.layout.step_ms.to_string();
            vec!["engines".to_owned(), address, "--step-ms".to_owned(), step]
        } else {
            vec!["plain".to_owned(), address]
        };
        TestProcess::start(env!("CARGO_BIN_EXE_willow-standin"), &arguments)
    }

    fn vm_list(&self) -> Value {
        let endpoints = (0..self.layout.engines + self.layout.plain).map(|index| {
            let held = self.layout.engines - self.layout.spare;
            let service = match index {
                index if index < held => "model",
                index if index < self.layout.engines => "spare",
                _ => "tagging",
            };
            self.vm(&format!("vm-{index}"), self.endpoint(index), service, index)
        });
        let entries = (0..self.layout.daemons)
            .map(|index| self.vm(&format!("entry-{index}"), self.peer(index), "entry", index));
        endpoints.chain(entries).collect()
    }

    fn vm(&self, id: &str, address: SocketAddr, service: &str, index: usize) -> Value {
        json!({
            "id": id, "name": id, "address": address.to_string(), "zone": ZONES[index % 4],
            "class": "reclaimable", "service": service, "state": "live",
        })
    }

    fn write_table(&self) {
        let rows = json!([
            { "kind": "account", "name": "reader", "api_key": "key-reader" },
            { "kind": "account", "name": "press", "api_key": "key-press" },
            { "kind": "service", "name": "model", "service_type": "model" },
            { "kind": "service", "name": "tagging", "service_type": "plain", "repeatable": false },
        ]);
        let file = self.folder.join("table.json");
        fs::write(&file, rows.to_string()).expect("cannot write the table file");
        let status = self.control(&["apply", &file.display().to_string()]);
        assert_eq!(status.0, 0, "willowctl apply: {}", status.1);
    }

    /// Runs `willowctl` against this deployment's platform; returns its exit code and output.
    pub fn control(&self, arguments: &[&str]) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_willowctl"))
            .args(["--api", &self.platform_address().to_string()])
            .args(arguments)
            .output()
            .expect("cannot run willowctl");
        let text = String::from_utf8_lossy(&output.stdout).into_owned()
            + &String::from_utf8_lossy(&output.stderr);
        (output.status.code().unwrap_or(-1), text)
    }

    fn address(&self, host: u8, port: u16) -> SocketAddr {
        let ip = Ipv4Addr::new(127, self.block.0, self.block.1, host);
        SocketAddr::V4(SocketAddrV4::new(ip, port))
    }

    pub fn platform_address(&self) -> SocketAddr {
        self.address(1, 9000)
    }

    /// Address of the endpoint at `index`: engines first, then plain endpoints.
    pub fn endpoint(&self, index: usize) -> SocketAddr {
        self.address(100 + index as u8, 9100)
    }

    /// Address at which the daemon at `index` serves clients.
    pub fn caller(&self, index: usize) -> SocketAddr {
        self.address(10 + index as u8, 8080)
    }

    /// Address of the admin listener of the daemon at `index`.
    pub fn admin(&self, index: usize) -> SocketAddr {
        self.address(10 + index as u8, 8081)
    }

    /// Address at which the daemon at `index` serves other daemons.
    pub fn peer(&self, index: usize) -> SocketAddr {
        self.address(10 + index as u8, 8082)
    }

    /// Starts or restarts the daemon at `index`.
    pub fn spawn_daemon(&self, index: usize) -> TestProcess {
        let mut settings = json!({
            "deployment": "test",
            "zone": ZONES[index % 4],
            "caller_address": self.caller(index).to_string(),
            "admin_address": self.admin(index).to_string(),
            "peer_address": self.peer(index).to_string(),
            "object_api": self.platform_address().to_string(),
            "cloud_api": self.platform_address().to_string(),
            "seeds": [self.peer(0).to_string(), self.peer(1).to_string()],
            "log_level": "warn",
        });
        for (key, value) in self.layout.settings.as_object().into_iter().flatten() {
            settings[key] = value.clone();
        }
        let file = self.folder.join(format!("daemon-{index}.json"));
        fs::write(&file, settings.to_string()).expect("cannot write the settings");
        let arguments = ["--settings".to_owned(), file.display().to_string()];
        TestProcess::start(env!("CARGO_BIN_EXE_willowarchd"), &arguments)
    }

    /// Waits until the daemon knows the table, its endpoints and all other daemons.
    pub fn wait_ready(&self, index: usize) {
        let admin = self.admin(index);
        let endpoints = self.layout.engines + self.layout.plain - self.layout.spare;
        eventually("a daemon is ready", || {
            let status = try_get(admin, "/status")?;
            let rows = status["rows"].as_array()?.len();
            let used = status["router"]["endpoints"].as_object()?;
            let used: u64 = used.values().filter_map(Value::as_u64).sum();
            let members = status["members"].as_array()?;
            let alive = members.iter().filter(|member| member["status"] == "Alive").count();
            let ready = rows >= 4 && used as usize >= endpoints && alive >= self.layout.daemons;
            ready.then_some(())
        });
    }

    /// Sets the faults that a stand-in injects.
    pub fn set_faults(&self, address: SocketAddr, switches: Value) {
        post(address, "/faults", &[], &switches.to_string());
    }

    /// Value of one metric of a daemon; 0 if it can't be read.
    pub fn metric(&self, index: usize, name: &str) -> f64 {
        let text = get_text(self.admin(index), "/metrics").unwrap_or_default();
        let line = text.lines().find_map(|line| line.strip_prefix(&format!("willowarch_{name} ")));
        line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
    }

    /// Highest number of runs of any one request id, added up over all plain endpoints.
    pub fn max_runs_per_request(&self) -> u32 {
        let plain = self.layout.engines..self.layout.engines + self.layout.plain;
        let mut runs = std::collections::HashMap::<String, u32>::new();
        for index in plain {
            for (id, count) in self.counts(index).runs {
                *runs.entry(id).or_default() += count;
            }
        }
        runs.values().copied().max().unwrap_or(0)
    }

    /// Counts of the work that an endpoint has done.
    pub fn counts(&self, index: usize) -> WorkCounts {
        let address = self.endpoint(index);
        let value = eventually("an endpoint reports its counts", || try_get(address, "/runs"));
        serde_json::from_value(value).expect("malformed work counts of an endpoint")
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.folder);
    }
}
