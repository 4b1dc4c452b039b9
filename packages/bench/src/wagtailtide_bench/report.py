"""Format results as tables or JSON."""

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
    """Return a table of the Rows, with the range over seeds in brackets."""
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
        for name, _, template in _COLUMNS:
            spread = row.spreads[name]
            values = (spread.mean, spread.low, spread.high)
            mean, low, high = (template.format(value) for value in values)
            cells.append(mean if low == high else f'{mean} [{low}, {high}]')
        lines.append(cells)
    return format_table(lines)


def format_table(lines):
    """Return a Markdown table with aligned columns.

    Args:
        lines: Rows of cells; the first is the heading.
    """
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    with_rule = [lines[0], ['-' * width for width in widths], *lines[1:]]
    return '\n'.join(
        '| '
        + ' | '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        )
        + ' |'
        for row in with_rule
    )


def to_json(items):
    """Return a list of data class instances as JSON text."""
    return json.dumps([dataclasses.asdict(item) for item in items], indent=1)
