"""Stand-in for a runner, as PROTOCOL.md describes it."""

import asyncio
import json
import time

import wire

HEARTBEAT_S = 1.2
# Age of what a runner reports of itself.
REPORT_AGE_S = 0.3
# Seconds for which a runner that fell over is away.
DOWN_S = 3.0


class Runner:
    """A runner of a plain service, or of a model service with `models`.

    Attributes:
        arrived: Time, attempt id and whether it ran, of each request.
        orders: Time, holder, epoch number and status of each order.
    """

    def __init__(self, store, host, record, id_, service, **options):
        self._server = wire.Server(host, wire.free_port(host), self._handle)
        self.address = self._server.address
        self._store = store
        self._record = record
        self.id = id_
        self.service = service
        self.zone = options.get('zone', 'gulberg')
        self.slots = options.get('slots', 6)
        self.work_s = options.get('work_s', 0.02)
        self.load_s = options.get('load_s', 1.0)
        self.state = 'ready'
        self.version = 'v1'
        self.born = int(time.time() * 1000)
        models = options.get('models')
        # Adapters by model; None for a runner of a plain service.
        self.models = None if models is None else {m: set() for m in models}
        self.sequence = 0
        self.fence = 0
        self.busy = False
        # Events of a stream, and whether it has no length and no chunks but
        # ends with its channel.
        self.events = options.get('events', 3)
        self.event_s = options.get('event_s', 0.0)
        self.is_unframed = options.get('is_unframed', False)
        # Requests that may wait for a slot.
        self.queue = options.get('queue', 6)
        # Requests a second that it may reject for want of room, or None.
        self.brittle = None
        self.falls = []
        self.arrived = []
        self.orders = []
        self.running = 0
        self._inside = 0
        self._rejected_at = []
        self._places = asyncio.Semaphore(self.slots)
        self._tasks = set()

    async def start(self):
        """Listen and write the entry."""
        await self._server.start()
        self._record(f'runner {self.id} starts')
        return self.write_entry()

    async def stop(self):
        """End; the entry is removed."""
        await self._server.stop()
        self._store.delete('servers', self.id)

    def entry(self):
        """Return the entry in the store."""
        found = {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': self.version,
            'slots': self.slots,
            'state': self.state,
            'cold_remaining_ms': 0,
            'sequence': 1,
            'born': self.born,
        }
        if self.models is not None:
            found |= {'stage': 'combined', 'models': self._models()}
        return found

    def write_entry(self):
        """Write the entry; return the time of the confirmation, or None."""
        confirmed_at = self._store.put('servers', self.id, self.entry())
        self._record(
            f'runner {self.id} writes state={self.state}, revision '
            f'{self._store.revision_of("servers", self.id)}'
        )
        return confirmed_at

    @property
    def is_leaving(self):
        """Whether it leaves."""
        return self.state != 'ready'

    def leave_unlisted(self):
        """Leave without `draining`: only the entry is removed.

        Returns:
            The time of the confirmation.
        """
        self.state = 'leaving'
        self._store.delete('servers', self.id)
        self._record(f'the entry of {self.id} is removed')
        return time.monotonic()

    def drain(self):
        """Report `draining`; return the time of the confirmation."""
        self.state = 'draining'
        return self.write_entry()

    def _models(self):
        return [
            {'name': name, 'version': 1, 'adapters': sorted(adapters)}
            for name, adapters in self.models.items()
        ]

    async def _handle(self, request, reply):
        path = request.target.partition('?')[0]
        if path == '/health':
            status = 200 if self.state == 'ready' else 503
            await reply.send(status, b'', [('X-Instance-Id', self.id)])
        elif path == '/api/report':
            report = self._report()
            await asyncio.sleep(0)
            await reply.send(200, report, self._state_headers())
        elif path == '/api/order':
            await self._order(request, reply)
        elif path.startswith('/api/'):
            await reply.send(404)
        else:
            await self._run(request, reply)

    def _report(self):
        return {
            'stage': 'combined',
            'models': self._models(),
            'busy': self.busy,
            'sequence': self.sequence,
            'queued': 0,
            'running': self.running,
            'kv_in_use': 0,
            'kv_capacity': 100_000,
            'handles': 0,
            'born': self.born,
        }

    def _state_headers(self):
        # A runner that leaves or is brittle says so in all its answers.
        headers = []
        if self.is_leaving:
            headers.append(('Server-Leaving', '1'))
        if self.brittle is not None:
            headers.append(('Server-Brittle', str(self.brittle)))
        return headers

    def _is_other(self, request):
        return request.headers.get('x-expected-instance') not in (
            None,
            self.id,
        )

    async def _order(self, request, reply):
        order = json.loads(request.body)
        status = self._order_status(request, order)
        self.orders.append(
            (
                time.monotonic(),
                order.get('holder'),
                order.get('fencing_token'),
                status,
            )
        )
        self._record(
            f'order at {self.id}: {order.get("operation")} '
            f'{order.get("model")}/{order.get("adapter", "")} '
            f'holder={order.get("holder")} '
            f'fencing_token={order.get("fencing_token")} -> {status}'
        )
        if status == 202:
            self.fence = order['fencing_token']
            self.sequence += 1
            self._carry_out(order)
        await reply.send(status, b'', self._state_headers())

    def _order_status(self, request, order):
        if self._is_other(request):
            return 421
        if order['fencing_token'] < self.fence:
            return 412
        if self.busy:
            return 409
        if order.get('precondition') not in (None, self.sequence):
            return 409
        return 202

    def _carry_out(self, order):
        loads, model = order['operation'] == 'load', order['model']
        if 'adapter' in order:
            # It takes milliseconds; the runner sends no check-in for it.
            adapters = self.models.get(model, set())
            change = adapters.add if loads else adapters.discard
            change(order['adapter'])
            return
        self.busy = True
        task = asyncio.ensure_future(self._carry_out_later(loads, model))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _carry_out_later(self, loads, model):
        await asyncio.sleep(self.load_s)
        if loads:
            self.models[model] = set()
        else:
            self.models.pop(model, None)
        self.busy = False
        self.write_entry()

    def _holds(self, name):
        if self.models is None:
            return True
        model, _, adapter = name.partition('/')
        adapters = self.models.get(model)
        return adapters is not None and (not adapter or adapter in adapters)

    async def _run(self, request, reply):
        at = time.monotonic()
        attempt = request.headers.get('x-attempt-id', '')
        headers = [('X-Attempt-Id', attempt), *self._state_headers()]
        model = request.headers.get('x-model', '')
        if self._is_other(request) or not self._holds(model):
            self._note(at, attempt, request, 'rejected with 421')
            headers.append(('X-Not-Executed', '1'))
            await reply.send(421, b'', headers)
            return
        if self._inside >= self.slots + self.queue:
            self._note(at, attempt, request, 'rejected for want of room')
            headers.append(('X-Not-Executed', '1'))
            await reply.send(503, b'', headers)
            await self._note_rejected(at)
            return
        await self._work(at, attempt, request)
        headers.append(('X-Response-Signature', f'3e1b.{attempt}'))
        if self.models is None:
            await reply.send(200, b'done ' + attempt.encode(), headers)
            return
        headers.append(('Content-Type', 'text/event-stream'))
        await self._stream(reply, headers)

    async def _stream(self, reply, headers):
        events = [
            b'id: %d\ndata: piece %d\n\n' % (n, n)
            for n in range(1, self.events + 1)
        ]
        if not self.is_unframed:
            await reply.send(200, b''.join(events), headers)
            return
        lines = ['HTTP/1.1 200 OK']
        lines += [f'{name}: {value}' for name, value in headers]
        await reply.write('\r\n'.join([*lines, '', '']).encode())
        for event in events:
            await reply.write(event)
            await asyncio.sleep(self.event_s)
        reply.end()

    async def _work(self, at, attempt, request):
        # A fall begins anew with all places free.
        places, self._inside = self._places, self._inside + 1
        try:
            async with places:
                self._note(at, attempt, request, 'runs')
                self.running += 1
                try:
                    await asyncio.sleep(self.work_s)
                finally:
                    self.running -= 1
        finally:
            if places is self._places:
                self._inside -= 1

    async def _note_rejected(self, at):
        self._rejected_at = [t for t in self._rejected_at if at - t < 1.0]
        self._rejected_at.append(at)
        if self.brittle is None or len(self._rejected_at) <= self.brittle:
            return
        lost = self._inside
        self._record(f'runner {self.id} falls over with {lost} requests')
        self.falls.append((at, lost))
        self._rejected_at = []
        self._inside = 0
        self._places = asyncio.Semaphore(self.slots)
        await self.crash(DOWN_S)

    async def crash(self, down_s):
        """Close all channels and the port, and start again later.

        The entry stays, as silence of less than three check-ins is borne.
        """
        self._record(f'runner {self.id} crashes')
        await self._server.stop()
        task = asyncio.ensure_future(self._come_back(down_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _come_back(self, down_s):
        await asyncio.sleep(down_s)
        self.born = int(time.time() * 1000)
        self.sequence = self.fence = 0
        if self.models is not None:
            # Runners restart empty.
            self.models = {}
        self._record(f'runner {self.id} is back')
        await self._server.start()
        self.write_entry()

    def _note(self, at, attempt, request, what):
        self.arrived.append((at, attempt, what == 'runs', request.headers))
        self._record(f'request {attempt} at {self.id}: {what}')
