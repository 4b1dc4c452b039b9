"""Software versions that began streams, kept in the store.

The records of `stream_origins` are lost if all instances end at once. While a
service may have several versions, the leader therefore writes them to the
store, in objects with the streams of some seconds each. An instance that can
learn a version neither from its own records nor from a leader reads them.

A record never becomes wrong, so readers need not know its age. Objects are
never deleted; the leader replaces those whose records have expired.
"""

import base64
import dataclasses
import logging

import anyio

from wagtailtide_gateway.control import store as stores
from wagtailtide_gateway.control import stream_origins
from wagtailtide_gateway.control import sync

LOG = logging.getLogger(__name__)

# Shortest time in seconds between two writes, which bounds them to five a
# second. A record waits for the write before it and for one check.
WRITE_INTERVAL_S = 0.2
CHECK_INTERVAL_S = 0.04

# Interval at which an instance looks whether it has become the leader.
IDLE_INTERVAL_S = 0.25

# Seconds of streams in one object. It is written again with each new record,
# so a longer time makes fewer objects and larger writes.
SEGMENT_S = 2.0

# Streams in one object, about 230 KB. A value in the store is at most 1 MB.
MAX_STREAMS = 20_000

# Number of objects. A term needs 16; each new leader keeps those of the
# earlier ones until their records have expired.
MAX_OBJECTS = 100

# Longest delay in seconds before a failed call is repeated.
MAX_RETRY_DELAY_S = 2.0


def encode(versions, streams):
    """Return the value of an object.

    Args:
        versions: Service and software version of the servers known lately.
        streams: Software version by key of the stream.
    """
    return {
        'versions': [list(row) for row in versions],
        'streams': {
            version: base64.b64encode(
                b''.join(
                    key.to_bytes(stream_origins.KEY_BYTES) for key in keys
                )
            ).decode()
            for version, keys in stream_origins.group_by_version(
                streams
            ).items()
        },
    }


def decode(value):
    """Return versions and streams of a value, as `encode` takes them.

    Raises:
        TypeError: A value has the wrong type.
        ValueError: A value is invalid.
        KeyError: A field is missing.
        AttributeError: A value has the wrong type.
    """
    versions = tuple(
        (str(service), str(version)) for service, version in value['versions']
    )
    streams = {}
    for version, text in value['streams'].items():
        data = base64.b64decode(text, validate=True)
        size = stream_origins.KEY_BYTES
        if len(data) % size:
            raise ValueError(f'expected keys of {size} bytes each')
        for at in range(0, len(data), size):
            key = int.from_bytes(data[at : at + size])
            stream_origins.merge(streams, key, version)
    return versions, streams


def decode_objects(objects):
    """Yield revision, versions and streams of each valid object."""
    for obj in objects:
        try:
            versions, streams = decode(obj.value)
        except (TypeError, ValueError, KeyError, AttributeError) as exc:
            LOG.warning(
                'stream origins ignored',
                extra={'object': obj.name, 'reason': repr(exc)},
            )
        else:
            yield obj.revision, versions, streams


@dataclasses.dataclass
class _Slot:
    """An object of the store.

    Attributes:
        revision: Its revision, None if it does not exist.
        written_at: Time in seconds at which it was written, or first seen.
    """

    revision: int | None
    written_at: float


@dataclasses.dataclass
class _Segment:
    """The object that is being filled.

    Attributes:
        name: Its name.
        started_at: Time in seconds at which its first record was added.
        streams: Software version by key of the streams in it.
    """

    name: str
    started_at: float
    streams: dict


class OriginWriter:
    """Writes the records to the store while this instance leads.

    Args:
        client: The StoreClient.
        port: The StorePort.
        leadership: The Leadership of the instance.
        cluster: Its ClusterState.
        servers: Its ServerView.
    """

    def __init__(self, client, port, leadership, cluster, servers):
        self._client = client
        self._kind = port.origins_kind
        self._leadership = leadership
        self._cluster = cluster
        self._servers = servers
        self._fence = None
        self._directory = None
        self._number = 0
        self._slots = {}
        self._is_listed = False
        self._stored = {}
        self._segment = None
        self._versions = frozenset()

    async def run(self):
        """Write new records until cancelled."""
        failures = 0
        while True:
            try:
                delay_s = await self._step()
                failures = 0
            except (stores.StoreUnavailable, stores.Conflict) as exc:
                # The write may have taken effect, so what the store has is
                # read before the next one.
                self._is_listed = False
                delay_s = sync.retry_delay_s(failures, MAX_RETRY_DELAY_S)
                failures += 1
                LOG.info(
                    'stream origins not written',
                    extra={'reason': str(exc), 'failures': failures},
                )
            await anyio.sleep(delay_s)

    async def _step(self):
        """Write what is new; return the seconds until the next check."""
        if not self._leadership.is_leader:
            return IDLE_INTERVAL_S
        now = anyio.current_time()
        self._start_term()
        if not self._is_listed and not self._servers.is_settled(now):
            # The next lease has to state the versions that the last one of
            # the earlier leader lacked.
            await self._list_objects()
        if not self._servers.may_have_several_versions(now):
            return CHECK_INTERVAL_S
        versions = self._servers.software_versions(now)
        number, streams = self._new_streams()
        if not streams:
            # All that there is has been written, also by earlier leaders.
            self._number = number
            if frozenset(versions) <= self._versions:
                return CHECK_INTERVAL_S
        if not self._is_listed:
            await self._list_objects()
            if not self._leadership.is_leader:
                return IDLE_INTERVAL_S
            number, streams = self._new_streams()
        if await self._write(versions, streams):
            self._versions, self._number = frozenset(versions), number
        return WRITE_INTERVAL_S

    def _start_term(self):
        directory = self._cluster.origins
        if directory is not self._directory:
            # The numbers of an earlier term do not count.
            self._directory, self._number = directory, 0
        if self._leadership.fence != self._fence:
            self._fence = self._leadership.fence
            self._is_listed = False
            self._versions = frozenset()

    def _new_streams(self):
        """Return the number that they reach, and what the store lacks."""
        number = self._directory.number
        streams = {
            key: version
            for key, version in self._directory.since(self._number).items()
            if self._stored.get(key) != version
        }
        return number, streams

    async def _list_objects(self):
        objects, _ = await self._client.list_all(self._kind)
        now = anyio.current_time()
        slots = {}
        for obj in objects:
            slot = self._slots.get(obj.name)
            if slot is None or slot.revision != obj.revision:
                slot = _Slot(obj.revision, now)
            slots[obj.name] = slot
        self._slots, self._stored, self._segment = slots, {}, None
        for revision, versions, streams in decode_objects(objects):
            if revision > self._leadership.first_revision:
                self._servers.note_versions(versions, now)
            self._stored |= streams
        self._is_listed = True

    async def _write(self, versions, streams):
        """Write streams; return whether all of them have been written.

        The rest is not if this instance no longer leads.
        """
        now = anyio.current_time()
        while self._leadership.is_leader:
            segment = self._segment_for(now)
            room = MAX_STREAMS - len(segment.streams)
            part = dict(list(streams.items())[:room])
            contents = segment.streams | part
            slot = self._slots.get(segment.name)
            value = encode(versions, contents)
            if slot is None:
                obj = await self._client.create(
                    self._kind, segment.name, value
                )
            else:
                obj = await self._client.replace(
                    self._kind, segment.name, value, slot.revision
                )
            segment.streams = contents
            self._slots[segment.name] = _Slot(obj.revision, now)
            if len(part) == len(streams):
                return True
            streams = dict(list(streams.items())[room:])
            await anyio.sleep(WRITE_INTERVAL_S)
            now = anyio.current_time()
        return False

    def _segment_for(self, now):
        segment = self._segment
        if (
            segment is None
            or now - segment.started_at >= SEGMENT_S
            or len(segment.streams) >= MAX_STREAMS
        ):
            LOG.info(
                'stream origins stored',
                extra={
                    'object': segment.name if segment else None,
                    'streams': len(segment.streams) if segment else 0,
                    'objects': len(self._slots),
                },
            )
            segment = _Segment(self._free_name(now), now, {})
            self._segment = segment
        return segment

    def _free_name(self, now):
        """Return the name of an object whose records have expired, or new."""
        expired = [
            name
            for name, slot in self._slots.items()
            if now - slot.written_at > stream_origins.ORIGIN_TTL_S
        ]
        if expired:
            return min(expired)
        if len(self._slots) >= MAX_OBJECTS:
            return min(self._slots, key=lambda n: self._slots[n].revision)
        number = 0
        while f's{number}' in self._slots:
            number += 1
        return f's{number}'
