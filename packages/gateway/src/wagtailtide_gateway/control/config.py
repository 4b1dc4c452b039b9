"""The configuration in force and how sure this instance is of it."""

import logging

from wagtailtide_gateway.decisions import trust

LOG = logging.getLogger(__name__)


class ConfigView:
    """Newest configuration that this instance knows.

    Attributes:
        deployment: The Deployment in force, or None.
        value: Its undecoded value, passed on to other instances.
        confirmation: When it was last known to be the newest.
    """

    def __init__(self, decode, clock, on_change):
        self._decode = decode
        self._clock = clock
        self._on_change = on_change
        self.deployment = None
        self.value = None
        self.confirmation = trust.Confirmation(None)

    @property
    def version(self):
        """Version in force, 0 if there is none."""
        return self.deployment.version if self.deployment else 0

    @property
    def age_s(self):
        """Seconds since the last confirmation."""
        return self.confirmation.age_s(self._clock())

    def offer(self, value, source, revision=None):
        """Put a configuration in force if it is newer and can be used.

        Args:
            value: Undecoded value.
            source: Where it came from, for the log.
            revision: The store's revision, for the log.
        """
        try:
            found = self._decode(value)
        except (ValueError, KeyError, TypeError) as exc:
            LOG.error(
                'config refused',
                extra={
                    'source': source,
                    'revision': revision,
                    'kept_version': self.version,
                    'reason': repr(exc),
                },
            )
            return
        if found.version <= self.version:
            return
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

    def confirm(self, at):
        """Note that the version in force was the newest at a time."""
        known = self.confirmation.confirmed_at
        if known is None or at > known:
            self.confirmation = trust.Confirmation(at)
