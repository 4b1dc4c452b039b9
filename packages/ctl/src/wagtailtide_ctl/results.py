"""Results of commands and their exit codes."""

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


MEANINGS = {
    ExitCode.OK: 'success',
    ExitCode.PROBLEMS: 'problems were found',
    ExitCode.USAGE: 'the command line or a file name is wrong',
    ExitCode.CONFLICT: 'another operator changed the document first',
    ExitCode.UNREACHABLE: 'the platform or an instance did not answer',
    ExitCode.UNKNOWN: 'a write was sent and its outcome is unknown',
}


@dataclasses.dataclass(frozen=True)
class Result:
    """What a command found or did.

    Attributes:
        exit_code: Exit code.
        lines: Lines for people.
        value: The same as a value that JSON can hold.
    """

    exit_code: ExitCode
    lines: tuple[str, ...]
    value: object


class CommandFailed(Exception):
    """A command cannot go on.

    Attributes:
        result: What to print.
    """

    def __init__(self, exit_code, message):
        super().__init__(message)
        value = {'error': message}
        self.result = Result(exit_code, (message,), value)
