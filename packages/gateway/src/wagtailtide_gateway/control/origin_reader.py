"""Reads what the store has about streams that callers resume."""

import logging

import anyio

from wagtailtide_gateway.control import origin_store
from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.control import sync

LOG = logging.getLogger(__name__)

# Shortest time in seconds between two reads of the records. The first one has
# all that there was before the start of an instance; a leader knows the rest.
RECORDS_INTERVAL_S = 1.0

# Shortest time in seconds between two reads of the list of servers. Requests
# need one that is newer than they are, within resumption.ORIGIN_TIMEOUT_S.
LIST_INTERVAL_S = 0.3


class SharedRead:
    """A read for which all that ask for it wait together.

    Args:
        read: Coroutine function that reads.
        interval_s: Shortest time in seconds between two reads.
    """

    def __init__(self, read, interval_s):
        self._read = read
        self._interval_s = interval_s
        self._requested = anyio.Event()
        self._completed = anyio.Event()
        self._current = None

    async def wait(self, joins):
        """Wait for the end of a read.

        Args:
            joins: Whether it may be one that has started before this call.
        """
        completed = self._completed
        if joins and self._current is not None:
            completed = self._current
        else:
            self._requested.set()
        await completed.wait()

    async def run(self):
        """Read whenever it is asked for, until cancelled."""
        failures = 0
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            self._current, self._completed = self._completed, anyio.Event()
            delay_s = self._interval_s
            try:
                await self._read()
                failures = 0
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                # Requests wait for it, so it is repeated soon.
                delay_s = sync.retry_delay_s(
                    failures, origin_store.MAX_RETRY_DELAY_S
                )
                failures += 1
                LOG.info(
                    'read for resumed streams failed',
                    extra={'reason': str(exc), 'failures': failures},
                )
            finally:
                self._current.set()
                self._current = None
            await anyio.sleep(delay_s)


class OriginReader:
    """Reads what an instance needs to resume a stream of unknown version.

    Args:
        client: The StoreClient.
        port: The StorePort.
        shared_state: The SharedState of the instance.
        first_revision: Function that returns the revision of the lease when
            this instance first read it, 0 if it has not.

    Attributes:
        has_read: Whether the records have been read.
    """

    def __init__(self, client, port, shared_state, first_revision):
        self._client = client
        self._port = port
        self._origins = shared_state.stream_origins
        self._servers = shared_state.servers
        self._first_revision = first_revision
        self._records = SharedRead(self._read_records, RECORDS_INTERVAL_S)
        self._list = SharedRead(self._read_list, LIST_INTERVAL_S)
        self.has_read = False

    async def run(self):
        """Read whenever it is asked for, until cancelled."""
        async with anyio.create_task_group() as tg:
            tg.start_soon(self._records.run)
            tg.start_soon(self._list.run)

    async def read_records(self):
        """Wait for a read of the records; it may fail."""
        await self._records.wait(joins=True)

    async def read_list(self):
        """Wait for a read of the list of servers; it may fail.

        The list is newer than this call.
        """
        await self._list.wait(joins=False)

    async def _read_records(self):
        objects, _ = await self._client.list_all(self._port.origins_kind)
        now = anyio.current_time()
        found = {}
        for revision, versions, streams in origin_store.decode_objects(
            objects
        ):
            # The lease lacks the versions that came after its last renewal.
            if revision > self._first_revision():
                self._servers.note_versions(versions, now)
            for key, version in streams.items():
                stream_origins.merge(found, key, version)
        self._origins.learn(found, now)
        self.has_read = True
        LOG.info(
            'stream origins read',
            extra={'objects': len(objects), 'streams': len(found)},
        )

    async def _read_list(self):
        sent_at = anyio.current_time()
        objects, revision = await self._client.list_all(
            self._port.servers_kind
        )
        self._servers.apply_list(objects, revision, anyio.current_time())
        self._servers.confirm(sent_at)
