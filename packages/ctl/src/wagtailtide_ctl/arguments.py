"""Command line of wagtailtidectl."""

import dataclasses
from typing import Annotated

import cappa

from wagtailtide_ctl import results

EXIT_CODES_TEXT = 'Exit codes: ' + '; '.join(
    f'{code.value} {meaning}'
    for code, meaning in results.EXIT_CODE_MEANINGS.items()
)


def _command(name, help_text, example):
    return cappa.command(
        name=name,
        help=help_text,
        epilog=f'Example: `{example}`\n\n{EXIT_CODES_TEXT}.',
    )


JsonFlag = Annotated[bool, cappa.Arg(long='--json', help='Print JSON.')]
FileArgument = Annotated[str, cappa.Arg(help='Document: JSON with comments.')]
PlatformUrl = Annotated[
    str, cappa.Arg(long='--platform', help="URL of the platform's object API.")
]


@_command(
    'check',
    'Check documents locally, without network access.',
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
            help='Documents; each may use names defined in the others.',
        ),
    ]
    json: JsonFlag = False


@_command(
    'diff',
    'Show what applying a document would change, and the version to pass to '
    'apply --expect-version.',
    'wagtailtidectl diff lahore.jsonc --platform http://127.0.0.1:9000',
)
@dataclasses.dataclass
class Diff:
    """Compare a document with the one in the platform."""

    file: FileArgument
    platform: PlatformUrl
    json: JsonFlag = False


@_command(
    'apply',
    'Check a document, show its changes and write it unless another operator '
    'has changed the document first.',
    'wagtailtidectl apply lahore.jsonc --platform http://127.0.0.1:9000 '
    '--expect-version 12',
)
@dataclasses.dataclass
class Apply:
    """Write a document to the platform."""

    file: FileArgument
    platform: PlatformUrl
    expect_version: Annotated[
        int | None,
        cappa.Arg(
            long='--expect-version',
            help='Replace only this version; 0 means no document yet.',
        ),
    ] = None
    json: JsonFlag = False


@_command(
    'status',
    'Show which version of each document is in force on which instance.',
    'wagtailtidectl status --admin http://127.0.0.1:8081 '
    '--admin http://127.0.0.1:8082',
)
@dataclasses.dataclass
class Status:
    """Show the state of instances and their versions in force."""

    admin: Annotated[
        list[str],
        cappa.Arg(
            long='--admin', required=True, help='Admin URL of an instance.'
        ),
    ]
    json: JsonFlag = False


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
        str | None, cappa.Arg(help='Section to print; all if absent.')
    ] = None
    model: Annotated[
        str | None,
        cappa.Arg(
            long='--model', help='Explain the server choice for a model.'
        ),
    ] = None
    route: Annotated[
        str | None,
        cappa.Arg(
            long='--route', help='Explain the server choice for a path.'
        ),
    ] = None
    organisation: Annotated[
        str | None,
        cappa.Arg(
            long='--organisation', help='Show refusals of one organisation.'
        ),
    ] = None
    json: JsonFlag = False


@_command(
    'explain',
    'Show where a gateway instance would send a request now, and why, '
    'without sending it.',
    'wagtailtidectl explain --admin http://127.0.0.1:9464 --service engines '
    '--model m1 --tokens 800,40 --deadline-ms 3000',
)
@dataclasses.dataclass
class Explain:
    """Explain the choice of a server for a request."""

    admin: Annotated[
        str, cappa.Arg(long='--admin', help='Admin URL of the instance.')
    ]
    service: Annotated[
        str, cappa.Arg(long='--service', help='Service that runs it.')
    ]
    model: Annotated[
        str | None,
        cappa.Arg(
            long='--model',
            help='Model; needed unless the service runs no models.',
        ),
    ] = None
    adapter: Annotated[
        str | None, cappa.Arg(long='--adapter', help='Adapter of the model.')
    ] = None
    organisation: Annotated[
        str | None,
        cappa.Arg(
            long='--organisation',
            help='Organisation whose priority and share count.',
        ),
    ] = None
    prefix: Annotated[
        str | None,
        cappa.Arg(
            long='--prefix',
            help='Segments of the prompt as ID:TOKENS,...; all but the last '
            'are shared with other requests.',
        ),
    ] = None
    tokens: Annotated[
        str | None,
        cappa.Arg(
            long='--tokens',
            help='Prompt tokens and maximum output tokens as IN,OUT.',
        ),
    ] = None
    deadline_ms: Annotated[
        float | None,
        cappa.Arg(
            long='--deadline-ms',
            help="The caller's deadline in milliseconds; that of the route "
            'if absent or longer.',
        ),
    ] = None
    route: Annotated[
        str | None,
        cappa.Arg(
            long='--route',
            help='Route; the first one of the service if absent.',
        ),
    ] = None
    json: JsonFlag = False


@_command(
    'new',
    'Create a key. It is printed once; the document stores only its hash.',
    'wagtailtidectl key new --organisation school-league --id league-2',
)
@dataclasses.dataclass
class KeyNew:
    """Create a key."""

    organisation: Annotated[
        str,
        cappa.Arg(
            long='--organisation', help='Organisation that owns the key.'
        ),
    ]
    id: Annotated[
        str, cappa.Arg(long='--id', help='Public id, without underscore.')
    ]
    json: JsonFlag = False


@_command(
    'withdraw',
    'Show the change that withdraws a key, or make it in the file.',
    'wagtailtidectl key withdraw lahore.jsonc league-1 --edit',
)
@dataclasses.dataclass
class KeyWithdraw:
    """Withdraw a key."""

    file: FileArgument
    id: Annotated[str, cappa.Arg(help='Id of the key.')]
    edit: Annotated[bool, cappa.Arg(long='--edit', help='Edit the file.')] = (
        False
    )
    json: JsonFlag = False


@_command(
    'key',
    'Create or withdraw keys of callers.',
    'wagtailtidectl key new --organisation school-league --id league-2',
)
@dataclasses.dataclass
class Key:
    """Create or withdraw keys."""

    command: cappa.Subcommands[KeyNew | KeyWithdraw]


@_command(
    'schema',
    'Print the JSON schema of documents, for editors.',
    'wagtailtidectl schema > document.schema.json',
)
@dataclasses.dataclass
class Schema:
    """Print the JSON schema."""

    json: JsonFlag = False


@_command(
    'wagtailtidectl',
    'Check and apply the documents that configure wagtailtide, and inspect '
    'its instances.',
    'wagtailtidectl check docs/examples/lahore.jsonc',
)
@dataclasses.dataclass
class Main:
    """Top-level command line."""

    command: cappa.Subcommands[
        Check | Diff | Apply | Status | Dump | Explain | Key | Schema
    ]
