"""Problems of documents, with advice on how to fix them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Problem:
    """One problem of a document.

    Attributes:
        line: Line in the file, from 1.
        path: Path of the field, for example ``models[2].weights_bytes``.
        expected: What was expected.
        got: What was found.
        advice: What to do about it.
    """

    line: int
    path: str
    expected: str
    got: str
    advice: str

    def __str__(self):
        return (
            f'line {self.line}: {self.path or "document"}: expected '
            f'{self.expected}, got {self.got}; {self.advice}'
        )


def format_path(path):
    """Return a path of field names and indexes as text."""
    text = ''
    for part in path:
        if isinstance(part, int):
            text += f'[{part}]'
        else:
            text += f'.{part}' if text else str(part)
    return text
