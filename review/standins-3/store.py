"""Stand-in for the platform's store, as PROTOCOL.md describes it.

Objects by kind and name with one revision counter, conditional writes,
watches. Entries of kind `servers` lapse LAPSE_S after their last write. A call
on /control/... is for the script only: `down?for_s=N` makes it answer 503.

Usage: store.py HOST PORT
"""

import asyncio
import json
import sys
import time
import urllib.parse

import http_server

LAPSE_S = 3.6


class Store:
    def __init__(self):
        self.objects = {}
        self.revision = 1
        self.events = []
        self.changed = asyncio.Event()
        self.written_at = {}
        self.down_until = 0.0

    def put(self, kind, name, fields, deleted=False):
        self.revision += 1
        obj = {
            'metadata': {
                'name': name,
                'revision': self.revision,
                'created': 1,
                'finalizers': [],
                'deleting': False,
            },
            'specification': fields,
            'status': None,
        }
        if deleted:
            self.objects[kind].pop(name, None)
        else:
            self.objects.setdefault(kind, {})[name] = obj
        self.events.append((self.revision, kind, obj, deleted))
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()
        return obj

    async def drop_lapsed(self):
        while True:
            await asyncio.sleep(0.1)
            now = time.monotonic()
            for name in list(self.objects.get('servers', ())):
                if now - self.written_at.get(name, now) > LAPSE_S:
                    self.put('servers', name, None, deleted=True)

    async def handle(self, request, conn):
        url = urllib.parse.urlsplit(request.target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == '/control/down':
            self.down_until = time.monotonic() + float(query['for_s'])
            return await self._answer(conn, 200, {})
        if time.monotonic() < self.down_until:
            return await self._answer(conn, 503, {})
        path = url.path.removeprefix('/api/objects/')
        kind, _, name = path.partition('/')
        kind, name = urllib.parse.unquote(kind), urllib.parse.unquote(name)
        known = self.objects.get(kind, {})
        if request.method == 'GET' and name:
            obj = known.get(name)
            return await self._answer(conn, 200 if obj else 404, obj or {})
        if request.method == 'GET' and 'watch' in query:
            return await self._watch(kind, query, conn)
        if request.method == 'GET':
            names = sorted(n for n in known if n > query.get('after', ''))
            items = [known[n] for n in names[:500]]
            more = len(names) > 500
            found = {'items': items, 'has_more': more, 'at': self.revision}
            return await self._answer(conn, 200, found)
        return await self._write(request, kind, name, known, query, conn)

    async def _write(self, request, kind, name, known, query, conn):
        if request.method == 'DELETE':
            if name not in known:
                return await self._answer(conn, 404, {})
            obj = self.put(kind, name, None, deleted=True)
            return await self._answer(conn, 200, obj)
        body = json.loads(request.body)
        metadata = body['metadata']
        name = name or metadata['name']
        current = known.get(name)
        if request.method == 'POST':
            if current is not None:
                return await self._answer(conn, 409, current)
        else:
            wanted = metadata.get('revision')
            if current is None:
                return await self._answer(conn, 404, {})
            if wanted not in (None, current['metadata']['revision']):
                return await self._answer(conn, 409, current)
        self.written_at[name] = time.monotonic()
        if current and current['specification'] == body['specification']:
            return await self._answer(conn, 200, current)
        obj = self.put(kind, name, body['specification'])
        return await self._answer(conn, 200, obj)

    async def _watch(self, kind, query, conn):
        since = int(query['watch'])
        ends_at = time.monotonic() + int(query['max_wait_ms']) / 1000

        def found():
            return [
                {'object': obj, 'deleted': deleted}
                for revision, of_kind, obj, deleted in self.events
                if of_kind == kind and revision > since
            ]

        while not found():
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                break
        answer = {'events': found(), 'at': self.revision}
        return await self._answer(conn, 200, answer)

    async def _answer(self, conn, status, fields):
        headers = [('Content-Type', 'application/json'), ('Store-Era', '1')]
        body = json.dumps(fields).encode()
        await conn.send(http_server.encode(status, headers, body))
        return True


async def main():
    store = Store()
    await http_server.start(sys.argv[1], int(sys.argv[2]), store.handle)
    await store.drop_lapsed()


asyncio.run(main())
