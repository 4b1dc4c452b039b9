"""A model runner of PROTOCOL.md: streams, adapters, orders and reports."""

import asyncio
import json

import lab

EVENTS = 8
ADAPTER_LOAD_S = 0.0097


class Engine(lab.Runner):
    """A runner that holds one model from its start on.

    Args:
        extra_share: Share of its answers to requests that it gives a second
            time, at the point where the next response of the channel is
            expected.
        on_overload: Called with a text if an order does not fit.
    """

    service = 'engines'
    slots = 24

    def __init__(
        self,
        ip,
        store,
        id_,
        *,
        model='m1',
        adapter_slots=8,
        event_s=0.06,
        extra_share=0.0,
        rng=None,
        record=None,
        on_overload=None,
    ):
        super().__init__(ip, store, id_, record=record)
        self.model = model
        self.adapter_slots = adapter_slots
        self.event_s = event_s
        self.extra_share = extra_share
        self.rng = rng
        self.on_overload = on_overload
        self.adapters = {}  # Requests that use it, by adapter.
        self.incoming = set()
        self.unloading = set()
        self.sequence = 0
        self.fence = 0
        self.running = 0
        self.extras = 0
        self.orders = 0

    def entry(self):
        return super().entry() | {
            'stage': 'combined',
            'models': self.models(),
        }

    def models(self):
        ready = sorted(set(self.adapters) - self.incoming - self.unloading)
        return [{'name': self.model, 'version': 1, 'adapters': ready}]

    def report(self):
        return {
            'stage': 'combined',
            'models': [
                {
                    'name': self.model,
                    'version': 1,
                    'adapters': sorted(set(self.adapters) - self.incoming),
                }
            ],
            'busy': False,
            'sequence': self.sequence,
            'queued': 0,
            'running': self.running,
            'kv_in_use': 0,
            'kv_capacity': 90000,
            'handles': 0,
            'incoming': [f'{self.model}/{a}@1' for a in sorted(self.incoming)],
            'born': self.born,
        }

    async def handle(self, request, reader, writer, channel):
        method, target, _ = request.line.split(' ')
        extra = channel.pop('extra', None)
        if extra is not None:
            self.extras += 1
            self.record(
                f'{self.id}: second answer to {channel["of"]} before the '
                f'answer to {method} {target}'
            )
            writer.write(extra)
        if target == '/api/report':
            return await self._answer(writer, 200, self.report())
        if request.headers.get('x-expected-instance') not in (None, self.id):
            return await self._answer(writer, 421)
        if target == '/api/order':
            status = self._order(json.loads(request.body))
            return await self._answer(writer, status)
        return await self._run(request, writer, channel)

    async def _answer(self, writer, status, value=None):
        body = b'' if value is None else json.dumps(value).encode()
        headers = [('Content-Type', 'application/json')]
        writer.write(lab.encode(status, headers, body))
        await writer.drain()
        return True

    def _order(self, order):
        status = self._carry_out(order)
        self.orders += 1
        self.record(
            f'{self.id}: order {order["operation"]} '
            f'{order["model"]}/{order.get("adapter")} by {order["holder"]} '
            f'precondition {order.get("precondition")} -> {status}; holds '
            f'{len(self.adapters)} of {self.adapter_slots} adapters'
        )
        return status

    def _carry_out(self, order):
        if order['fencing_token'] < self.fence:
            return 412
        if order.get('precondition') not in (None, self.sequence):
            return 409
        adapter = order.get('adapter')
        if order['model'] != self.model or adapter is None:
            return 400
        self.fence = order['fencing_token']
        self.sequence += 1
        if order['operation'] == 'load':
            if adapter in self.adapters:
                return 200
            if len(self.adapters) >= self.adapter_slots:
                self.on_overload(
                    f'{self.id} is ordered to load {self.model}/{adapter} '
                    f'beside {len(self.adapters)} adapters '
                    f'({sorted(self.adapters)}, being unloaded: '
                    f'{sorted(self.unloading)}); it has {self.adapter_slots} '
                    'places'
                )
                self.beat.cancel()
                self.stop()
                raise ConnectionError('crashed')
            self.adapters[adapter] = 0
            self.incoming.add(adapter)
            asyncio.get_running_loop().call_later(
                ADAPTER_LOAD_S, self.incoming.discard, adapter
            )
            return 202
        if adapter not in self.adapters:
            return 200
        if self.adapters[adapter]:
            self.unloading.add(adapter)
            return 202
        del self.adapters[adapter]
        return 200

    async def _run(self, request, writer, channel):
        attempt = request.headers['x-attempt-id']
        model, _, adapter = request.headers['x-model'].partition('/')
        if model != self.model or (
            adapter
            and (adapter not in self.adapters or adapter in self.incoming)
        ):
            return await self._answer(writer, 421)
        if adapter in self.unloading or self.running >= self.slots:
            headers = [('X-Not-Executed', '1'), ('X-Attempt-Id', attempt)]
            writer.write(lab.encode(503, headers))
            await writer.drain()
            return True
        self.ran.append(attempt)
        self.running += 1
        if adapter:
            self.adapters[adapter] += 1
        try:
            head = lab.encode(
                200,
                [
                    *self.headers(request),
                    ('X-Weight-Versions', '1'),
                    ('Content-Type', 'text/event-stream'),
                    ('Transfer-Encoding', 'chunked'),
                ],
                framed=False,
            )
            writer.write(head)
            first = int(request.headers.get('last-event-id', 0)) + 1
            sent = [head]
            for number in range(first, EVENTS + 1):
                await asyncio.sleep(self.event_s)
                event = f'id: {number}\ndata: {attempt}-{number}\n\n'.encode()
                piece = b'%x\r\n%s\r\n' % (len(event), event)
                sent.append(piece)
                writer.write(piece)
                await writer.drain()
            writer.write(b'0\r\n\r\n')
            sent.append(b'0\r\n\r\n')
            await writer.drain()
        finally:
            self.running -= 1
            if adapter:
                self._release(adapter)
        if self.extra_share and self.rng.random() < self.extra_share:
            channel['extra'], channel['of'] = b''.join(sent), attempt
        return True

    def _release(self, adapter):
        self.adapters[adapter] -= 1
        if not self.adapters[adapter] and adapter in self.unloading:
            self.unloading.discard(adapter)
            del self.adapters[adapter]
