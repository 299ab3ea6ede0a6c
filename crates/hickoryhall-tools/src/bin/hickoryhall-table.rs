//! Reads and changes the operators' table: `get`, `set`, `apply`, `diff`, `status`, `history`.

use std::process::ExitCode;

use hickoryhall_tools::cmd;

fn main() -> ExitCode {
    match cmd::run(cmd::options().run()) {
        Ok(output) => {
            print!("{output}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{}", error.to_string().trim_end());
            ExitCode::from(error.exit_code)
        }
    }
}
