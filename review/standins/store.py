"""Stand-in for the platform's store, as PROTOCOL.md describes it.

It can be away for a moment and come back from a copy, as the news tell.
"""

import asyncio
import collections
import contextlib
import copy
import json
import time
import urllib.parse

import wire

# Answers of the store take some milliseconds.
ANSWER_S = 0.004


class Store:
    """Objects by kind and name, with revisions, watches and an era."""

    def __init__(self, host, record):
        self._server = wire.Server(host, wire.free_port(host), self._handle)
        self.address = self._server.address
        self._record = record
        self._objects = collections.defaultdict(dict)
        self._events = []
        self._first_revision = 0
        self.revision = 100
        self.era = 1
        self.is_away = False
        self._changed = asyncio.Event()
        self._cuts = 0
        # What the operator and the runners wrote, also while it is away.
        self._outside = {}

    async def start(self):
        """Listen."""
        await self._server.start()

    def put(self, kind, name, value):
        """Write an object as the operator or a runner does.

        Returns:
            The time of the confirmation, None while the store is away; then
            the object is written as soon as the store is back.
        """
        self._outside[kind, name] = value
        if self.is_away:
            return None
        self._write(kind, name, value)
        return time.monotonic()

    def delete(self, kind, name):
        """Remove an object as the operator or a runner does."""
        self._outside[kind, name] = None
        if not self.is_away:
            self._remove(kind, name)

    def value(self, kind, name):
        """Return the value of an object, None without one."""
        found = self._objects[kind].get(name)
        return found and found['specification']

    def revision_of(self, kind, name):
        """Return the revision of an object, None without one."""
        found = self._objects[kind].get(name)
        return found and found['metadata']['revision']

    def cut_watches(self):
        """Cut off all watches that are waiting."""
        self._record('watches that are waiting are cut off')
        self._cuts += 1
        self._notify()

    def make_copy(self):
        """Return a copy of everything, as it may come back from later."""
        return copy.deepcopy((dict(self._objects), self.revision))

    async def restore(self, saved, away_s):
        """Be away for some seconds and come back from a copy."""
        self.is_away = True
        self._notify()
        self._record(f'store away at revision {self.revision}')
        await asyncio.sleep(away_s)
        objects, self.revision = copy.deepcopy(saved)
        self._objects = collections.defaultdict(dict, objects)
        self._events = []
        self._first_revision = self.revision
        self.era += 1
        self.is_away = False
        self._record(
            f'store back from a copy at revision {self.revision}, '
            f'era {self.era}'
        )
        # What the operator and the runners wrote is written again.
        for (kind, name), value in self._outside.items():
            if value is None:
                self._remove(kind, name)
            else:
                self._write(kind, name, value)
        self._record(f'written again, revision {self.revision}')

    def _write(self, kind, name, value):
        found = self._objects[kind].get(name)
        if found is not None and found['specification'] == value:
            return found
        self.revision += 1
        made = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': found['metadata']['created']
                if found
                else self.revision,
                'finalizers': [],
                'deleting': False,
            },
            'specification': copy.deepcopy(value),
            'status': None,
        }
        self._objects[kind][name] = made
        self._add_event(kind, made, False)
        return made

    def _remove(self, kind, name):
        found = self._objects[kind].pop(name, None)
        if found is not None:
            self.revision += 1
            self._add_event(kind, found, True)

    def _add_event(self, kind, found, deleted):
        event = {'object': found, 'deleted': deleted}
        self._events.append((self.revision, kind, event))
        self._notify()

    def _notify(self):
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request, reply):
        await asyncio.sleep(ANSWER_S)
        if self.is_away:
            # Nothing is answered while it is away.
            reply.reset()
            return
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        path = url.path.removeprefix('/api/objects/')
        kind, _, name = (urllib.parse.unquote(p) for p in path.partition('/'))
        if request.method == 'GET' and name:
            found = self._objects[kind].get(name)
            await self._answer(reply, 200 if found else 404, found)
        elif request.method == 'GET' and 'watch' in query:
            await self._watch(kind, query, reply)
        elif request.method == 'GET':
            items = sorted(
                self._objects[kind].values(),
                key=lambda item: item['metadata']['name'],
            )
            after = query.get('after', '')
            items = [i for i in items if i['metadata']['name'] > after]
            await self._answer(
                reply,
                200,
                {'items': items, 'has_more': False, 'at': self.revision},
            )
        else:
            await self._change(request, kind, name, reply)

    async def _watch(self, kind, query, reply):
        since, era = int(query['watch']), self.era
        cuts = self._cuts
        if not self._first_revision <= since <= self.revision:
            await self._answer(reply, 410, {})
            return
        until = time.monotonic() + int(query['max_wait_ms']) / 1000
        while True:
            if self.is_away or era != self.era or cuts != self._cuts:
                # A watch that is waiting may be cut off.
                reply.reset()
                return
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = until - time.monotonic()
            if events or left_s <= 0:
                found = {'events': events, 'at': self.revision}
                await self._answer(reply, 200, found)
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()

    async def _change(self, request, kind, name, reply):
        body = json.loads(request.body or b'{}')
        metadata = body.get('metadata', {})
        name = name or metadata['name']
        found = self._objects[kind].get(name)
        if request.method == 'POST':
            if found is not None:
                await self._answer(reply, 409, found)
                return
        elif found is None:
            await self._answer(reply, 404, {})
            return
        elif metadata.get('revision') not in (
            None,
            found['metadata']['revision'],
        ):
            await self._answer(reply, 409, found)
            return
        if request.method == 'DELETE':
            self._remove(kind, name)
            await self._answer(reply, 200, found)
            return
        made = self._write(kind, name, body['specification'])
        await self._answer(reply, 200, made)

    async def _answer(self, reply, status, body):
        body = {} if body is None else body
        headers = [
            ('Content-Type', 'application/json'),
            ('Store-Era', str(self.era)),
        ]
        await reply.send(status, body, headers)
