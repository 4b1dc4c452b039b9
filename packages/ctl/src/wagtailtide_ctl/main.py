"""Entry point of wagtailtidectl."""

import functools
import importlib.metadata
import json
import sys

import anyio
import cappa
import httpx

from wagtailtide_ctl import arguments
from wagtailtide_ctl import documents
from wagtailtide_ctl import explain
from wagtailtide_ctl import instances
from wagtailtide_ctl import keys
from wagtailtide_ctl import platform as platform_api
from wagtailtide_ctl import results

LOCAL_COMMANDS = {
    arguments.Check: documents.check,
    arguments.Schema: documents.schema,
    arguments.KeyNew: keys.new,
    arguments.KeyWithdraw: keys.withdraw,
}
PLATFORM_COMMANDS = {
    arguments.Diff: documents.diff,
    arguments.Apply: documents.apply,
}
INSTANCE_COMMANDS = {
    arguments.Status: instances.status,
    arguments.Dump: instances.dump,
    arguments.Explain: explain.explain,
}
ExitCode = results.ExitCode


def parse(argv=None):
    """Return the chosen command's arguments.

    Args:
        argv: Arguments without the program's name; None for sys.argv.

    Raises:
        cappa.Exit: For wrong usage (code 2) and for help (code 0).
    """
    version = importlib.metadata.version('wagtailtide-ctl')
    args = cappa.parse(arguments.Main, argv=argv, version=version)
    command = args.command
    return command.command if isinstance(command, arguments.Key) else command


async def run(args):
    """Run a command.

    Args:
        args: Arguments as `parse` returns them.

    Returns:
        The result; errors of files and of the platform are also returned
        as results.
    """
    try:
        if type(args) in LOCAL_COMMANDS:
            return await LOCAL_COMMANDS[type(args)](args)
        async with httpx.AsyncClient(trust_env=False) as http:
            if type(args) in INSTANCE_COMMANDS:
                return await INSTANCE_COMMANDS[type(args)](args, http)
            platform = platform_api.PlatformClient(
                http, args.platform.rstrip('/')
            )
            return await PLATFORM_COMMANDS[type(args)](args, platform)
    except results.CommandFailed as exc:
        return exc.result
    except platform_api.Unreachable as exc:
        return _failure(
            ExitCode.UNREACHABLE,
            f'expected an answer of the platform, got none: {exc}; nothing '
            'was written; try again later',
        )
    except platform_api.Refused as exc:
        return _failure(
            ExitCode.PROBLEMS, f'the platform refused the document: {exc}'
        )
    except platform_api.WriteUnknown as exc:
        return _failure(
            ExitCode.UNKNOWN,
            f'the outcome of writing {exc} is unknown; run diff when the '
            'platform answers again: if it shows no change, the write took '
            'effect',
        )


def _failure(exit_code, message):
    return results.CommandFailed(exit_code, message).result


def render(args, result):
    """Return the text to print for a result."""
    if args.json:
        if isinstance(result.value, str):
            return result.value.rstrip('\n')
        return json.dumps(result.value, indent=2)
    return '\n'.join(result.lines)


def main(argv=None):
    """Run the program and exit with the command's exit code."""
    args = parse(argv)
    result = anyio.run(functools.partial(run, args), backend='trio')
    failed = result.exit_code not in (ExitCode.OK, ExitCode.PROBLEMS)
    stream = sys.stderr if failed and not args.json else sys.stdout
    print(render(args, result), file=stream)
    sys.exit(int(result.exit_code))


if __name__ == '__main__':
    main()
