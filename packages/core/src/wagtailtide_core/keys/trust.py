"""Decide whether keys may be trusted without a recent confirmation.

A key can be withdrawn only by a write to the store. So keys stay trusted while
it is known that no instance reaches the store. Once some instance might reach
it without this one learning of it, they are trusted for at most a limited
time.
"""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class TrustLimits:
    """Time limits of the decision, in seconds.

    Attributes:
        fresh_s: Confirmation age up to which keys are trusted in any case.
        report_s: Age up to which a zone's report of no contact is used.
        no_contact_s: Time without a store answer after which this instance
            has no contact with the store.
        peer_silence_s: Time without a message of any peer after which this
            instance is isolated.
        partial_s: Confirmation age allowed while some zone reports nothing.
        isolated_s: Confirmation age allowed while isolated.
    """

    fresh_s: float = 5.0
    report_s: float = 5.0
    no_contact_s: float = 3.0
    peer_silence_s: float = 5.0
    partial_s: float = 300.0
    isolated_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What an instance knows about contact with the store.

    Times are seconds of the local monotonic clock.

    Attributes:
        confirmed_at: See `freshness.Freshness`; None for never.
        store_answered_at: When the store last answered this instance, None
            for never.
        peer_message_at: When the last message of any peer arrived, None for
            never.
        newer_exists: Whether a configuration is known to exist that is newer
            than the newest that this instance has seen.
        no_contact_reports: For each zone with members, when its latest
            report of no contact with the store was made; None for no report.
    """

    confirmed_at: float | None
    store_answered_at: float | None
    peer_message_at: float | None
    newer_exists: bool
    no_contact_reports: Mapping[str, float | None]


@dataclasses.dataclass(frozen=True)
class Trust:
    """Whether keys are trusted, and the name of the rule that decided."""

    trusted: bool
    reason: str


def may_trust_keys(evidence, now, limits):
    """Return whether requests with an API key may be served.

    Args:
        evidence: Evidence.
        now: Current time in seconds.
        limits: TrustLimits.

    Returns:
        Trust.
    """
    if evidence.confirmed_at is None:
        return Trust(False, 'never_confirmed')
    age = now - evidence.confirmed_at
    if age <= limits.fresh_s:
        return Trust(True, 'confirmed')
    if evidence.newer_exists:
        return Trust(False, 'newer_configuration_exists')
    if not _is_recent(evidence.peer_message_at, limits.peer_silence_s, now):
        return Trust(age <= limits.isolated_s, 'isolated')
    if _no_zone_has_contact(evidence, now, limits):
        return Trust(True, 'store_outage')
    # A store that answers but confirms nothing is behind, and may accept
    # changes such as the withdrawal of a key.
    if _is_recent(evidence.store_answered_at, limits.no_contact_s, now):
        return Trust(False, 'store_behind')
    if all(
        _is_recent(at, limits.report_s, now)
        for at in evidence.no_contact_reports.values()
    ):
        return Trust(False, 'no_zone_known')
    return Trust(age <= limits.partial_s, 'zone_silent')


def _no_zone_has_contact(evidence, now, limits):
    reports = evidence.no_contact_reports
    if _is_recent(evidence.store_answered_at, limits.no_contact_s, now):
        return False
    return bool(reports) and all(
        _is_recent(at, limits.report_s, now) for at in reports.values()
    )


def _is_recent(at, max_age_s, now):
    return at is not None and now - at <= max_age_s
