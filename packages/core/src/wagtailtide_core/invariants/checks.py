"""Check invariants; count and log violations and stop the action."""

import collections
import logging

LOG = logging.getLogger(__name__)


class InvariantError(Exception):
    """An invariant does not hold; the action that it guards must not run."""


class Invariants:
    """Counts of checks and violations of invariants.

    Attributes:
        checked: Number of checks by name of the invariant.
        violated: Number of violations by name of the invariant.
    """

    def __init__(self):
        self.checked = collections.Counter()
        self.violated = collections.Counter()

    def check(self, name, holds, **state):
        """Check one invariant.

        Args:
            name: Name of the invariant, as in docs/invariants.md.
            holds: Whether the invariant holds.
            **state: Values to log and report with a violation.

        Raises:
            InvariantError: If it does not hold.
        """
        self.checked[name] += 1
        if holds:
            return
        self.violated[name] += 1
        LOG.error('invariant violated', extra={'invariant': name, **state})
        raise InvariantError(f'invariant {name} violated: {state}')
