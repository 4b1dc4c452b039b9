"""Time and memory measurements, and fits of power laws."""

import dataclasses
import gc
import math
import statistics
import time
import tracemalloc

from wagtailtide_bench import report

REPEATS = 7
CALLS_PER_REPEAT = 200
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
    """Growth of one quantity with one size.

    Attributes:
        quantity: What was measured, with its unit.
        size: Name of the size.
        sizes: Sizes that were measured.
        values: Measured value at each size.
        exponent: Exponent of the fitted power law; 0 is constant, 1 linear.
        r_squared: Coefficient of determination of the fit.
    """

    quantity: str
    size: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    exponent: float
    r_squared: float


def fit(quantity, size, sizes, values):
    """Fit a power law by least squares on logarithms.

    Args:
        quantity: What was measured, with its unit.
        size: Name of the size.
        sizes: Sizes that were measured.
        values: Measured value at each size.

    Returns:
        The Fit.
    """
    xs = [math.log(s) for s in sizes]
    ys = [math.log(max(v, 1e-12)) for v in values]
    exponent, offset = statistics.linear_regression(xs, ys)
    mean = statistics.fmean(ys)
    total = sum((y - mean) ** 2 for y in ys)
    residual = sum(
        (y - exponent * x - offset) ** 2 for x, y in zip(xs, ys, strict=True)
    )
    r_squared = 1 - residual / total if total > 1e-9 else 1.0
    return Fit(
        quantity, size, tuple(sizes), tuple(values), exponent, r_squared
    )


def best_time_us(call, calls=CALLS_PER_REPEAT):
    """Return the mean time of a call in the fastest of REPEATS repeats.

    Args:
        call: Function to call without arguments.
        calls: Number of calls per repeat.

    Returns:
        Mean time of a call in microseconds.
    """
    best = math.inf
    for _ in range(REPEATS):
        start = time.perf_counter()
        for _ in range(calls):
            call()
        best = min(best, (time.perf_counter() - start) / calls)
    return best * 1e6


def memory_bytes(build):
    """Return the memory that the result of a function takes, in bytes."""
    gc.collect()
    tracemalloc.start()
    result = build()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del result
    return size


def format_fits(fits):
    """Return Fits as a Markdown table."""
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
