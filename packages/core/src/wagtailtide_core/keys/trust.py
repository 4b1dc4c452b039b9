"""Decide whether keys may be trusted without a recent confirmation.

A key can be withdrawn only by a write to the store. So keys stay valid while
it is known that nobody reaches the store, and become doubtful when somebody
might reach it and not be heard.
"""

from collections.abc import Mapping
import dataclasses


@dataclasses.dataclass(frozen=True)
class TrustLimits:
    """Times in seconds.

    Attributes:
        fresh_s: Confirmation age up to which keys are simply trusted.
        report_s: Age up to which a zone's report of no contact counts.
        no_contact_s: Time without a store answer that means no contact.
        peer_silence_s: Time without any peer that means isolation.
        partial_s: Confirmation age allowed while some zone is silent.
        isolated_s: Confirmation age allowed while no peer is heard.
    """

    fresh_s: float = 5.0
    report_s: float = 5.0
    no_contact_s: float = 3.0
    peer_silence_s: float = 5.0
    partial_s: float = 300.0
    isolated_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class Evidence:
    """What an instance knows of the store's reachability.

    Attributes:
        confirmed_at: See `freshness.Freshness`; None for never.
        store_answered_at: When the store last answered this instance.
        peer_heard_at: When any peer was last heard, or None.
        newer_exists: Whether a newer configuration is known to exist than
            the instance has seen.
        no_contact_reports: For each zone with members, when its latest
            report of no store contact was made; None for no such report.
    """

    confirmed_at: float | None
    store_answered_at: float | None
    peer_heard_at: float | None
    newer_exists: bool
    no_contact_reports: Mapping[str, float | None]


@dataclasses.dataclass(frozen=True)
class Trust:
    """Whether keys are trusted, and the rule that decided it."""

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
    if not _within(evidence.peer_heard_at, limits.peer_silence_s, now):
        return Trust(age <= limits.isolated_s, 'isolated')
    if _outage_everywhere(evidence, now, limits):
        return Trust(True, 'store_outage')
    # A store that answers without confirming lags; changes may be accepted.
    if _within(evidence.store_answered_at, limits.no_contact_s, now):
        return Trust(False, 'store_behind')
    if all(
        _within(at, limits.report_s, now)
        for at in evidence.no_contact_reports.values()
    ):
        return Trust(False, 'no_zone_known')
    return Trust(age <= limits.partial_s, 'zone_silent')


def _outage_everywhere(evidence, now, limits):
    reports = evidence.no_contact_reports
    if _within(evidence.store_answered_at, limits.no_contact_s, now):
        return False
    return bool(reports) and all(
        _within(at, limits.report_s, now) for at in reports.values()
    )


def _within(at, limit_s, now):
    return at is not None and now - at <= limit_s
