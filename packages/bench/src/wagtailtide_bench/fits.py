"""Measure time and memory, and fit power laws."""

import dataclasses
import gc
import math
import statistics
import time
import tracemalloc

from wagtailtide_bench import report

REPEATS = 7
CALLS = 200
_TITLES = [
    'quantity',
    'grows with',
    'sizes',
    'first',
    'last',
    'exponent',
    'r2',
]


@dataclasses.dataclass(frozen=True)
class Fit:
    """How one quantity grows with one size.

    Attributes:
        quantity: What was measured, with its unit.
        size: What grew.
        sizes: The sizes.
        values: The measured values.
        exponent: Exponent of the fitted power law.
        r_squared: Share of the variance that the fit explains.
    """

    quantity: str
    size: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    exponent: float
    r_squared: float


def fit(quantity, size, sizes, values):
    """Fit a power law by least squares on logarithms."""
    xs = [math.log(s) for s in sizes]
    ys = [math.log(max(v, 1e-12)) for v in values]
    exponent, offset = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    left = sum(
        (y - exponent * x - offset) ** 2 for x, y in zip(xs, ys, strict=True)
    )
    r_squared = 1 - left / total if total > 1e-9 else 1.0
    return Fit(
        quantity, size, tuple(sizes), tuple(values), exponent, r_squared
    )


def best_time_us(call, calls=CALLS):
    """Return the shortest mean time of a call over some repeats, in us."""
    best = math.inf
    for _ in range(REPEATS):
        start = time.perf_counter()
        for _ in range(calls):
            call()
        best = min(best, (time.perf_counter() - start) / calls)
    return best * 1e6


def memory_bytes(build):
    """Return the memory that the result of a function holds, in bytes."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def format_fits(fits):
    """Return the table of slopes."""
    lines = [
        ['quantity', 'grows with', 'sizes', 'first', 'last', 'exponent', 'r2']
    ]
    for f in fits:
        lines.append(
            [
                f.quantity,
                f.size,
                f'{f.sizes[0]} to {f.sizes[-1]}',
                f'{f.values[0]:.1f}',
                f'{f.values[-1]:.1f}',
                f'{f.exponent:.2f}',
                f'{f.r_squared:.2f}',
            ]
        )
    return report.format_table(lines)
