"""Configuration read straight from the store, without other instances.

To be replaced by the control plane; it has the same interface.
"""

import dataclasses
import logging
import secrets

import anyio
import json5
import pydantic
from wagtailtide_core.config import catalog
from wagtailtide_core.document import schema

from wagtailtide_server.platform import client

LOG = logging.getLogger(__name__)

POLL_S = 1.0
TRUST_AGE_S = 10.0
_DOCUMENT = pydantic.TypeAdapter(schema.Document)


@dataclasses.dataclass(frozen=True)
class LocalTrust:
    """Whether keys are trusted, and why."""

    trusted: bool
    reason: str


class _Config:
    def __init__(self):
        self.catalog = catalog.EMPTY


class _NoPeers:
    async def call(self, name, _op, _body, _timeout_s):
        raise LookupError(f'no link to {name}')

    def register(self, _op, _handler):
        pass


class LocalPlane:
    """Documents of the store, read each second."""

    def __init__(self, settings, store, invariants):
        self._store = store
        self._confirmed_at = None
        self.config = _Config()
        self.peers = _NoPeers()
        self.boot = secrets.randbits(48)

    def coordinator_of(self, _partition):
        """Return None: no other instance is known."""

    @property
    def caught_up(self):
        """Whether the store has been read."""
        return self._confirmed_at is not None

    def key_trust(self, now):
        """Return whether keys are trusted at a time."""
        age = now - self._confirmed_at if self.caught_up else float('inf')
        return LocalTrust(
            age <= TRUST_AGE_S, f'confirmed {age:.0f} s ago by the store'
        )

    async def run(self, task_status=anyio.TASK_STATUS_IGNORED):
        """Read the documents until cancelled."""
        task_status.started()
        while True:
            try:
                sent_at = anyio.current_time()
                listing = await self._store.list('documents/')
                self._apply(listing)
                self._confirmed_at = sent_at
            except client.StoreError as exc:
                LOG.warning('store not read', extra={'error': str(exc)})
            await anyio.sleep(POLL_S)

    def _apply(self, listing):
        versions = {i.key.split('/')[1]: i.version for i in listing.items}
        if versions == self.config.catalog.versions:
            return
        documents = {}
        for item in listing.items:
            try:
                value = json5.loads(item.value.decode())
                document = _DOCUMENT.validate_python(value)
            except ValueError as exc:
                LOG.error('document not valid', extra={'error': str(exc)})
                continue
            documents[item.key.split('/')[1]] = document
        self.config.catalog = catalog.build(documents, versions)
