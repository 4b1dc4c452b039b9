"""Waiting requests and recent work of all instances, shared by the leader.

A report has what waits at its instance now and decayed sums of its arrivals
and work. Both say everything about the present, so that a lost report or a
new leader needs no correction.
"""

import collections
from collections.abc import Mapping
import dataclasses

from wagtailtide_gateway.control import fields
from wagtailtide_gateway.decisions import scheduling

# Seconds after which what an instance reported, and what the leader returned,
# is not known any more. It equals cluster_state.INSTANCE_TIMEOUT_S.
WORK_TTL_S = 2.5

# The leader sums the reports at most this often, in seconds.
TOTALS_INTERVAL_S = 0.1

# Most rows of an update, those with the most waiting requests. An update of 64
# rows and 16 organisations takes about 2 KB.
MAX_ROWS = 64

_RATE_STEPS_PER_S = 10
_USAGE_STEPS_PER_S = 100


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """Waiting requests, arrivals and recent work.

    Attributes:
        waiting: Number of waiting requests by service, model and priority.
        arrivals_per_s: Arrivals a second, by the same key.
        usage_s: Recent work in seconds in a slot, by organisation.
        org_waiting: Number of waiting requests by organisation and priority.
    """

    waiting: Mapping[tuple[str, str, int], float]
    arrivals_per_s: Mapping[tuple[str, str, int], float]
    usage_s: Mapping[str, float]
    org_waiting: Mapping[tuple[str, int], float]


NO_WORK = Work({}, {}, {}, {})


@dataclasses.dataclass(frozen=True, slots=True)
class FleetWork:
    """What the leader returns to an instance about the others.

    Attributes:
        work: Work of the other instances that report it.
        reporting: Number of instances that report it, this one included.
        is_complete: Whether the work has all models with waiting requests.
    """

    work: Work
    reporting: int
    is_complete: bool


def encode_work(work):
    """Return the CBOR-encodable form of a Work."""
    keys = work.waiting.keys() | work.arrivals_per_s.keys()
    return [_encode_rows(work, keys), _encode_orgs(work)]


def _encode_rows(work, keys):
    rows = {}
    for key in sorted(keys):
        service, model, _ = key
        row = rows.setdefault(service, {}).setdefault(model, [])
        row += _encode_row(work, key)
    return rows


def _encode_row(work, key, own=None):
    """Return priority, waiting requests and arrival rate of a key.

    Args:
        work: The Work of all instances.
        key: Service, model and priority.
        own: Work of an instance that is not to be counted, or None.
    """
    waiting = work.waiting.get(key, 0)
    rate = work.arrivals_per_s.get(key, 0.0)
    if own is not None:
        waiting -= own.waiting.get(key, 0)
        rate -= own.arrivals_per_s.get(key, 0.0)
    return key[2], max(0, waiting), max(0, round(rate * _RATE_STEPS_PER_S))


def _encode_orgs(work):
    orgs = {
        name: [max(0, round(usage_s * _USAGE_STEPS_PER_S))]
        for name, usage_s in work.usage_s.items()
    }
    for (name, priority), count in sorted(work.org_waiting.items()):
        if count > 0:
            orgs.setdefault(name, [0]).extend((priority, count))
    return orgs


def decode_work(value):
    """Return the Work of its encoded form.

    Raises:
        BadMessage: A number is negative.
        TypeError, ValueError: The value has another form.
    """
    rows, orgs = value[:2]
    waiting, arrivals_per_s = {}, {}
    for service, models in fields.mapping(fields.text, _MODELS)(rows).items():
        for model, numbers in models.items():
            for priority, count, rate in _groups(numbers, 3):
                key = (service, model, priority)
                waiting[key] = count
                arrivals_per_s[key] = rate / _RATE_STEPS_PER_S
    usage_s, org_waiting = {}, {}
    for name, numbers in fields.mapping(fields.text, _NUMBERS)(orgs).items():
        usage_s[name] = numbers[0] / _USAGE_STEPS_PER_S
        for priority, count in _groups(numbers[1:], 2):
            org_waiting[name, priority] = count
    return Work(waiting, arrivals_per_s, usage_s, org_waiting)


def _count(value):
    number = fields.integer(value)
    if not 0 <= number < 2**31:
        raise fields.BadMessage(f'expected a count, got {number}')
    return number


_NUMBERS = fields.sequence(_count)
_MODELS = fields.mapping(fields.text, _NUMBERS)


def _groups(numbers, size):
    return zip(*(iter(numbers),) * size, strict=True)


class LeaderWork:
    """Sums the Work of all instances on the leader."""

    def __init__(self):
        self.start_term()

    def start_term(self):
        """Drop what an earlier term has collected."""
        self._reports = {}
        self._summed = {}
        self._summed_at = float('-inf')
        self._totals = NO_WORK
        self._is_complete = True
        self._keys, self._rows = {}, {}

    def receive(self, instance, value, now):
        """Store the Work in a report of an instance."""
        self._reports[instance] = (decode_work(value), now)

    def make_update(self, instance, now):
        """Return the encoded FleetWork for an instance."""
        if now - self._summed_at >= TOTALS_INTERVAL_S:
            self._sum(now)
        own, at = self._summed.get(instance, (NO_WORK, now))
        own = _decayed(own, at, self._summed_at)
        return [
            len(self._reports),
            self._is_complete,
            self._rows_without(own),
            _encode_orgs(_org_difference(self._totals, own)),
        ]

    def _rows_without(self, own):
        """Return the rows of the models that requests wait for anywhere.

        Only the rows of models that the instance itself has requests for
        differ from one instance to the other.
        """
        rows = {service: dict(row) for service, row in self._rows.items()}
        for service, model in {key[:2] for key in own.waiting}:
            if model in rows.get(service, {}):
                rows[service][model] = [
                    number
                    for key in self._keys[service, model]
                    for number in _encode_row(self._totals, key, own)
                ]
        return rows

    def _sum(self, now):
        self._reports = {
            name: (work, at)
            for name, (work, at) in self._reports.items()
            if now - at <= WORK_TTL_S
        }
        totals = [collections.defaultdict(int) for _ in range(4)]
        for work, at in self._reports.values():
            parts = _fields(_decayed(work, at, now))
            for total, part in zip(totals, parts, strict=True):
                for key, amount in part.items():
                    total[key] += amount
        self._totals = Work(*totals)
        self._summed = dict(self._reports)
        self._summed_at = now
        self._encode_totals()

    def _encode_totals(self):
        counts = collections.Counter()
        for (service, model, _), count in self._totals.waiting.items():
            if count > 0:
                counts[service, model] += count
        shown = dict(counts.most_common(MAX_ROWS))
        self._is_complete = len(shown) == len(counts)
        self._keys = collections.defaultdict(list)
        work = self._totals
        for key in sorted(work.waiting.keys() | work.arrivals_per_s.keys()):
            if key[:2] in shown:
                self._keys[key[:2]].append(key)
        keys = [key for group in self._keys.values() for key in group]
        self._rows = _encode_rows(work, keys)


def _fields(work):
    return work.waiting, work.arrivals_per_s, work.usage_s, work.org_waiting


def _decayed(work, at, now):
    """Return a Work with its usage decayed since its report."""
    left = scheduling.decay(now - at, scheduling.USAGE_PERIOD_S)
    usage_s = {name: used * left for name, used in work.usage_s.items()}
    return dataclasses.replace(work, usage_s=usage_s)


def _org_difference(work, own):
    return dataclasses.replace(
        work,
        usage_s={
            name: used - own.usage_s.get(name, 0.0)
            for name, used in work.usage_s.items()
        },
        org_waiting={
            key: count - own.org_waiting.get(key, 0)
            for key, count in work.org_waiting.items()
        },
    )


class FleetView:
    """What an instance knows of the work of the others."""

    def __init__(self):
        self._fleet = None
        self._at = float('-inf')

    def apply(self, value, now):
        """Apply the leader's value, None if its update has none.

        Args:
            value: The encoded FleetWork.
            now: Time in seconds at which the report was made.
        """
        if value is None:
            # A leader of an older build; what an earlier one said expires.
            return
        reporting, is_complete = value[:2]
        self._fleet = FleetWork(
            decode_work(value[2:]),
            fields.integer(reporting),
            fields.boolean(is_complete),
        )
        self._at = now

    @property
    def reported_at(self):
        """Time in seconds of the report that the leader last answered."""
        return self._at

    def fleet(self, now):
        """Return the FleetWork, None if none is recent."""
        return self._fleet if now - self._at <= WORK_TTL_S else None

    def usage_s(self, organisation, now):
        """Return the recent work of an organisation at other instances."""
        if self._fleet is None:
            return 0.0
        left = scheduling.decay(now - self._at, scheduling.USAGE_PERIOD_S)
        return self._fleet.work.usage_s.get(organisation, 0.0) * left

    def org_waiting(self, priority, now):
        """Return the requests of a priority that wait elsewhere, by name."""
        fleet = self.fleet(now)
        if fleet is None:
            return {}
        return {
            name: count
            for (name, other), count in fleet.work.org_waiting.items()
            if other == priority
        }

    def waiting(self, key, instances, now):
        """Return how many requests wait at other instances, None if unknown.

        Instances of an older build report nothing. Each is taken to have as
        many as the others have on average.

        Args:
            key: Service, model and priority.
            instances: Number of all instances.
            now: Time in seconds.
        """
        fleet = self.fleet(now)
        if fleet is None or not self._is_covered(fleet, key):
            return None
        if fleet.reporting < 2:
            return None if instances > 1 else 0.0
        scale = max(1.0, (instances - 1) / (fleet.reporting - 1))
        return fleet.work.waiting.get(key, 0) * scale

    def _is_covered(self, fleet, key):
        return fleet.is_complete or any(
            other[:2] == key[:2] for other in fleet.work.waiting
        )

    def arrivals_per_s(self, key, now):
        """Return the arrivals a second at other instances, 0 if unknown."""
        fleet = self.fleet(now)
        return 0.0 if fleet is None else fleet.work.arrivals_per_s.get(key, 0)
