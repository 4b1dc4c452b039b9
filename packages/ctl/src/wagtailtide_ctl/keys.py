"""Commands that create and withdraw callers' keys."""

import dataclasses
import json
import os
import pathlib
import random
import re

from wagtailtide_core.document import parse
from wagtailtide_core.keys import keys

from wagtailtide_ctl import documents
from wagtailtide_ctl import results

ExitCode = results.ExitCode


async def new(args):
    """Create a key and print it once, with the entry for the document."""
    try:
        key_text, entry = keys.make_key(args.id, random.SystemRandom())
    except ValueError as exc:
        raise results.CommandFailed(ExitCode.USAGE, str(exc)) from exc
    value = {'id': entry.id, 'salt': entry.salt, 'hash': entry.hash}
    return results.Result(
        ExitCode.OK,
        (
            f'key (shown once; give it to {args.organisation}):',
            key_text,
            f'entry for keys of organisation {args.organisation}:',
            json.dumps(value),
        ),
        {
            'key': key_text,
            'organisation': args.organisation,
            'entry': value,
        },
    )


async def withdraw(args):
    """Print the change that withdraws a key, or edit the file."""
    file = documents.read_file(args.file)
    if file.document is None:
        return documents.check_file(file)
    path, key = _find_key(file.document, args.id)
    if key is None:
        raise results.CommandFailed(
            ExitCode.PROBLEMS,
            f'{args.file}: expected a key with id {args.id!r}, got none; '
            'check the id',
        )
    line = file.parsed.positions.line(path)
    change = f'{args.file}: line {line}: set "withdrawn": true in key {key.id}'
    value = {'file': args.file, 'line': line, 'id': key.id, 'edited': False}
    if key.withdrawn:
        return results.Result(
            ExitCode.OK, (f'key {key.id} is already withdrawn',), value
        )
    if not args.edit:
        return results.Result(ExitCode.OK, (change,), value)
    _replace_file(args.file, _edit_text(file, path, key))
    return results.Result(
        ExitCode.OK,
        (change, f'edited {args.file}; apply it to withdraw the key'),
        {**value, 'edited': True},
    )


def _find_key(document, key_id):
    for org_index, org in enumerate(document.organisations):
        for key_index, key in enumerate(org.keys):
            if key.id == key_id:
                return ('organisations', org_index, 'keys', key_index), key
    return None, None


def _edit_text(file, path, key):
    """Return the file's text with the key withdrawn, otherwise unchanged.

    Raises:
        CommandFailed: If the edited text would not be the expected document.
    """
    lines = file.data.decode().split('\n')
    positions = file.parsed.positions
    if (*path, 'withdrawn') in positions.lines:
        index = positions.line((*path, 'withdrawn')) - 1
        pattern, replacement = r'(withdrawn["\']?\s*:\s*)false', r'\1true'
    else:
        index = positions.line((*path, 'id')) - 1
        pattern = rf'(id["\']?\s*:\s*(["\']){re.escape(key.id)}\2)'
        replacement = r'\1, "withdrawn": true'
    lines[index] = re.sub(pattern, replacement, lines[index], count=1)
    text = '\n'.join(lines)
    if parse.parse(text).document != _with_key_withdrawn(file.document, key):
        raise results.CommandFailed(
            ExitCode.PROBLEMS,
            f'{file.name}: line {index + 1}: expected the key on lines of '
            'its own, got a form that cannot be edited safely; set '
            '"withdrawn": true by hand',
        )
    return text


def _with_key_withdrawn(document, key):
    replaced = dataclasses.replace(key, withdrawn=True)
    orgs = tuple(
        dataclasses.replace(
            org, keys=tuple(replaced if k == key else k for k in org.keys)
        )
        for org in document.organisations
    )
    return dataclasses.replace(document, organisations=orgs)


def _replace_file(name, text):
    """Replace a file atomically, so a crash leaves old or new content."""
    target = pathlib.Path(name).resolve()
    partial = target.with_name(target.name + '.partial')
    partial.write_bytes(text.encode())
    partial.chmod(target.stat().st_mode)
    os.replace(partial, target)
