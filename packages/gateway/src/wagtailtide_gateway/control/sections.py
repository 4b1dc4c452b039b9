"""Sections of reports and updates: what single features exchange.

A section has a number, by which builds that lack the feature ignore it. A
message without a section says nothing about it: unknown is not zero.
"""

from collections.abc import Callable
import dataclasses
import enum
import logging

from wagtailtide_gateway.control import fields

LOG = logging.getLogger(__name__)

# What the conversion of a malformed value raises.
_CONVERSION_ERRORS = (
    TypeError,
    ValueError,
    KeyError,
    IndexError,
    AttributeError,
    OverflowError,
    fields.BadMessage,
)


class Number(enum.IntEnum):
    """Numbers of the sections. One that was used is never used again."""

    EVACUATIONS = 1
    WAITING_WORK = 2
    ENGINE_MEMORY = 3
    SERVER_PERFORMANCE = 4
    COLD_SERVERS = 5
    CLASS_LOADS = 6
    SERVER_BATCHES = 7
    MEMORY_RESERVATIONS = 8
    BRITTLE_SERVERS = 9
    FORERUNNERS = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Section:
    """What a feature exchanges with the leader.

    Attributes:
        number: Its Number.
        make_report: Function that returns the value for the leader, or None.
        receive: Function that the leader calls with the name of an instance,
            its value and the time in seconds.
        make_update: Function that returns the leader's value for an instance,
            or None; called with the name of the instance and the time.
        apply: Function that an instance calls with the leader's value, None
            if there is none, and the time at which its report was made.
        start_term: Function that drops what an earlier term has collected.
        is_urgent: Whether urgent reports have the section, too. They have no
            value that is empty.
    """

    number: Number
    make_report: Callable = lambda: None
    receive: Callable = lambda instance, value, now: None
    make_update: Callable = lambda instance, now: None
    apply: Callable = lambda value, now: None
    start_term: Callable = lambda: None
    is_urgent: bool = False


class Sections:
    """The sections of one instance, in both of its roles."""

    def __init__(self):
        self._sections = {}
        self._refused = set()

    def add(self, section):
        """Register a Section."""
        self._sections[int(section.number)] = section

    def make_report(self):
        """Return the values for the leader, by number."""
        return _values(self._sections, lambda section: section.make_report())

    def make_urgent_report(self):
        """Return the values for an urgent report, by number."""
        urgent = {n: s for n, s in self._sections.items() if s.is_urgent}
        values = _values(urgent, lambda section: section.make_report())
        return {number: value for number, value in values.items() if value}

    def receive(self, instance, values, now):
        """Apply the values in the report of an instance."""
        for number, section in self._sections.items():
            if number in values:
                self._convert(
                    section, section.receive, instance, values[number], now
                )

    def make_update(self, instance, now):
        """Return the leader's values for an instance, by number."""
        return _values(
            self._sections, lambda section: section.make_update(instance, now)
        )

    def make_urgent_update(self, instance, reported, now):
        """Return the values in the update for an urgent report, by number.

        Args:
            instance: Name of the instance.
            reported: The values in its report, by number.
            now: Time in seconds.
        """
        return _values(
            {n: s for n, s in self._sections.items() if n in reported},
            lambda section: section.make_update(instance, now),
        )

    def apply(self, values, now):
        """Apply the values in an update of the leader."""
        for number, section in self._sections.items():
            self._convert(section, section.apply, values.get(number), now)

    def apply_urgent(self, values, now):
        """Apply the values in the update for an urgent report."""
        for number, section in self._sections.items():
            if number in values:
                self._convert(section, section.apply, values[number], now)

    def start_term(self):
        """Drop what the previous term of this leader has collected."""
        for section in self._sections.values():
            section.start_term()

    def _convert(self, section, function, *args):
        """Call a function; a malformed value leaves the state as it was."""
        try:
            function(*args)
        except _CONVERSION_ERRORS as exc:
            # One line for each section, because messages come all the time.
            if section.number not in self._refused:
                self._refused.add(section.number)
                LOG.warning(
                    'section ignored',
                    extra={'section': section.number.name, 'reason': str(exc)},
                )


def _values(registered, make):
    values = {number: make(section) for number, section in registered.items()}
    return {n: value for n, value in values.items() if value is not None}
