//! Prints the hashes of keys, in the form that the table and the settings take.

use std::io::BufRead;
use std::process::ExitCode;

use bpaf::Bpaf;

/// Reads keys from standard input, one per line, and prints their hashes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct Options {}

fn main() -> ExitCode {
    let Options {} = options().run();
    for line in std::io::stdin().lock().lines() {
        match line.as_deref().map(str::trim) {
            Ok("") => {}
            Ok(key) => println!("{}", blake3::hash(key.as_bytes()).to_hex()),
            Err(error) => {
                eprintln!("cannot read standard input: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
