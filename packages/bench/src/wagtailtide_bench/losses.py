"""Breakdown of the score that a benchmark day lost, by cause.

Reads the report that fleetbench, the users' benchmark, writes with `--report`.
The report calls a score ``worth``, its components ``parts``, deductions
``prices``, and counts requests that were not due an answer as ``not_owed``.
"""

import dataclasses
import json
import pathlib
from typing import Annotated

import cappa

# Smaller losses are left out: fleetbench rounds the score of a day to twice
# this value.
MIN_LOSS = 0.0005


@dataclasses.dataclass(frozen=True, slots=True)
class Loss:
    """Part of the score that was lost to one cause.

    Attributes:
        cause: Component that scored less than 1, or a deduction.
        lost_score: Part of the score of the day, which is 1 at most.
    """

    cause: str
    lost_score: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClassResult:
    """Outcome of the requests of one class.

    Attributes:
        name: Name of the class.
        due: Number of requests that were due an answer.
        late: Number of requests that were answered late or with a pause.
        refused: Number of requests that were refused in the end.
        failed: Number of requests that failed.
        score: Share of its possible score that the class earned.
    """

    name: str
    due: int
    late: int
    refused: int
    failed: int
    score: float


class InvalidReport(Exception):
    """A file is not the report of a benchmark day."""


def losses(report):
    """Return the Losses of a report that are at least MIN_LOSS, largest first.

    Args:
        report: The report as read from JSON.

    Raises:
        InvalidReport: A field is missing or of another type.
    """
    try:
        rows = [
            Loss(f'not earned, {name}', weight * (1.0 - value))
            for name, weight, value in report['parts']
        ]
        rows += [
            Loss(name, deduction) for name, _, deduction in report['prices']
        ]
    except (KeyError, TypeError, ValueError) as exc:
        raise InvalidReport(
            "expected 'parts' and 'prices', each a list of [name, number, "
            f'number]; got {exc!r}; write the report with --report of '
            'fleetbench'
        ) from exc
    rows.sort(key=lambda row: (-row.lost_score, row.cause))
    return [row for row in rows if row.lost_score >= MIN_LOSS]


def class_results(report):
    """Return the ClassResults of a report, most due requests first.

    Args:
        report: The report as read from JSON.

    Raises:
        InvalidReport: A field is missing or of another type.
    """
    try:
        rows = [
            ClassResult(
                row['name'],
                row['n'] - row['not_owed'],
                row['late'],
                row['refused'],
                row['failed'],
                row['worth'],
            )
            for row in report['classes']
        ]
    except (KeyError, TypeError) as exc:
        raise InvalidReport(
            "expected 'classes' with a name, counts and a worth each; got "
            f'{exc!r}; write the report with --report of fleetbench'
        ) from exc
    return sorted(rows, key=lambda row: -row.due)


def format_losses(report):
    """Return the losses and class results of a report as lines of text.

    Args:
        report: The report as read from JSON.

    Raises:
        InvalidReport: A field is missing or of another type.
    """
    listed = losses(report)
    total = sum(row.lost_score for row in listed)
    lines = [f'lost score: {total:.3f}']
    lines += [f'  {row.lost_score:.4f}  {row.cause}' for row in listed]
    lines.append('class                    due   late refused failed  score')
    lines += [
        f'{row.name:<22} {row.due:>5} {row.late:>6} {row.refused:>7} '
        f'{row.failed:>6}  {row.score:.3f}'
        for row in class_results(report)
    ]
    return lines


@cappa.command(name='losses')
@dataclasses.dataclass
class Arguments:
    """Print by cause how much score a benchmark day lost.

    Attributes:
        report: File that fleetbench wrote with `--report`.
    """

    report: Annotated[pathlib.Path, cappa.Arg()]


def main():
    """Print the losses and class results of a report."""
    args = cappa.parse(Arguments)
    try:
        report = json.loads(args.report.read_text(encoding='utf-8'))
        lines = format_losses(report)
    except (OSError, ValueError, InvalidReport) as exc:
        raise SystemExit(f'{args.report}: {exc}') from exc
    print('\n'.join(lines))


if __name__ == '__main__':
    main()
