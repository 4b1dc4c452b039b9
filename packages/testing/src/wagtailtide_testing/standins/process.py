"""Run a stand-in as a process of its own."""

import argparse
import dataclasses
import signal
import sys

import trio

from wagtailtide_testing import serving


def add_settings(parser, settings_type):
    """Add an option for each field of a settings data class."""
    for field in dataclasses.fields(settings_type):
        flag = '--' + field.name.replace('_', '-')
        if field.type is bool:
            parser.add_argument(
                flag,
                action=argparse.BooleanOptionalAction,
                default=field.default,
            )
        else:
            parser.add_argument(flag, type=field.type, default=field.default)


def read_settings(args, settings_type):
    """Return the settings that were given on the command line."""
    names = [field.name for field in dataclasses.fields(settings_type)]
    return settings_type(**{name: getattr(args, name) for name in names})


def run(make_app, settings_type, doc, argv=None):
    """Serve an app until SIGTERM and print its address.

    Args:
        make_app: Function from the settings to an ASGI app.
        settings_type: Data class of the settings.
        doc: Description for the help text.
        argv: Arguments, or None for those of the process.
    """
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument('--port', type=int, default=0)
    add_settings(parser, settings_type)
    args = parser.parse_args(argv)
    app = make_app(read_settings(args, settings_type))
    trio.run(_serve_until_terminated, app, args.port)


async def _serve_until_terminated(app, port):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with serving.serve_restartable(app, port) as served:
            sys.stdout.write(served.address + '\n')
            sys.stdout.flush()
            await anext(signals)
