"""The configuration in force, and when it was last confirmed."""

import logging

from wagtailtide_gateway import ports
from wagtailtide_gateway.decisions import trust

LOG = logging.getLogger(__name__)


class ConfigView:
    """Newest valid configuration that this instance knows.

    Attributes:
        deployment: The Deployment in force, or None.
        value: Its undecoded value, which is passed on to other instances.
        confirmation: Time at which it was last known to be the newest.
    """

    def __init__(self, decode, clock, on_change):
        self._decode = decode
        self._clock = clock
        self._on_change = on_change
        self.deployment = None
        self.value = None
        self.confirmation = trust.Confirmation(None)
        self._shown = None

    @property
    def version(self):
        """Version in force, 0 if there is none."""
        return self.deployment.version if self.deployment else 0

    @property
    def age_s(self):
        """Seconds since the last confirmation, infinite if there was none."""
        return self.confirmation.age_s(self._clock())

    def apply_if_newer(self, value, source, revision=None):
        """Put a configuration in force if it is valid and newer.

        Args:
            value: Undecoded value.
            source: Origin of the value, for the log.
            revision: Revision of the object in the store, for the log.

        Returns:
            Whether the value is not older than the version in force. An
            invalid one is not: the operator has written it after that.
        """
        try:
            found = self._decode(value)
        except ports.DECODE_ERRORS as exc:
            LOG.error(
                'config refused',
                extra={
                    'source': source,
                    'revision': revision,
                    'kept_version': self.version,
                    'reason': repr(exc),
                },
            )
            return True
        if found.version <= self.version:
            self._note_shown(found.version, source, revision)
            return found.version == self.version
        previous = self.version
        self.deployment, self.value = found, value
        LOG.info(
            'config in force',
            extra={
                'version': found.version,
                'previous': previous,
                'source': source,
                'revision': revision,
                'routes': len(found.routes),
            },
        )
        self._on_change()
        return True

    def _note_shown(self, version, source, revision):
        """Log once that an older version than that in force is shown."""
        shown, self._shown = self._shown, (version, revision)
        if version < self.version and shown != self._shown:
            LOG.warning(
                'older config ignored',
                extra={
                    'version': version,
                    'kept_version': self.version,
                    'source': source,
                    'revision': revision,
                },
            )

    def confirm(self, at):
        """Record that the version in force was the newest at a time.

        Args:
            at: Time in seconds on a clock that includes suspended time.
        """
        known = self.confirmation.confirmed_at
        if known is None or at > known:
            self.confirmation = trust.Confirmation(at)
