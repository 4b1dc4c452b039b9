"""Commands that read and change documents."""

import dataclasses
import pathlib

from wagtailtide_core.document import check as checks
from wagtailtide_core.document import diff as diffs
from wagtailtide_core.document import json_schema
from wagtailtide_core.document import parse

from wagtailtide_ctl import platform as platforms
from wagtailtide_ctl import results

PREFIX = 'documents/'
ExitCode = results.ExitCode


@dataclasses.dataclass(frozen=True)
class Source:
    """A document file as read.

    Attributes:
        name: Name of the file.
        data: Content of the file.
        parsed: What was read from it.
    """

    name: str
    data: bytes
    parsed: parse.Parsed

    @property
    def document(self):
        """The document, or None."""
        return self.parsed.document


@dataclasses.dataclass(frozen=True)
class Current:
    """Documents of the platform.

    Attributes:
        stored: Object of the service, or None.
        document: Document of the service, or None if absent or invalid.
        others: Valid documents of the other services.
    """

    stored: platforms.Stored | None
    document: object
    others: tuple

    @property
    def version(self):
        """Version of the service's object, or None."""
        return self.stored.version if self.stored else None


def read_file(name):
    """Read a document file.

    Raises:
        CommandFailed: If the file cannot be read.
    """
    try:
        data = pathlib.Path(name).read_bytes()
    except OSError as exc:
        raise results.CommandFailed(
            ExitCode.USAGE, f'{name}: expected a readable file, got {exc}'
        ) from exc
    return Source(name, data, parse.parse(data))


def check_source(source, others=()):
    """Return the result of checking one file."""
    if source.document is None:
        errors, warnings = source.parsed.problems, ()
    else:
        found = checks.check(source.document, source.parsed.positions, others)
        errors, warnings = found.errors, found.warnings
    lines = [f'{source.name}: error: {problem}' for problem in errors]
    lines += [f'{source.name}: warning: {problem}' for problem in warnings]
    if not errors:
        lines.append(f'{source.name}: no errors')
    return results.Result(
        ExitCode.PROBLEMS if errors else ExitCode.OK,
        tuple(lines),
        {
            'file': source.name,
            'errors': [dataclasses.asdict(p) for p in errors],
            'warnings': [dataclasses.asdict(p) for p in warnings],
        },
    )


async def check(args):
    """Check files, each with the names of the others known."""
    sources = [read_file(name) for name in args.files]
    known = [s.document for s in sources if s.document is not None]
    found = [
        check_source(s, [d for d in known if d is not s.document])
        for s in sources
    ]
    return results.Result(
        max(result.exit_code for result in found),
        tuple(line for result in found for line in result.lines),
        {'files': [result.value for result in found]},
    )


async def read_platform(platform, service):
    """Return the documents that the platform holds."""
    stored = await platform.list(PREFIX)
    documents = {
        key: parse.parse(item.value).document for key, item in stored.items()
    }
    own = PREFIX + service
    others = [doc for key, doc in documents.items() if key != own]
    return Current(
        stored.get(own),
        documents.get(own),
        tuple(doc for doc in others if doc is not None),
    )


async def diff(args, platform):
    """Compare a file with the document in the platform."""
    source = _valid_source(args.file)
    current = await read_platform(platform, source.document.service)
    changes = diffs.diff(current.document, source.document)
    return results.Result(
        ExitCode.OK,
        (*_describe_current(current), *_describe(changes)),
        {'version': current.version, 'changes': _values(changes)},
    )


async def apply(args, platform):
    """Write a file's document if nobody else changed it meanwhile."""
    source = _valid_source(args.file)
    document = source.document
    current = await read_platform(platform, document.service)
    checked = check_source(source, current.others)
    if checked.exit_code:
        return checked
    changes = diffs.diff(current.document, document)
    # Without the flag, the version that has just been read is expected.
    expected = current.version
    if args.expect_version is not None:
        expected = args.expect_version or None
    if expected != current.version:
        return _conflict(current, source, expected, None)
    if current.stored is not None and current.stored.value == source.data:
        return results.Result(
            ExitCode.OK,
            (*checked.lines, f'unchanged at version {current.version}'),
            {'version': current.version, 'changes': []},
        )
    lines = (*checked.lines, *_describe_current(current), *_describe(changes))
    key = PREFIX + document.service
    try:
        version = await platform.put(key, source.data, expected)
    except platforms.Conflict:
        now = await read_platform(platform, document.service)
        return _conflict(now, source, expected, current.document)
    return results.Result(
        ExitCode.OK,
        (*lines, f'accepted as version {version}'),
        {'version': version, 'changes': _values(changes)},
    )


async def schema(args):
    """Print the JSON schema of documents."""
    text = json_schema.render()
    return results.Result(ExitCode.OK, (text.rstrip('\n'),), text)


def _valid_source(name):
    source = read_file(name)
    if source.document is None:
        failed = results.CommandFailed(ExitCode.PROBLEMS, name)
        failed.result = check_source(source)
        raise failed
    return source


def _conflict(current, source, expected, base):
    """Return what the other operator has done."""
    if base is not None:
        title = f'what changed since version {expected}:'
        changes = diffs.diff(base, current.document)
    else:
        title = f'what {source.name} would change now:'
        changes = diffs.diff(current.document, source.document)
    found = f'version {current.version}' if current.stored else 'no document'
    wanted = f'version {expected}' if expected else 'no document'
    return results.Result(
        ExitCode.CONFLICT,
        (
            f'conflict: expected {wanted}, got {found}; not written by this '
            'command or already replaced',
            title,
            *_describe(changes),
            'merge the changes into the file, then apply it with '
            f'--expect-version {current.version or 0}',
        ),
        {
            'conflict': True,
            'expected_version': expected,
            'version': current.version,
            'changes': _values(changes),
        },
    )


def _describe_current(current):
    if current.stored is None:
        return ('the platform has no document of this service (version 0)',)
    if current.document is None:
        return (
            f'version {current.version} in the platform is not valid and '
            'will be replaced as a whole',
        )
    return (f'changes against version {current.version}:',)


def _describe(changes):
    return tuple(f'  {change}' for change in changes) or (
        '  none besides comments and layout',
    )


def _values(changes):
    return [dataclasses.asdict(change) for change in changes]
