"""Run a stand-in in its own process."""

import argparse
import dataclasses
import signal
import sys

import trio

from wagtailtide_testing import serving


def add_settings(parser, settings_type):
    """Add a command-line option for each field of a settings data class."""
    for field in dataclasses.fields(settings_type):
        option = '--' + field.name.replace('_', '-')
        if field.type is bool:
            parser.add_argument(
                option,
                action=argparse.BooleanOptionalAction,
                default=field.default,
            )
        else:
            parser.add_argument(option, type=field.type, default=field.default)


def read_settings(args, settings_type):
    """Return the settings given on the command line."""
    names = [field.name for field in dataclasses.fields(settings_type)]
    return settings_type(**{name: getattr(args, name) for name in names})


def run(make_app, settings_type, doc, argv=None):
    """Serve an app, print its address and stop at SIGTERM or SIGINT.

    Args:
        make_app: Function that makes an ASGI app from the settings.
        settings_type: Data class of the settings.
        doc: Description for the help text.
        argv: Command-line arguments; None for those of the process.
    """
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument('--port', type=int, default=0)
    add_settings(parser, settings_type)
    args = parser.parse_args(argv)
    app = make_app(read_settings(args, settings_type))
    trio.run(_serve_until_signal, app, args.port)


async def _serve_until_signal(app, port):
    with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async with serving.serve_restartable(app, port) as served:
            sys.stdout.write(served.address + '\n')
            sys.stdout.flush()
            await anext(signals)
