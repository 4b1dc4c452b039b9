"""Commands that make and withdraw callers' keys."""

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
    """Make a key and print it once, with the entry for the document."""
    try:
        presented, entry = keys.make_key(args.id, random.SystemRandom())
    except ValueError as exc:
        raise results.CommandFailed(ExitCode.USAGE, str(exc)) from exc
    value = {'id': entry.id, 'salt': entry.salt, 'hash': entry.hash}
    return results.Result(
        ExitCode.OK,
        (
            f'key (shown once; give it to {args.organisation}):',
            presented,
            f'entry for keys of organisation {args.organisation}:',
            json.dumps(value),
        ),
        {
            'key': presented,
            'organisation': args.organisation,
            'entry': value,
        },
    )


async def withdraw(args):
    """Print the change that withdraws a key, or make it in the file."""
    source = documents.read_file(args.file)
    if source.document is None:
        return documents.check_source(source)
    path, key = _find_key(source.document, args.id)
    if key is None:
        raise results.CommandFailed(
            ExitCode.PROBLEMS,
            f'{args.file}: expected a key with id {args.id!r}, got none',
        )
    line = source.parsed.positions.line(path)
    change = f'{args.file}: line {line}: set "withdrawn": true in key {key.id}'
    value = {'file': args.file, 'line': line, 'id': key.id, 'edited': False}
    if key.withdrawn:
        return results.Result(
            ExitCode.OK, (f'key {key.id} is withdrawn already',), value
        )
    if not args.edit:
        return results.Result(ExitCode.OK, (change,), value)
    _write(args.file, _edit(source, path, key))
    return results.Result(
        ExitCode.OK,
        (change, f'edited {args.file}; apply it to withdraw the key'),
        {**value, 'edited': True},
    )


def _find_key(document, key_id):
    for at, org in enumerate(document.organisations):
        for index, key in enumerate(org.keys):
            if key.id == key_id:
                return ('organisations', at, 'keys', index), key
    return None, None


def _edit(source, path, key):
    """Return the text with the key withdrawn and everything else kept."""
    lines = source.data.decode().split('\n')
    positions = source.parsed.positions
    if (*path, 'withdrawn') in positions.lines:
        at = positions.line((*path, 'withdrawn')) - 1
        pattern, new = r'(withdrawn["\']?\s*:\s*)false', r'\1true'
    else:
        at = positions.line((*path, 'id')) - 1
        pattern = rf'(id["\']?\s*:\s*(["\']){re.escape(key.id)}\2)'
        new = r'\1, "withdrawn": true'
    lines[at] = re.sub(pattern, new, lines[at], count=1)
    text = '\n'.join(lines)
    if parse.parse(text).document != _withdrawn(source.document, key):
        raise results.CommandFailed(
            ExitCode.PROBLEMS,
            f'{source.name}: line {at + 1}: expected the key on lines of its '
            'own, got a form that cannot be edited safely; set "withdrawn": '
            'true by hand',
        )
    return text


def _withdrawn(document, key):
    replaced = dataclasses.replace(key, withdrawn=True)
    orgs = tuple(
        dataclasses.replace(
            org, keys=tuple(replaced if k == key else k for k in org.keys)
        )
        for org in document.organisations
    )
    return dataclasses.replace(document, organisations=orgs)


def _write(name, text):
    """Replace a file so that a crash leaves the old or the new one."""
    target = pathlib.Path(name).resolve()
    partial = target.with_name(target.name + '.partial')
    partial.write_bytes(text.encode())
    partial.chmod(target.stat().st_mode)
    os.replace(partial, target)
