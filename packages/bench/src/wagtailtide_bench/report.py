"""Print results as tables or JSON."""

import dataclasses
import json

_COLUMNS = (
    ('attained_per_accelerator', 'attained/acc/min', '{:.1f}'),
    ('attainment', 'attainment', '{:.3f}'),
    ('worst_attainment', 'worst org', '{:.3f}'),
    ('worst_share', 'worst share', '{:.3f}'),
    ('refused_within_rate', 'refused in rate', '{:.4f}'),
    ('over_rate_answered', 'beyond rate', '{:.3f}'),
    ('moves', 'moves', '{:.1f}'),
    ('most_adapter_fetches', 'fetches', '{:.0f}'),
)


def format_rows(rows):
    """Return the table of the measuring runs, with the range over seeds."""
    lines = [
        [
            'deployment',
            'scene',
            'variant',
            *(title for _, title, _ in _COLUMNS),
        ]
    ]
    for row in rows:
        cells = [row.deployment, row.scene, row.variant]
        for name, _, form in _COLUMNS:
            spread = row.spreads[name]
            values = (spread.mean, spread.low, spread.high)
            mean, low, high = (form.format(v) for v in values)
            cells.append(mean if low == high else f'{mean} [{low}, {high}]')
        lines.append(cells)
    return format_table(lines)


def format_table(lines):
    """Return rows of cells as a Markdown table with aligned columns."""
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    ruled = [lines[0], ['-' * w for w in widths], *lines[1:]]
    return '\n'.join(
        '| '
        + ' | '.join(c.ljust(w) for c, w in zip(row, widths, strict=True))
        + ' |'
        for row in ruled
    )


def to_json(items):
    """Return data classes as JSON text."""
    return json.dumps([dataclasses.asdict(item) for item in items], indent=1)
