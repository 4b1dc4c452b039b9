"""Assertions that are counted, logged and stop the action they guard."""

import collections
import logging

LOG = logging.getLogger(__name__)


class InvariantError(Exception):
    """Raised when an invariant does not hold; the guarded action stops."""


class Invariants:
    """Count checks and violations by name.

    Attributes:
        checked: Number of checks for each name.
        violated: Number of violations for each name.
    """

    def __init__(self):
        self.checked = collections.Counter()
        self.violated = collections.Counter()

    def check(self, name, holds, **state):
        """Check one invariant.

        Args:
            name: Name as in docs/invariants.md.
            holds: Whether the invariant holds.
            **state: Values to log with a violation.

        Raises:
            InvariantError: If it does not hold.
        """
        self.checked[name] += 1
        if holds:
            return
        self.violated[name] += 1
        LOG.error('invariant violated', extra={'invariant': name, **state})
        raise InvariantError(f'invariant {name} violated: {state}')
