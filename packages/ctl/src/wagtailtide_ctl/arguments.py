"""Command line of wagtailtidectl."""

import dataclasses
from typing import Annotated

import cappa

from wagtailtide_ctl import results

EXIT_CODES = 'Exit codes: ' + '; '.join(
    f'{code.value} {meaning}' for code, meaning in results.MEANINGS.items()
)


def _command(name, text, example):
    return cappa.command(
        name=name,
        help=text,
        epilog=f'Example: `{example}`\n\n{EXIT_CODES}.',
    )


Json = Annotated[bool, cappa.Arg(long='--json', help='Print JSON.')]
File = Annotated[str, cappa.Arg(help='Document: JSON with comments.')]
PlatformUrl = Annotated[
    str, cappa.Arg(long='--platform', help="URL of the platform's object API.")
]


@_command(
    'check',
    'Check documents without contacting anything.',
    'wagtailtidectl check docs/examples/lahore.jsonc',
)
@dataclasses.dataclass
class Check:
    """Check documents."""

    files: Annotated[
        list[str],
        cappa.Arg(
            num_args=-1,
            required=True,
            help='Documents; names in one are known in the others.',
        ),
    ]
    json: Json = False


@_command(
    'diff',
    'Show what applying a document would change, and the version to pass to '
    'apply --expect-version.',
    'wagtailtidectl diff lahore.jsonc --platform http://127.0.0.1:9000',
)
@dataclasses.dataclass
class Diff:
    """Compare a document with the platform's."""

    file: File
    platform: PlatformUrl
    json: Json = False


@_command(
    'apply',
    'Check a document, show its changes and write it unless another operator '
    'wrote first.',
    'wagtailtidectl apply lahore.jsonc --platform http://127.0.0.1:9000 '
    '--expect-version 12',
)
@dataclasses.dataclass
class Apply:
    """Put a document in force."""

    file: File
    platform: PlatformUrl
    expect_version: Annotated[
        int | None,
        cappa.Arg(
            long='--expect-version',
            help='Write only over this version; 0 means no document yet.',
        ),
    ] = None
    json: Json = False


@_command(
    'status',
    'Show which version of each document is in force on which instance.',
    'wagtailtidectl status --admin http://127.0.0.1:8081 '
    '--admin http://127.0.0.1:8082',
)
@dataclasses.dataclass
class Status:
    """Show instances and versions in force."""

    admin: Annotated[
        list[str],
        cappa.Arg(
            long='--admin', required=True, help='Admin URL of an instance.'
        ),
    ]
    json: Json = False


@_command(
    'dump',
    'Print the state of one instance, or one section of it.',
    'wagtailtidectl dump --admin http://127.0.0.1:8081 backend_servers',
)
@dataclasses.dataclass
class Dump:
    """Print the state of an instance."""

    admin: Annotated[
        str, cappa.Arg(long='--admin', help='Admin URL of the instance.')
    ]
    section: Annotated[
        str | None, cappa.Arg(help='Section; all if absent.')
    ] = None
    model: Annotated[
        str | None,
        cappa.Arg(long='--model', help='Explain the choice for a model.'),
    ] = None
    route: Annotated[
        str | None,
        cappa.Arg(long='--route', help='Explain the choice for a path.'),
    ] = None
    organisation: Annotated[
        str | None,
        cappa.Arg(
            long='--organisation', help='Show refusals of one organisation.'
        ),
    ] = None
    json: Json = False


@_command(
    'new',
    'Make a key. It is printed once; only its hash goes into the document.',
    'wagtailtidectl key new --organisation school-league --id league-2',
)
@dataclasses.dataclass
class KeyNew:
    """Make a key."""

    organisation: Annotated[
        str, cappa.Arg(long='--organisation', help='Organisation it is for.')
    ]
    id: Annotated[
        str, cappa.Arg(long='--id', help='Public id, without underscore.')
    ]
    json: Json = False


@_command(
    'withdraw',
    'Show the change that withdraws a key, or make it in the file.',
    'wagtailtidectl key withdraw lahore.jsonc league-1 --edit',
)
@dataclasses.dataclass
class KeyWithdraw:
    """Withdraw a key."""

    file: File
    id: Annotated[str, cappa.Arg(help='Id of the key.')]
    edit: Annotated[bool, cappa.Arg(long='--edit', help='Edit the file.')] = (
        False
    )
    json: Json = False


@_command(
    'key',
    'Make or withdraw keys of callers.',
    'wagtailtidectl key new --organisation school-league --id league-2',
)
@dataclasses.dataclass
class Key:
    """Make or withdraw keys."""

    command: cappa.Subcommands[KeyNew | KeyWithdraw]


@_command(
    'schema',
    'Print the JSON schema of documents, for editors.',
    'wagtailtidectl schema > document.schema.json',
)
@dataclasses.dataclass
class Schema:
    """Print the JSON schema."""

    json: Json = False


@_command(
    'wagtailtidectl',
    'Check, apply and watch the documents that drive wagtailtide.',
    'wagtailtidectl check docs/examples/lahore.jsonc',
)
@dataclasses.dataclass
class Main:
    """The operator's tool."""

    command: cappa.Subcommands[
        Check | Diff | Apply | Status | Dump | Key | Schema
    ]
