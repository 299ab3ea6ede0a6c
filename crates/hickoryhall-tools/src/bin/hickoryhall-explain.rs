//! Prints the decisions that an entry host made for a request.

use std::net::SocketAddr;
use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryhall_telemetry::DecisionRecord;
use hickoryhall_tools::caller::CallerClient;
use hickoryhall_tools::explain;

/// Prints the decisions that an entry host made for a request.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Entry host that served the request
    #[bpaf(argument("ADDRESS"), env("HICKORYHALL_HOST"))]
    host: SocketAddr,
    /// Id of the request
    #[bpaf(positional("REQUEST_ID"))]
    request_id: String,
}

fn main() -> ExitCode {
    let options = options().run();
    let path = format!("/debug/explain?request_id={}", options.request_id);
    let records = CallerClient::default()
        .get_json(options.host, &path)
        .and_then(|json| {
            serde_json::from_value::<Vec<DecisionRecord>>(json).map_err(|error| error.to_string())
        });
    match records {
        Ok(records) => {
            print!("{}", explain::render(&records));
            ExitCode::SUCCESS
        }
        Err(message) => {
            eprintln!("cannot read the decisions from {}: {message}", options.host);
            ExitCode::FAILURE
        }
    }
}
