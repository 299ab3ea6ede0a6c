//! Command line program that runs an entry host.

use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use hickoryhall_entry::{EntryHost, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

/// Exit code for missing, unreadable or invalid settings.
const EXIT_BAD_SETTINGS: u8 = 2;
/// Exit code after a shutdown that cut requests off.
const EXIT_CUT_OFF: u8 = 3;

/// Routes language-model traffic; one process runs on each entry host.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {
    /// Settings file in JSON
    #[bpaf(argument("FILE"))]
    settings: Option<PathBuf>,
    /// Check the settings and exit
    check: bool,
    /// Print example settings with every field and exit
    print_defaults: bool,
}

fn main() -> ExitCode {
    let options = options().run();
    if options.print_defaults {
        println!("{}", Settings::example_json());
        return ExitCode::SUCCESS;
    }
    let settings = match read_settings(options.settings) {
        Ok(settings) => settings,
        Err(message) => {
            eprintln!("{message}");
            return ExitCode::from(EXIT_BAD_SETTINGS);
        }
    };
    if options.check {
        println!("The settings are valid.");
        return ExitCode::SUCCESS;
    }
    match run(settings) {
        Ok(code) => code,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn read_settings(path: Option<PathBuf>) -> Result<Settings, String> {
    let path = path.ok_or("--settings FILE is required; --print-defaults shows an example")?;
    let text = std::fs::read_to_string(&path)
        .map_err(|error| format!("cannot read {}: {error}", path.display()))?;
    Settings::from_json(&text).map_err(|errors| format!("{}:\n{errors}", path.display()))
}

/// Runs a host until SIGTERM or SIGINT; a second signal cuts off the requests in flight.
fn run(settings: Settings) -> Result<ExitCode, String> {
    let mut signals = Signals::new([SIGTERM, SIGINT]).map_err(|error| error.to_string())?;
    let host = EntryHost::start(settings).map_err(|error| error.to_string())?;
    signals.wait().for_each(drop);
    let later_signals = std::sync::Mutex::new(signals);
    let cut_off = host.shut_down(|| {
        let mut signals = later_signals
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        signals.pending().next().is_some()
    });
    if cut_off > 0 {
        eprintln!("{cut_off} requests were cut off.");
        return Ok(ExitCode::from(EXIT_CUT_OFF));
    }
    Ok(ExitCode::SUCCESS)
}
