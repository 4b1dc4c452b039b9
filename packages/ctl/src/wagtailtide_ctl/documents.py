"""Commands that check, compare and write documents."""

import dataclasses
import pathlib

from wagtailtide_core.document import check as document_check
from wagtailtide_core.document import diff as document_diff
from wagtailtide_core.document import json_schema
from wagtailtide_core.document import parse

from wagtailtide_ctl import platform as platform_api
from wagtailtide_ctl import results

DOCUMENT_KEY_PREFIX = 'documents/'
ExitCode = results.ExitCode


@dataclasses.dataclass(frozen=True)
class DocumentFile:
    """A document file and its parsed content.

    Attributes:
        name: Path of the file as given by the operator.
        data: Content of the file.
        parsed: The document, or the problems found in it.
    """

    name: str
    data: bytes
    parsed: parse.Parsed

    @property
    def document(self):
        """The document, or None if it cannot be parsed."""
        return self.parsed.document


@dataclasses.dataclass(frozen=True)
class PlatformDocuments:
    """Documents stored in the platform.

    Attributes:
        stored: Stored object of the service, or None.
        document: Document of the service, or None if absent or invalid.
        others: Valid documents of the other services.
    """

    stored: platform_api.StoredObject | None
    document: object
    others: tuple

    @property
    def version(self):
        """Version of the service's stored object, or None."""
        return self.stored.version if self.stored else None


def read_file(name):
    """Read and parse a document file.

    Raises:
        CommandFailed: If the file cannot be read.
    """
    try:
        data = pathlib.Path(name).read_bytes()
    except OSError as exc:
        raise results.CommandFailed(
            ExitCode.USAGE,
            f'{name}: expected a readable file, got {exc}; check the path',
        ) from exc
    return DocumentFile(name, data, parse.parse(data))


def check_file(file, others=()):
    """Return the result of checking one file.

    Args:
        file: DocumentFile.
        others: Documents of other services, whose names are known.
    """
    if file.document is None:
        errors, warnings = file.parsed.problems, ()
    else:
        found = document_check.check(
            file.document, file.parsed.positions, others
        )
        errors, warnings = found.errors, found.warnings
    lines = [f'{file.name}: error: {problem}' for problem in errors]
    lines += [f'{file.name}: warning: {problem}' for problem in warnings]
    if not errors:
        lines.append(f'{file.name}: no errors')
    return results.Result(
        ExitCode.PROBLEMS if errors else ExitCode.OK,
        tuple(lines),
        {
            'file': file.name,
            'errors': [dataclasses.asdict(p) for p in errors],
            'warnings': [dataclasses.asdict(p) for p in warnings],
        },
    )


async def check(args):
    """Check files; each may use names defined in the others."""
    files = [read_file(name) for name in args.files]
    known = [f.document for f in files if f.document is not None]
    found = [
        check_file(f, [d for d in known if d is not f.document]) for f in files
    ]
    return results.Result(
        max(result.exit_code for result in found),
        tuple(line for result in found for line in result.lines),
        {'files': [result.value for result in found]},
    )


async def read_platform_documents(platform, service):
    """Return the documents that the platform stores."""
    stored = await platform.list(DOCUMENT_KEY_PREFIX)
    documents = {
        key: parse.parse(item.value).document for key, item in stored.items()
    }
    own_key = DOCUMENT_KEY_PREFIX + service
    others = [doc for key, doc in documents.items() if key != own_key]
    return PlatformDocuments(
        stored.get(own_key),
        documents.get(own_key),
        tuple(doc for doc in others if doc is not None),
    )


async def diff(args, platform):
    """Compare a file with the document in the platform."""
    file = _read_valid_file(args.file)
    current = await read_platform_documents(platform, file.document.service)
    changes = document_diff.diff(current.document, file.document)
    return results.Result(
        ExitCode.OK,
        (*_version_lines(current), *_change_lines(changes)),
        {'version': current.version, 'changes': _changes_to_json(changes)},
    )


async def apply(args, platform):
    """Write a file's document unless it was changed concurrently."""
    file = _read_valid_file(args.file)
    document = file.document
    current = await read_platform_documents(platform, document.service)
    checked = check_file(file, current.others)
    if checked.exit_code:
        return checked
    changes = document_diff.diff(current.document, document)
    # Without the flag, the write is conditional on the version just read.
    expected = current.version
    if args.expect_version is not None:
        expected = args.expect_version or None
    if expected != current.version:
        return _conflict(current, file, expected, None)
    if current.stored is not None and current.stored.value == file.data:
        return results.Result(
            ExitCode.OK,
            (*checked.lines, f'unchanged at version {current.version}'),
            {'version': current.version, 'changes': []},
        )
    lines = (*checked.lines, *_version_lines(current), *_change_lines(changes))
    key = DOCUMENT_KEY_PREFIX + document.service
    try:
        version = await platform.put(key, file.data, expected)
    except platform_api.Conflict:
        now = await read_platform_documents(platform, document.service)
        return _conflict(now, file, expected, current.document)
    return results.Result(
        ExitCode.OK,
        (*lines, f'accepted as version {version}'),
        {'version': version, 'changes': _changes_to_json(changes)},
    )


async def schema(args):
    """Print the JSON schema of documents."""
    text = json_schema.render()
    return results.Result(ExitCode.OK, (text.rstrip('\n'),), text)


def _read_valid_file(name):
    file = read_file(name)
    if file.document is None:
        failed = results.CommandFailed(ExitCode.PROBLEMS, name)
        failed.result = check_file(file)
        raise failed
    return file


def _conflict(current, file, expected, base):
    """Return the result that shows the other operator's changes.

    Args:
        current: PlatformDocuments after the conflict.
        file: DocumentFile that was to be written.
        expected: Version that the write was conditional on, or None.
        base: Document of that version; None to compare with the file.
    """
    if base is not None:
        title = f'changes since version {expected}:'
        changes = document_diff.diff(base, current.document)
    else:
        title = f'changes that {file.name} would make now:'
        changes = document_diff.diff(current.document, file.document)
    found = f'version {current.version}' if current.stored else 'no document'
    wanted = f'version {expected}' if expected else 'no document'
    return results.Result(
        ExitCode.CONFLICT,
        (
            f'conflict: expected {wanted}, got {found}; the write of '
            'this command did not take effect or has been replaced',
            title,
            *_change_lines(changes),
            'merge the changes into the file, then apply it with '
            f'--expect-version {current.version or 0}',
        ),
        {
            'conflict': True,
            'expected_version': expected,
            'version': current.version,
            'changes': _changes_to_json(changes),
        },
    )


def _version_lines(current):
    if current.stored is None:
        return ('the platform has no document for this service (version 0)',)
    if current.document is None:
        return (
            f'version {current.version} in the platform is not valid and '
            'will be replaced as a whole',
        )
    return (f'changes against version {current.version}:',)


def _change_lines(changes):
    return tuple(f'  {change}' for change in changes) or (
        '  none, except in comments and layout',
    )


def _changes_to_json(changes):
    return [dataclasses.asdict(change) for change in changes]
