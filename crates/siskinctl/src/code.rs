//! Exit codes.

use std::process::ExitCode;

/// The exit code of a command; the discriminants are the process exit codes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Code {
    /// The command succeeded.
    Success = 0,
    /// The check failed, the change was refused or another error occurred.
    Refused = 1,
    /// The command line was invalid.
    Usage = 2,
    /// The platform or the instance was not reachable.
    Unreachable = 3,
}

impl Code {
    /// Returns [`Code::Unreachable`] for an error of the HTTP client, [`Code::Refused`] otherwise.
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
