//! Command that runs one stand-in until its process is killed.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use bpaf::Bpaf;
use hickoryhall_http::BindError;
use hickoryhall_standins::engine::{EngineConfig, EngineServer};
use hickoryhall_standins::hosts::HostListServer;
use hickoryhall_standins::service::ServiceServer;
use hickoryhall_standins::store::StoreServer;

/// Runs a stand-in for a part of the platform; POST /control injects faults
/// or, at the host list, replaces the list.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Address to listen on
    #[bpaf(argument("ADDRESS"))]
    listen: SocketAddr,
    #[bpaf(external(kind))]
    kind: Kind,
}

#[derive(Clone, Debug, Bpaf)]
enum Kind {
    /// Model engine
    #[bpaf(command)]
    Engine {
        /// Name that the engine reports in its cache events
        #[bpaf(argument("NAME"))]
        name: String,
        /// Name of the model that the engine serves
        #[bpaf(argument("MODEL"))]
        model: String,
        /// Accept orders with any fencing number
        ignore_fencing: bool,
        /// Capacity of the cache for prompts, in tokens
        #[bpaf(argument("TOKENS"), fallback(EngineConfig::default().cache_tokens))]
        cache_tokens: u64,
        /// Prompt tokens computed per second
        #[bpaf(argument("TOKENS"), fallback(EngineConfig::default().prefill_tokens_per_s))]
        prefill_tokens_per_s: u32,
        /// Time between two tokens of an answer, in milliseconds
        #[bpaf(argument("MS"), fallback(20))]
        decode_ms: u64,
        /// Maximum number of answers decoded at the same time
        #[bpaf(argument("COUNT"), fallback(EngineConfig::default().max_batch))]
        max_batch: usize,
    },
    /// Plain service
    #[bpaf(command)]
    Service {
        /// Name that the service reports in its responses
        #[bpaf(argument("NAME"))]
        name: String,
    },
    /// Key-value store
    #[bpaf(command)]
    Store,
    /// List of hosts and backend servers
    #[bpaf(command)]
    Hosts {
        /// Delay until a change of the list becomes visible, in milliseconds
        #[bpaf(argument("MS"), fallback(0))]
        lag_ms: u64,
    },
}

fn main() -> ExitCode {
    let options = options().run();
    match run(&options) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(options: &Options) -> Result<(), BindError> {
    let address = options.listen;
    match &options.kind {
        Kind::Engine {
            name,
            model,
            ignore_fencing,
            cache_tokens,
            prefill_tokens_per_s,
            decode_ms,
            max_batch,
        } => {
            let config = EngineConfig {
                cache_tokens: *cache_tokens,
                prefill_tokens_per_s: *prefill_tokens_per_s,
                decode_interval: Duration::from_millis(*decode_ms),
                max_batch: *max_batch,
            };
            let engine = EngineServer::start(address, name, model, !ignore_fencing, config)?;
            serve(engine.address())
        }
        Kind::Service { name } => serve(ServiceServer::start(address, name)?.address()),
        Kind::Store => serve(StoreServer::start(address)?.address()),
        Kind::Hosts { lag_ms } => {
            let list = HostListServer::start(address, Duration::from_millis(*lag_ms))?;
            serve(list.address())
        }
    }
}

fn serve(address: SocketAddr) -> ! {
    println!("Listening on {address}.");
    loop {
        std::thread::park();
    }
}
