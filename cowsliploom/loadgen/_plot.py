"""Plot of latency by percentile."""

import math
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pygal

from cowsliploom.loadgen._results import LoadResult, PercentilePoint

PERCENT = 100
LAST_PERCENTILE = 99.95  # where the maximum is drawn, as its own place is infinite
AXIS_PERCENTILES = (10.0, 50.0, 90.0, 99.0, 99.9)

# pygal registers an import finder of the old protocol, which stops pytest from
# importing further modules; it serves map plug-ins, and there are none here.
sys.meta_path = [finder for finder in sys.meta_path if hasattr(finder, 'find_spec')]


@dataclass(frozen=True, slots=True)
class Curve:
    """Hold one line of the plot."""

    label: str
    points: tuple[PercentilePoint, ...]


def axis_place(percentile: float) -> float:
    """Return where a percentile is drawn: each further nine is one step right.

    Examples
    --------
    >>> round(axis_place(99.0), 6)
    2.0
    """
    shown = min(percentile, LAST_PERCENTILE)
    return -math.log10(1 - shown / PERCENT)


def render_plot(title: str, curves: Sequence[Curve]) -> bytes:
    """Return an SVG of latency by percentile."""
    chart = pygal.XY(
        title=title,
        x_title='percentile',
        y_title='latency, ms',
        legend_at_bottom=True,
        js=[],
        include_x_axis=True,
    )
    chart.x_labels = [
        {'label': f'p{percentile:g}', 'value': axis_place(percentile)}
        for percentile in AXIS_PERCENTILES
    ]
    for curve in curves:
        places = [
            (axis_place(point.percentile), point.latency_ms) for point in curve.points
        ]
        chart.add(curve.label, places)
    return bytes(chart.render())


def write_plot(path: Path, title: str, curves: Sequence[Curve]) -> None:
    """Write the SVG to a file."""
    path.write_bytes(render_plot(title, curves))


def curves_of(loads: Sequence[LoadResult]) -> tuple[Curve, ...]:
    """Return a line for each search kind and booking of each run."""
    return tuple(
        Curve(f'{load.label}: {work.kind} {work.name}', work.latency.curve)
        for load in loads
        for work in load.works
        if work.answered
    )
