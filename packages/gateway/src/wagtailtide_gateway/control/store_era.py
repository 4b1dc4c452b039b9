"""Eras of the store: its contents before and after it was restored.

The store may come back from a copy that is some seconds old. Its revisions
then go back and are given out again, and all its answers state a new era, one
higher than before.

Revisions and fencing tokens therefore contain the era in which they were
given out: all those of an era are higher than all those of earlier eras. In
the first era they equal what the store itself counts, as they do in builds
that know no eras. Eras count from 1.
"""

import logging

LOG = logging.getLogger(__name__)

FIRST_ERA = 1

# More revisions than a store gives out in an era, and more leaders than an
# era can have. Decimal, so that logs show the era and the number in it.
REVISIONS_PER_ERA = 10**15
FENCES_PER_ERA = 10**6


def qualify(number, era):
    """Return the revision for a number that the store gave out in an era."""
    return (era - FIRST_ERA) * REVISIONS_PER_ERA + number


def era_of(revision):
    """Return the era in which a revision was given out."""
    return revision // REVISIONS_PER_ERA + FIRST_ERA


def number_of(revision):
    """Return the number by which the store knows a revision in its era."""
    return revision % REVISIONS_PER_ERA


def first_fence(era):
    """Return the lowest fencing token of an era."""
    return max(0, era - FIRST_ERA) * FENCES_PER_ERA + 1


class StoreEra:
    """The era of the store, as the answers to one instance state it."""

    def __init__(self):
        self._known = None
        self._callbacks = []

    @property
    def current(self):
        """The era, FIRST_ERA while no answer has stated one."""
        return FIRST_ERA if self._known is None else self._known

    def on_restore(self, callback):
        """Call a function each time that the store has been restored.

        It is called before anything of the new era is used.
        """
        self._callbacks.append(callback)

    def observe(self, era):
        """Apply the era of an answer.

        Args:
            era: The era, None if the answer states none.

        Returns:
            The era that the answer belongs to, or None if it is a late one of
            an earlier era, whose contents are out of date.
        """
        previous = self._known
        if era is None or era == previous:
            return self.current
        if previous is not None and era < previous:
            return None
        self._known = era
        if previous is not None:
            LOG.warning(
                'store restored', extra={'era': era, 'previous': previous}
            )
            for callback in self._callbacks:
                callback()
        return era
