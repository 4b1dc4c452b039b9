"""Exchanges of this instance with the duty holder."""

import logging

import anyio
from wagtailtide_core.retries import fate

from wagtailtide_gateway.control import messages
from wagtailtide_gateway.http import outgoing
from wagtailtide_gateway.model import backend

LOG = logging.getLogger(__name__)

EXCHANGE_TARGET = b'/exchange'

# Interval of exchanges in a small fleet. It bounds the age of load news.
INTERVAL_S = 0.25

# Exchanges that a duty holder can answer, a second, at a few percent of a
# small instance's processor. Larger fleets exchange less often.
HOLDER_RATE_PER_S = 120.0

ANSWER_TIMEOUT_S = 0.8

# Time without an exchange after which loads and numbers of others are void.
NEWS_VOID_S = 3.0


class Exchange:
    """Reports to the duty holder and takes its news.

    Attributes:
        instances: Number of instances that share rates and budgets.
        loading_s: Seconds until loading models are ready, as of the news.
    """

    def __init__(self, duty, hub, parts, cfg, pool, clock):
        self._duty = duty
        self._hub = hub
        self._parts = parts
        self._cfg = cfg
        self._pool = pool
        self._clock = clock
        self._kick = anyio.Event()
        self._news_number = 0
        self._entry_number = 0
        self._full_at = 0.0
        self._fence = None
        self._last_draw_at = None
        self._answered = anyio.Event()
        self._news_at = float('-inf')
        self._unheard = False
        self.instances = 0
        self.loading_s = {}
        self.shortfalls_s = {}

    @property
    def is_fresh(self):
        """Whether the duty holder answered a short time ago."""
        return anyio.current_time() - self._news_at < NEWS_VOID_S

    def kick(self):
        """Exchange soon instead of at the next interval."""
        self._kick.set()

    async def next_answer(self, timeout_s):
        """Exchange at once and wait for the answer, up to a time."""
        answered = self._answered
        self.kick()
        with anyio.move_on_after(timeout_s):
            await answered.wait()

    async def run(self):
        """Exchange until cancelled."""
        while True:
            await self._exchange()
            wait_s = max(0.0, self._full_at - anyio.current_time())
            with anyio.move_on_after(wait_s):
                await self._kick.wait()
                # Requests that come close together share one exchange.
                await anyio.sleep(0.002)
            self._kick = anyio.Event()

    async def _exchange(self):
        now = anyio.current_time()
        urgent = now < self._full_at
        if not urgent:
            self._full_at = now + self._interval_s()
        report = self._make_report(now, urgent)
        sent_at = self._clock()
        if self._duty.fence is not None:
            news = self._hub.answer(report)
        else:
            news = await self._ask(report)
        if news is None:
            self._parts.save_alone(self.instances or self._recorded_count())
            self._parts.put_back(report)
            if not self.is_fresh:
                self._parts.servers.forget_news()
                self._news_number = self._entry_number = 0
                self.loading_s = {}
                self.shortfalls_s = {}
        else:
            self._take(news, sent_at, now, urgent)
        answered, self._answered = self._answered, anyio.Event()
        answered.set()

    def _recorded_count(self):
        record = self._duty.record
        return max(1, record.instances if record else 1)

    def _interval_s(self):
        return max(INTERVAL_S, self.instances / HOLDER_RATE_PER_S)

    def _make_report(self, now, urgent):
        elapsed_s = now - (self._last_draw_at or now - INTERVAL_S)
        self._last_draw_at = now
        return self._parts.make_report(
            self._cfg.instance,
            (self._news_number, self._entry_number),
            elapsed_s,
            urgent,
        )

    async def _ask(self, report):
        record = self._duty.record
        if record is None or not record.holder:
            return None
        address = backend.Address(record.host, record.port)
        conn = None
        try:
            with anyio.fail_after(ANSWER_TIMEOUT_S):
                conn = await self._pool.acquire(address)
                head = await conn.request(
                    b'POST',
                    EXCHANGE_TARGET,
                    [(b'Host', str(address).encode())],
                    messages.encode_report(report),
                )
                body = await conn.read_body()
        except (outgoing.ConnectionBroken, TimeoutError) as exc:
            refuses = (
                isinstance(exc, outgoing.ConnectionBroken)
                and exc.progress is fate.Progress.CONNECTING
            )
            self._note_failed(record, exc, refuses)
            return None
        else:
            await self._pool.release(conn)
            conn = None
        finally:
            if conn is not None:
                await conn.close()
        return self._read(head, body, record)

    def _read(self, head, body, record):
        if head.status != 200:
            self._note_failed(record, f'status {head.status}', False)
            self._duty.holder_resigned()
            return None
        try:
            news = messages.decode_news(body)
        except messages.BadMessage as exc:
            LOG.warning(
                'news refused',
                extra={'holder': record.holder, 'reason': str(exc)},
            )
            return None
        self._duty.heard_holder()
        self._unheard = False
        return news

    def _note_failed(self, record, reason, refuses):
        if not self._unheard:
            LOG.info(
                'duty holder unheard',
                extra={
                    'holder': record.holder,
                    'fence': record.fence,
                    'reason': str(reason),
                },
            )
        self._unheard = True
        self._duty.holder_failed(refuses)

    def _take(self, news, sent_at, now, urgent):
        self._news_at = anyio.current_time()
        self.instances = news.instances
        if news.fence != self._fence:
            # A new holder numbers its news anew; what it sent now was made
            # for another number, so the next exchange brings all of it.
            self._fence = news.fence
            self._news_number = self._entry_number = 0
            self._full_at = 0.0
            self._parts.servers.forget_news()
            self._parts.take_news(news, sent_at)
            return
        self._news_number = news.news_number
        self.shortfalls_s = news.shortfalls_s
        self._parts.take_news(news, sent_at)
        if urgent:
            return
        self.loading_s = news.loading_s
        if self._duty.fence is None:
            self._parts.take_view(news, now, self._entry_number)
            self._entry_number = news.entry_number
        else:
            self._parts.take_loads(news)
