//! Operators' tool: defines its flags and runs the selected command (`willowarch::control`).

use std::process::ExitCode;

use willowarch::control::{
    commands::{daemons, gateway, table},
    declaration::ApplyScope,
    output::{CommandFailure, CommandResult, EXIT_INVALID, OutputFormat},
    table::TableClient,
};

mod flags {
    use std::{net::SocketAddr, path::PathBuf};

    xflags::xflags! {
        /// Operators' tool of willowarch.
        ///
        /// Exit codes: 0 success, 1 differences (diff), 3 conflict, 64 invalid input,
        /// 69 a call failed.
        ///
        /// Examples:
        ///   willowctl --api 127.0.0.1:9000 table get
        ///   willowctl --api 127.0.0.1:9000 table set account.reader weight=2
        ///   willowctl --api 127.0.0.1:9000 apply table.json
        ///   willowctl timeline 127.0.0.1:8201 127.0.0.1:8202 --subject reader/k1
        ///   willowctl gateway state 10.1.0.14:7600 10.2.0.4:7600
        ///   willowctl gateway endpoints 10.1.0.14:7600
        ///   willowctl gateway rollouts 10.1.0.14:7600
        ///   willowctl gateway quarantined 10.1.0.14:7600
        ///   willowctl gateway trace 9c41d07be2a35f68 edge-1.log edge-2.log
        ///   willowctl gateway check-configuration main.json
        cmd willowctl {
            /// Address of the object API, for table commands.
            optional --api address: SocketAddr
            /// Print JSON.
            optional --json
            /// Read and edit the table's rows.
            cmd table {
                /// Show all rows, or one.
                cmd get {
                    /// Name of a row, such as account.reader.
                    optional name: String
                }
                /// Set fields of one row, on condition that nobody else changes it.
                cmd set {
                    /// Name of the row, such as account.reader.
                    required name: String
                    /// Fields, such as weight=2.
                    repeated field: String
                }
                /// Write the table to a spreadsheet file (CSV).
                cmd out {
                    /// File.
                    required file: PathBuf
                }
                /// Write the changes of an edited spreadsheet file to the table.
                cmd edit {
                    /// File.
                    required file: PathBuf
                }
            }
            /// Show what applying a declaration would change.
            cmd diff {
                /// Declaration: a JSON list of rows.
                required file: PathBuf
            }
            /// Apply a declaration; stops at a row that somebody else changed since.
            cmd apply {
                /// Declaration: a JSON list of rows.
                required file: PathBuf
                /// Overwrite rows that somebody else changed.
                optional --overwrite
                /// Delete rows that are not declared.
                optional --prune
            }
            /// Show the state of daemons.
            cmd status {
                /// Operators' addresses of daemons.
                repeated daemon: SocketAddr
            }
            /// Make daemons finish the requests in progress and stop.
            cmd drain {
                /// Operators' addresses of daemons.
                repeated daemon: SocketAddr
            }
            /// Show the events of all daemons in one timeline.
            cmd timeline {
                /// Operators' addresses of daemons.
                repeated daemon: SocketAddr
                /// Only events of this request, VM or row.
                optional --subject subject: String
            }
            /// Show the state of gateway daemons and check their files.
            cmd gateway {
                /// Show the state of daemons, with the versions and ages of their data.
                cmd state {
                    /// Metrics addresses of daemons.
                    repeated daemon: SocketAddr
                }
                /// Show the endpoints that daemons send fewer requests than others, and why.
                cmd endpoints {
                    /// Metrics addresses of daemons.
                    repeated daemon: SocketAddr
                }
                /// Show the roll-outs that daemons know, and how both versions respond.
                cmd rollouts {
                    /// Metrics addresses of daemons.
                    repeated daemon: SocketAddr
                }
                /// Show the requests and parts of prompts that daemons refuse because they crash endpoints.
                cmd quarantined {
                    /// Metrics addresses of daemons.
                    repeated daemon: SocketAddr
                }
                /// End the quarantine of a request or a part of prompts at all daemons.
                cmd end-quarantine {
                    /// Fingerprint of the request, or part- and the id of a part.
                    required fingerprint: String
                    /// Metrics address of a daemon, which informs the others.
                    required daemon: SocketAddr
                }
                /// Show the log lines about one request, ordered by time.
                cmd trace {
                    /// Id of the request.
                    required id: String
                    /// Log files of daemons.
                    repeated file: PathBuf
                }
                /// Check a gateway daemon's settings file.
                cmd check-daemon {
                    /// File.
                    required file: PathBuf
                }
                /// Check a configuration before it is written to the store.
                cmd check-configuration {
                    /// File: the object's spec, in JSON.
                    required file: PathBuf
                }
            }
            /// Check a settings file and report every error.
            cmd check-settings {
                /// File.
                required file: PathBuf
            }
        }
    }
}

fn main() -> ExitCode {
    let flags = flags::Willowctl::from_env_or_exit();
    let format = if flags.json { OutputFormat::Json } else { OutputFormat::Text };
    run(flags, format).unwrap_or_else(|failure| {
        format.print_failure(&failure);
        ExitCode::from(failure.code)
    })
}

fn run(flags: flags::Willowctl, format: OutputFormat) -> CommandResult {
    let client = || match flags.api {
        Some(api) => Ok(TableClient::new(api)),
        None => Err(CommandFailure::new(EXIT_INVALID, "--api: (missing); allowed: an address")),
    };
    match flags.subcommand {
        flags::WillowctlCmd::Table(command) => run_table(&client()?, command.subcommand, format),
        flags::WillowctlCmd::Diff(diff) => table::show_difference(&client()?, &diff.file, format),
        flags::WillowctlCmd::Apply(apply) => {
            let scope = ApplyScope { overwrite: apply.overwrite, prune: apply.prune };
            table::apply_file(&client()?, &apply.file, scope, format)
        }
        flags::WillowctlCmd::Status(status) => daemons::show_status(&status.daemon, format),
        flags::WillowctlCmd::Drain(drain) => daemons::drain(&drain.daemon, format),
        flags::WillowctlCmd::Timeline(timeline) => {
            let subject = timeline.subject.as_deref().unwrap_or("");
            daemons::show_timeline(&timeline.daemon, subject, format)
        }
        flags::WillowctlCmd::CheckSettings(check) => daemons::check_settings(&check.file, format),
        flags::WillowctlCmd::Gateway(command) => run_gateway(command.subcommand, format),
    }
}

fn run_table(
    client: &TableClient,
    command: flags::TableCmd,
    format: OutputFormat,
) -> CommandResult {
    match command {
        flags::TableCmd::Get(get) => table::show_rows(client, get.name.as_deref(), format),
        flags::TableCmd::Set(set) => table::set_fields(client, &set.name, &set.field, format),
        flags::TableCmd::Out(out) => table::export_table(client, &out.file, format),
        flags::TableCmd::Edit(edit) => table::import_table(client, &edit.file, format),
    }
}

fn run_gateway(command: flags::GatewayCmd, format: OutputFormat) -> CommandResult {
    match command {
        flags::GatewayCmd::State(state) => gateway::show_state(&state.daemon, format),
        flags::GatewayCmd::Endpoints(shown) => gateway::show_endpoints(&shown.daemon, format),
        flags::GatewayCmd::Rollouts(shown) => gateway::show_rollouts(&shown.daemon, format),
        flags::GatewayCmd::Quarantined(shown) => gateway::show_quarantined(&shown.daemon, format),
        flags::GatewayCmd::EndQuarantine(ended) => {
            gateway::end_quarantine(&ended.fingerprint, ended.daemon, format)
        }
        flags::GatewayCmd::Trace(trace) => gateway::show_trace(&trace.id, &trace.file, format),
        flags::GatewayCmd::CheckDaemon(check) => gateway::check_daemon(&check.file, format),
        flags::GatewayCmd::CheckConfiguration(check) => {
            gateway::check_configuration(&check.file, format)
        }
    }
}
