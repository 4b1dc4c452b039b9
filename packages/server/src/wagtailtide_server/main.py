"""Command line interface of the server."""

import dataclasses
import importlib.metadata
import sys
from typing import Annotated

import anyio
import cappa

from wagtailtide_server import instance
from wagtailtide_server import logs
from wagtailtide_server import settings as settings_module
from wagtailtide_server.storage import client

EXIT_BAD_SETTINGS = 2
_DISTRIBUTION = 'wagtailtide-server'


@cappa.command(name='wagtailtide')
@dataclasses.dataclass
class Arguments:
    """Serve models and plain services to callers.

    Attributes:
        settings: Path of the settings file (JSON with comments).
    """

    settings: Annotated[
        str, cappa.Arg(long=True, help='path of the settings file')
    ]


async def run(settings):
    """Run one instance until it is stopped.

    Args:
        settings: The Settings.
    """
    async with client.StoreClient(settings.platform) as store:
        inst = instance.Instance(settings, store)
        async with anyio.create_task_group() as group:
            await group.start(inst.handle_signals)
            await inst.run()
            group.cancel_scope.cancel()


def main(argv=None):
    """Run the program; exit with status 2 if the settings are invalid.

    Args:
        argv: Command line arguments, or None for those of the process.
    """
    version = importlib.metadata.version(_DISTRIBUTION)
    args = cappa.parse(Arguments, argv=argv, version=version)
    try:
        settings = settings_module.load(args.settings)
        logs.set_up(settings_module.logging_level(settings), settings.name)
        anyio.run(run, settings, backend='trio')
    except* settings_module.SettingsError as group:
        for problem in _iter_problems(group):
            sys.stderr.write(problem + '\n')
        sys.exit(EXIT_BAD_SETTINGS)


def _iter_problems(group):
    for exc in group.exceptions:
        if isinstance(exc, settings_module.SettingsError):
            yield from exc.problems
        else:
            yield from _iter_problems(exc)


if __name__ == '__main__':
    main()
