"""Measure the processor time of one choice of engines by their memory."""

import argparse
import pathlib
import sys
import time
import types

import anyio

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / 'packages/gateway'))

from tests import builders  # noqa: E402
from wagtailtide_gateway.control import engine_memory  # noqa: E402
from wagtailtide_gateway.control import servers  # noqa: E402

CAPACITY = 69_660
SLOTS = 12
INSTANCES = 124
SERVICE_S = 1.5


def make_states(count):
    """Return the ServerState of each of some engines with one model."""
    return [
        servers.ServerState(
            builders.make_server(
                f'engine-{number}',
                slots=SLOTS,
                residency=builders.make_residency(['m1']),
            )
        )
        for number in range(count)
    ]


def make_job(number, tokens):
    """Return a job that has not been decided yet."""
    engine = types.SimpleNamespace(kv_capacity_tokens=CAPACITY, slots=SLOTS)
    return types.SimpleNamespace(
        service=types.SimpleNamespace(name='engines', engine=engine),
        req=types.SimpleNamespace(tokens=tokens, attempt_id=f'a{number}'),
        demand_key=('engines', 'm1'),
        memory_window=None,
        memory_chances={},
        reservation=None,
    )


async def measure(engines, held, wanted_per_s, tokens, is_new, rounds):
    """Return the microseconds of one call.

    Args:
        engines: Number of engines.
        held: Tokens of the other instances in each engine.
        wanted_per_s: Tokens a second that the others want.
        tokens: Tokens of each request.
        is_new: Whether each call is the first one of its request.
        rounds: Number of calls.
    """
    states = make_states(engines)
    view = types.SimpleNamespace(states={s.server.id: s for s in states})
    memory = engine_memory.EngineMemory(view)
    update = [
        {state.server.id: held for state in states},
        [['engines', 'm1', wanted_per_s]],
    ]
    # 1 s, the time between two exchanges of 124 instances.
    memory.section().apply(update, anyio.current_time() - 1.0)
    memory.section().apply(update, anyio.current_time())
    for number in range(100):
        memory.record_start(make_job(number, tokens), states[0])
        memory.record_end(make_job(number, tokens), states[0], tokens)
    jobs = [make_job(number, tokens) for number in range(rounds)]
    if not is_new:
        jobs = [jobs[0]] * rounds
        memory.fitting(jobs[0], states, INSTANCES, SERVICE_S)
    started = time.process_time()
    for job in jobs:
        memory.fitting(job, states, INSTANCES, SERVICE_S)
    return (time.process_time() - started) / rounds * 1e6


async def main(engines, rounds):
    """Print the time of a call in each case, the least of five runs."""
    cases = {
        'memory for all': (10_000, 5_000.0, 1_100),
        'scarce': (30_000, 2_000_000.0, 1_100),
        'scarce, large': (30_000, 2_000_000.0, 8_000),
    }
    for name, case in cases.items():
        for is_new in (True, False):
            least = min(
                [
                    await measure(engines, *case, is_new, rounds)
                    for _ in range(5)
                ]
            )
            kind = 'new' if is_new else 'waiting'
            print(f'{name}, {kind} request: {least:.0f} us')


if __name__ == '__main__':
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--engines', type=int, default=56)
    parser.add_argument('--rounds', type=int, default=1_000)
    args = parser.parse_args()
    anyio.run(main, args.engines, args.rounds)
