"""Differences between two documents in readable form."""

import dataclasses
import enum

# Fields that identify an item of a list in both documents.
IDENTITY_FIELDS = ('name', 'id', 'path')
MAX_SHOWN_CHARS = 60


class ChangeKind(enum.StrEnum):
    """Kinds of changes from one document to another."""

    ADDED = 'added'
    REMOVED = 'removed'
    CHANGED = 'changed'


SIGNS = {
    ChangeKind.ADDED: '+',
    ChangeKind.REMOVED: '-',
    ChangeKind.CHANGED: '~',
}


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference.

    Attributes:
        kind: ChangeKind.
        path: Path of the field, for example
            ``models[clerk-letters].min_replicas``.
        before: Earlier value as text, or empty.
        after: Later value as text, or empty.
    """

    kind: ChangeKind
    path: str
    before: str
    after: str

    def __str__(self):
        values = {
            ChangeKind.ADDED: f': {self.after}' if self.after else '',
            ChangeKind.REMOVED: f': {self.before}' if self.before else '',
            ChangeKind.CHANGED: f': {self.before} -> {self.after}',
        }[self.kind]
        return f'{SIGNS[self.kind]} {self.path}{values}'


def diff(before, after):
    """Return the differences from one document to another.

    Items of lists are matched by their name, id or path. A different order of
    the items is not a difference.

    Args:
        before: Earlier document, or None if there was none.
        after: Later document, or None if there is none.

    Returns:
        The changes, in the order of the schema.
    """
    if before is None or after is None:
        if before is after:
            return ()
        document = before or after
        kind = ChangeKind.ADDED if before is None else ChangeKind.REMOVED
        return (Change(kind, f'document {document.service}', '', ''),)
    return tuple(_diff_fields('', before, after))


def _diff_fields(prefix, before, after):
    for field in dataclasses.fields(before):
        path = f'{prefix}.{field.name}' if prefix else field.name
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old == new:
            continue
        if dataclasses.is_dataclass(old):
            yield from _diff_fields(path, old, new)
        elif isinstance(old, tuple) and _are_items(old, new):
            yield from _diff_items(path, old, new)
        else:
            yield Change(
                ChangeKind.CHANGED,
                path,
                _format_value(old),
                _format_value(new),
            )


def _are_items(old, new):
    return all(dataclasses.is_dataclass(item) for item in (*old, *new))


def _identity(item):
    for name in IDENTITY_FIELDS:
        if hasattr(item, name):
            value = getattr(item, name)
            model = getattr(item, 'model', None)
            return f'{model}:{value}' if model else value
    raise TypeError(f'{type(item).__name__} has none of {IDENTITY_FIELDS}')


def _diff_items(path, before, after):
    old = {_identity(item): item for item in before}
    new = {_identity(item): item for item in after}
    for name in old:
        if name not in new:
            yield Change(ChangeKind.REMOVED, f'{path}[{name}]', '', '')
    for name, item in new.items():
        if name not in old:
            yield Change(ChangeKind.ADDED, f'{path}[{name}]', '', '')
        elif item != old[name]:
            yield from _diff_fields(f'{path}[{name}]', old[name], item)


def _format_value(value):
    if isinstance(value, tuple):
        text = '[' + ', '.join(str(part) for part in value) + ']'
    elif isinstance(value, bool):
        text = str(value).lower()
    else:
        text = str(value)
    return (
        text
        if len(text) <= MAX_SHOWN_CHARS
        else text[:MAX_SHOWN_CHARS] + '...'
    )
