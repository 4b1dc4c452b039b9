"""Detect parts of prompts that crash the backend servers that answer them.

Many requests share a part, and a server runs many requests when it crashes.
Evidence against a part are the crashes of servers that were running a request
with it which had not proved to be sound there; a request proves its parts by
running for a while or to its end. Evidence is shared by all instances.
"""

import collections
import dataclasses
import hashlib

from wagtailtide_core.quarantine import crashes

PART_PREFIX = 'part:'

# Moments at which servers crashed of which a part has to be the explanation to
# be blamed.
MOMENTS_TO_BLAME = 3

# Crashes within this time are one moment. When many servers fail at once, what
# all prompts share was in all of them.
MOMENT_S = 0.25

# A crash is not attributed to a part that was proved within this time before:
# a part that crashes servers is never proved.
PROOF_TTL_S = 10.0

# A blamed part that is sound is proved by a trial, a request that runs
# although it has the part. The first trial waits for this long after the last
# crash, each further one longer by the factor.
FIRST_TRIAL_AFTER_S = 4.0
TRIAL_BACKOFF_FACTOR = 8.0

# Name that a trial has in place of a server among the crashes of a part. It
# counts as a crash until the part is proved.
TRIAL = 'trial'


def fingerprint(part_id):
    """Return the fingerprint of a part of prompts.

    Args:
        part_id: Identifier of the part, the same in all prompts with it.
    """
    digest = hashlib.blake2b(part_id.encode(), digest_size=8)
    return PART_PREFIX + digest.hexdigest()


def is_part(fingerprint):
    """Return whether a fingerprint is that of a part, not of a request."""
    return fingerprint.startswith(PART_PREFIX)


@dataclasses.dataclass(frozen=True)
class BlamedGroup:
    """Parts that crash servers, or one of which does.

    Parts that were in exactly the same crashes cannot be told apart. Only
    requests with all of them are blamed, so that requests with some of them
    show which ones are sound.

    Attributes:
        parts: Their fingerprints.
        crashes: The CrashId of each crash that they explain.
        last_crash_at: Time in seconds of the last of them.
    """

    parts: frozenset[str]
    crashes: frozenset[crashes.CrashId]
    last_crash_at: float

    @property
    def trials(self):
        """Number of trials since the parts were last proved."""
        return sum(crash.server == TRIAL for crash in self.crashes)


def count_moments(times):
    """Return the number of moments in a collection of times in seconds."""
    moments, started_at = 0, float('-inf')
    for at in sorted(times):
        if at - started_at >= MOMENT_S:
            moments, started_at = moments + 1, at
    return moments


def blamed_groups(crashes_by_part):
    """Return the BlamedGroup objects that explain the crashes.

    The part that was in crashes at most moments explains these. Other parts
    are blamed only for what is left, because a sound part is in the crashes of
    the one that shares a prompt with it.

    Args:
        crashes_by_part: For each part by its fingerprint, the time in seconds
            of each crash by CrashId.
    """
    groups, unexplained = [], dict(sorted(crashes_by_part.items()))
    while unexplained:
        found = max(unexplained.values(), key=_evidence)
        if _evidence(found)[0] < MOMENTS_TO_BLAME:
            break
        parts = frozenset(
            part
            for part, part_crashes in unexplained.items()
            if part_crashes.keys() == found.keys()
        )
        groups.append(
            BlamedGroup(parts, frozenset(found), max(found.values()))
        )
        unexplained = {
            part: {c: at for c, at in part_crashes.items() if c not in found}
            for part, part_crashes in unexplained.items()
            if part not in parts
        }
    return tuple(groups)


def _evidence(part_crashes):
    return count_moments(part_crashes.values()), len(part_crashes)


class PartQuarantine:
    """Evidence of one instance for and against parts of prompts."""

    def __init__(self):
        # Attributes crashes; the evidence that results is kept here.
        self._tracker = crashes.CrashTracker()
        self._crashes = collections.OrderedDict()
        self._proved_at = collections.OrderedDict()
        self._groups = ()
        self._is_current = True

    def record_started(self, parts, server):
        """Record that a request with some parts is about to be sent."""
        for part in parts:
            self._tracker.record_started(part, server)

    def record_ended(self, parts, server, broken_at=None):
        """Record that a request has ended or has proved its parts.

        Args:
            parts: Fingerprints of its parts.
            server: Name of the server.
            broken_at: Time in seconds at which its connection broke, or None.
        """
        for part in parts:
            self._tracker.record_ended(part, server, broken_at)

    def record_proof(self, part, now):
        """Record that a part is sound; return whether it was suspect."""
        self._drop_old_proofs(now)
        self._proved_at.pop(part, None)
        self._proved_at[part] = now
        return self.clear(part)

    def _drop_old_proofs(self, now):
        while self._proved_at:
            proved_at = next(iter(self._proved_at.values()))
            if now - proved_at <= PROOF_TTL_S:
                return
            self._proved_at.popitem(last=False)

    def is_proved(self, part, now):
        """Return whether a part has proved to be sound here lately."""
        proved_at = self._proved_at.get(part, float('-inf'))
        return now - proved_at <= PROOF_TTL_S

    def clear(self, part):
        """Drop the crashes of a sound part; return whether there were any."""
        self._tracker.record_completed(part)
        self._is_current = False
        return self._crashes.pop(part, None) is not None

    def record_crash(self, server, boot_id, now):
        """Attribute a crash to the parts that were unproved on a server.

        Args:
            server: Name of the server.
            boot_id: Identifier of the process that ended.
            now: Time in seconds.

        Returns:
            The parts with new evidence against them.
        """
        records = self._tracker.record_crash(server, boot_id, now)
        crash, parts = crashes.CrashId(server, boot_id), []
        for record in records:
            part = record.fingerprint
            self._tracker.record_completed(part)
            if not self.is_proved(part, now):
                self.add_crash(part, crash, now)
                parts.append(part)
        return tuple(parts)

    def add_crash(self, part, crash, at):
        """Add evidence against a part.

        Args:
            part: Its fingerprint.
            crash: The CrashId.
            at: Time in seconds of the crash. The earliest one counts.
        """
        found = self._crashes.setdefault(part, {})
        if at < found.get(crash, float('inf')):
            found[crash] = at
            self._is_current = False
        while len(self._crashes) > crashes.MAX_RECORDS:
            self._crashes.popitem(last=False)

    def crashes(self, now):
        """Yield part, CrashId and time in seconds of all evidence."""
        self._drop_expired(now)
        for part, found in self._crashes.items():
            for crash, at in found.items():
                yield part, crash, at

    def _drop_expired(self, now):
        expired = [
            part
            for part, found in self._crashes.items()
            if now - max(found.values()) > crashes.RECORD_TTL_S
        ]
        for part in expired:
            self.clear(part)

    def find_group(self, parts, now):
        """Return the BlamedGroup that a request with some parts has, or None.

        Args:
            parts: Fingerprints of its parts.
            now: Time in seconds.
        """
        if not self._is_current:
            self._drop_expired(now)
            self._groups = blamed_groups(self._crashes)
            self._is_current = True
        return next(
            (
                group
                for group in self._groups
                if group.parts.issubset(parts)
                and now - group.last_crash_at <= crashes.RECORD_TTL_S
            ),
            None,
        )

    def is_trial_due(self, group, now):
        """Return whether a request of a blamed group may run as a trial."""
        pause_s = FIRST_TRIAL_AFTER_S * TRIAL_BACKOFF_FACTOR**group.trials
        return now - group.last_crash_at >= pause_s

    def start_trial(self, group, now):
        """Record a trial of a blamed group.

        Returns:
            The CrashId that stands for the trial.
        """
        # What one group explains is taken from the others, so their trials
        # need other names.
        name = f'{min(group.parts)}/{group.trials + 1}'
        trial = crashes.CrashId(TRIAL, name)
        for part in group.parts:
            self.add_crash(part, trial, now)
        return trial
