//! Scenario tests of dispatch; each file under `tests/scenarios/` is a script with its expected
//! output.
//!
//! Commands (times are in milliseconds of virtual time):
//!
//! - `runner NAME [domain=D] [weights=V] [incarnation=N]`: delivers a load report of a runner
//! - `tracker NAME HOST`: sets the host that tracks a runner, `me` for the host under test
//! - `list NAME..`: sets the platform's list, `NAME!` for a leaving runner
//! - `place ID prompt=OUTER/INNER [workspace=W] [weight=N] [deadline=MS] [isolate=true]`:
//!   requests a runner
//! - `quote ID from=HOST NAME:WAIT_MS:CACHED..`: delivers quotes from a peer
//! - `first ID [cached=TOKENS]`: records the first token of an attempt
//! - `end ID finished|released|failed`: ends an attempt
//! - `unreachable NAME`, `leaving NAME`: reports a runner as unreachable or leaving
//! - `pass MS`: advances the time
//! - `held`: prints the number of held requests

use std::collections::HashMap;
use std::error::Error;
use std::fmt::Write;
use std::time::{Duration, Instant};

use goldenscript::{ArgumentConsumer, Command, Context, Runner};
use hickoryhall_clients::LoadResponse;
use hickoryhall_entry::dispatch::{
    AttemptEnd, Dispatch, DispatchConfig, Effect, PlacementRequest, Server, ServerKind,
};
use hickoryhall_routing::{CostModel, Level, PlacementConfig, PrefixChain};
use hickoryhall_types::{hash_name, rendezvous_score};
use hickoryhall_wire::{Body, QuoteResponse, RunnerQuote};
use rstest::rstest;

const MODEL: &str = "planner";
const ME: &str = "me";
const PREFILL_TOKENS_PER_S: u32 = 10_000;
const CACHE_TOKENS: u64 = 60_000;

struct Scenario {
    now: Instant,
    dispatch: Dispatch,
    servers: Vec<Server>,
    trackers: HashMap<u64, u64>,
    hosts: HashMap<u64, String>,
}

impl Scenario {
    fn new() -> Self {
        let placement = PlacementConfig::new("a".into());
        Self {
            now: Instant::now(),
            dispatch: Dispatch::new(DispatchConfig {
                local_host: hash_name(ME),
                placement,
            }),
            servers: Vec::new(),
            trackers: HashMap::new(),
            hosts: HashMap::from([(hash_name(ME), ME.to_owned())]),
        }
    }

    fn runner(&mut self, command: &Command) -> Result<(), Box<dyn Error>> {
        let mut args = command.consume_args();
        let name = args.next_pos().ok_or("a name is needed")?.to_owned();
        let domain = take_arg(&mut args, "domain")?.unwrap_or_else(|| "a".to_owned());
        let weights = take_arg(&mut args, "weights")?.unwrap_or(1);
        let incarnation = take_arg(&mut args, "incarnation")?.unwrap_or(1);
        args.reject_next()?;
        if self.servers.iter().all(|server| *server.id != *name) {
            self.servers.push(server(&name, &domain));
            self.dispatch.set_servers(&self.servers);
        }
        let load = LoadResponse {
            incarnation,
            weights_version: weights,
            waiting_tokens: 0,
            prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
            cache_tokens: CACHE_TOKENS,
            leaving: false,
        };
        self.dispatch.observe_load(self.now, &name, &load);
        Ok(())
    }

    fn tracker(&mut self, command: &Command) -> Result<(), Box<dyn Error>> {
        let mut args = command.consume_args();
        let runner = args.next_pos().ok_or("a runner is needed")?.to_owned();
        let host = args.next_pos().ok_or("a host is needed")?.to_owned();
        args.reject_next()?;
        self.hosts.insert(hash_name(&host), host.clone());
        self.trackers.insert(hash_name(&runner), hash_name(&host));
        self.dispatch.set_trackers(self.trackers.clone());
        Ok(())
    }

    fn list(&mut self, command: &Command) -> Result<(), Box<dyn Error>> {
        let mut args = command.consume_args();
        let names = std::iter::from_fn(|| args.next_pos()).collect::<Vec<_>>();
        self.servers.retain(|server| {
            names
                .iter()
                .any(|name| name.trim_end_matches('!') == &*server.id)
        });
        for server in &mut self.servers {
            server.leaving = names
                .iter()
                .any(|name| name.strip_suffix('!') == Some(&*server.id));
        }
        self.dispatch.set_servers(&self.servers);
        Ok(())
    }

    fn place(&mut self, command: &Command) -> Result<Vec<Effect>, Box<dyn Error>> {
        let mut args = command.consume_args();
        let attempt_id = args.next_pos().ok_or("an id is needed")?.parse()?;
        let prompt = take_arg::<String>(&mut args, "prompt")?.ok_or("a prompt is needed")?;
        let workspace = take_arg(&mut args, "workspace")?.unwrap_or_else(|| "w".to_owned());
        let weight = take_arg(&mut args, "weight")?.unwrap_or(1);
        let deadline = take_arg(&mut args, "deadline")?.unwrap_or(60_000);
        let is_suspect = take_arg(&mut args, "isolate")?.unwrap_or(false);
        args.reject_next()?;
        let request = PlacementRequest {
            attempt_id,
            workspace: workspace.as_str().into(),
            weight,
            chain: chain(&prompt, attempt_id),
            model: MODEL.into(),
            weights_version: 1,
            cost: CostModel::default(),
            deadline: self.now + Duration::from_millis(deadline),
            excluded_runners: Vec::new(),
            is_suspect,
        };
        Ok(self.dispatch.place(self.now, request))
    }

    fn quote(&mut self, command: &Command) -> Result<Vec<Effect>, Box<dyn Error>> {
        let mut args = command.consume_args();
        let id = args.next_pos().ok_or("an id is needed")?.parse()?;
        let from = take_arg::<String>(&mut args, "from")?.ok_or("a host is needed")?;
        let quotes = std::iter::from_fn(|| args.next_pos()).map(parse_quote);
        let quotes = quotes.collect::<Result<_, _>>()?;
        let response = QuoteResponse { id, quotes };
        Ok(self
            .dispatch
            .on_quotes(self.now, hash_name(&from), &response))
    }

    fn first(&mut self, command: &Command) -> Result<Vec<Effect>, Box<dyn Error>> {
        let mut args = command.consume_args();
        let attempt_id = args.next_pos().ok_or("an id is needed")?.parse()?;
        let cached = take_arg(&mut args, "cached")?.unwrap_or(0);
        args.reject_next()?;
        Ok(self
            .dispatch
            .record_first_token(self.now, attempt_id, cached))
    }

    fn end(&mut self, command: &Command) -> Result<Vec<Effect>, Box<dyn Error>> {
        let mut args = command.consume_args();
        let attempt_id = args.next_pos().ok_or("an id is needed")?.parse()?;
        let end = match args.next_pos() {
            Some("finished") => AttemptEnd::Finished,
            Some("released") => AttemptEnd::Released,
            Some("failed") => AttemptEnd::Failed,
            other => return Err(format!("no such end: {other:?}").into()),
        };
        Ok(self.dispatch.record_end(self.now, attempt_id, end))
    }

    /// Advances the time in steps of the router's tick interval while requests wait.
    fn pass(&mut self, command: &Command) -> Result<Vec<Effect>, Box<dyn Error>> {
        let mut args = command.consume_args();
        let ms = args.next_pos().ok_or("a time is needed")?.parse::<u64>()?;
        let mut effects = Vec::new();
        for _ in 0..ms.div_ceil(5) {
            self.now += Duration::from_millis(5);
            effects.extend(self.dispatch.tick(self.now));
        }
        Ok(effects)
    }

    fn name_of(&self, hash: u64) -> String {
        let server = self
            .servers
            .iter()
            .find(|server| hash_name(&server.id) == hash);
        let host = || {
            self.hosts
                .get(&hash)
                .cloned()
                .unwrap_or_else(|| "?".to_owned())
        };
        server.map_or_else(host, |server| server.id.to_string())
    }

    fn format_effect(&self, effect: &Effect) -> String {
        match effect {
            Effect::Placed { attempt_id, placed } => format!(
                "{attempt_id} to {} ({:?}), {} tokens cached, held {} ms",
                placed.server.id,
                placed.choice.reason,
                placed.choice.expected_cached_tokens,
                placed.held_time.as_millis(),
            ),
            Effect::Refused {
                attempt_id,
                refusal,
            } => format!(
                "{attempt_id} refused: {:?}, ran {:?}, again after {:?} ms: {}",
                refusal.code, refusal.ran, refusal.retry_after_ms, refusal.message
            ),
            Effect::Send { to, body, .. } => {
                format!("{} <- {}", self.name_of(*to), self.format_body(body))
            }
        }
    }

    fn format_body(&self, body: &Body) -> String {
        match body {
            Body::QuoteRequest(request) => {
                let runners = request.runners.iter().map(|&runner| self.name_of(runner));
                format!(
                    "quotes for {} of {}",
                    request.id,
                    runners.collect::<Vec<_>>().join(" ")
                )
            }
            Body::Reserve { runner, id, .. } => {
                format!("reserve {id} at {}", self.name_of(*runner))
            }
            Body::Release {
                runner,
                id,
                cached_tokens,
            } => {
                format!(
                    "release {id} at {}, cached {cached_tokens:?}",
                    self.name_of(*runner)
                )
            }
            other => format!("{other:?}"),
        }
    }
}

impl Runner for Scenario {
    type Command = Command;

    fn run(&mut self, command: &Command, _: &Context) -> Result<String, Box<dyn Error>> {
        let now = self.now;
        let name = || command.consume_args().next_pos().ok_or("a name is needed");
        let effects = match command.name.as_str() {
            "runner" => self.runner(command).map(|()| Vec::new())?,
            "tracker" => self.tracker(command).map(|()| Vec::new())?,
            "list" => self.list(command).map(|()| Vec::new())?,
            "place" => self.place(command)?,
            "quote" => self.quote(command)?,
            "first" => self.first(command)?,
            "end" => self.end(command)?,
            "pass" => self.pass(command)?,
            "unreachable" => {
                self.dispatch.observe_unreachable(now, name()?);
                Vec::new()
            }
            "leaving" => {
                self.dispatch.mark_leaving(hash_name(name()?), u64::MAX);
                Vec::new()
            }
            "held" => return Ok(format!("{}\n", self.dispatch.held_count())),
            other => return Err(format!("no such command: {other}").into()),
        };
        let mut output = String::new();
        for effect in &effects {
            writeln!(output, "{}", self.format_effect(effect))?;
        }
        Ok(output)
    }
}

/// Consumes and parses the argument `name=VALUE`, if present.
fn take_arg<T>(args: &mut ArgumentConsumer<'_>, name: &str) -> Result<Option<T>, Box<dyn Error>>
where
    T: std::str::FromStr<Err: Error + 'static>,
{
    Ok(args.take_key(name).map(str::parse).transpose()?)
}

fn server(name: &str, domain: &str) -> Server {
    Server {
        id: name.into(),
        kind: ServerKind::Runner,
        domain: domain.into(),
        address: ([127, 0, 0, 1], 1).into(),
        target: MODEL.into(),
        leaving: false,
    }
}

/// Returns the prefix levels of the prompt `OUTER/INNER`, which ends with 100 tokens that no other
/// request has.
fn chain(prompt: &str, unique_id: u64) -> PrefixChain {
    let (outer, inner) = prompt.split_once('/').unwrap_or((prompt, ""));
    let outer = hash_name(outer);
    let inner = rendezvous_score(outer, hash_name(inner));
    let level = |key, tokens| Level { key, tokens };
    let levels = [
        level(outer, 8_000),
        level(inner, 2_000),
        level(rendezvous_score(inner, unique_id), 100),
    ];
    PrefixChain::from_levels(levels.to_vec())
}

fn parse_quote(text: &str) -> Result<RunnerQuote, Box<dyn Error>> {
    let mut parts = text.split(':');
    let mut next = || parts.next().ok_or("a quote is NAME:WAIT_MS:CACHED");
    let runner = hash_name(next()?);
    Ok(RunnerQuote {
        runner,
        incarnation: 1,
        wait_ms: next()?.parse()?,
        cached_tokens: next()?.parse()?,
        eviction_tokens: 0,
        is_warm: true,
    })
}

#[rstest]
fn scenario(#[files("tests/scenarios/*")] path: std::path::PathBuf) {
    goldenscript::run(&mut Scenario::new(), path).expect("the scenario's output");
}
