//! Exit codes.

use std::process::ExitCode;

/// Exit code of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// Everything went well.
    Success = 0,
    /// The check failed or the change was refused.
    Refused = 1,
    /// The command line was wrong.
    Usage = 2,
    /// The platform or the instance was not reachable.
    Unreachable = 3,
}

impl Code {
    /// Returns the exit code for an error.
    pub fn from_error(error: &anyhow::Error) -> Code {
        match error.chain().any(|cause| cause.is::<attohttpc::Error>()) {
            true => Code::Unreachable,
            false => Code::Refused,
        }
    }
}

impl From<Code> for ExitCode {
    fn from(code: Code) -> ExitCode {
        ExitCode::from(code as u8)
    }
}
