"""Command results and exit codes."""

import dataclasses
import enum


class ExitCode(enum.IntEnum):
    """Exit codes of wagtailtidectl."""

    OK = 0
    PROBLEMS = 1
    USAGE = 2
    CONFLICT = 3
    UNREACHABLE = 4
    UNKNOWN = 5


EXIT_CODE_MEANINGS = {
    ExitCode.OK: 'success',
    ExitCode.PROBLEMS: 'problems were found',
    ExitCode.USAGE: 'the command line or a file name is wrong',
    ExitCode.CONFLICT: 'another operator changed the document first',
    ExitCode.UNREACHABLE: 'the platform or an instance did not answer',
    ExitCode.UNKNOWN: 'a write was sent and its outcome is unknown',
}


@dataclasses.dataclass(frozen=True)
class Result:
    """Outcome of a command.

    Attributes:
        exit_code: Exit code.
        lines: Text output; the entries are joined by newlines.
        value: The same content as a value that JSON can represent.
    """

    exit_code: ExitCode
    lines: tuple[str, ...]
    value: object


class CommandFailed(Exception):
    """A command failed.

    Attributes:
        result: Result to print.
    """

    def __init__(self, exit_code, message):
        super().__init__(message)
        value = {'error': message}
        self.result = Result(exit_code, (message,), value)
