"""Plot of latency by percentile."""

import math
import sys
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import pygal

from cowsliploom.loadgen._results import LoadResult, PercentilePoint

PERCENT = 100
LAST_PERCENTILE = 99.95  # position of the maximum, as that of p100 is infinite
AXIS_PERCENTILES = (10.0, 50.0, 90.0, 99.0, 99.9)

# pygal registers an import finder without `find_spec`, which makes later imports
# by pytest fail. It only loads map plug-ins, which are not used here.
sys.meta_path = [finder for finder in sys.meta_path if hasattr(finder, 'find_spec')]


@dataclass(frozen=True, slots=True)
class Curve:
    """Line of the plot."""

    label: str
    points: tuple[PercentilePoint, ...]


def axis_position(percentile: float) -> float:
    """Return the x position of a percentile; each further nine adds 1.

    Examples
    --------
    >>> round(axis_position(99.0), 6)
    2.0
    """
    shown = min(percentile, LAST_PERCENTILE)
    return -math.log10(1 - shown / PERCENT)


def render_plot(title: str, curves: Sequence[Curve]) -> bytes:
    """Return an SVG plot of latency by percentile."""
    chart = pygal.XY(
        title=title,
        x_title='percentile',
        y_title='latency, ms',
        legend_at_bottom=True,
        js=[],
        include_x_axis=True,
    )
    chart.x_labels = [
        {'label': f'p{percentile:g}', 'value': axis_position(percentile)}
        for percentile in AXIS_PERCENTILES
    ]
    for curve in curves:
        positions = [
            (axis_position(point.percentile), point.latency_ms)
            for point in curve.points
        ]
        chart.add(curve.label, positions)
    return bytes(chart.render())


def write_plot(path: Path, title: str, curves: Sequence[Curve]) -> None:
    """Write the SVG plot to a file."""
    path.write_bytes(render_plot(title, curves))


def curves_of(loads: Sequence[LoadResult]) -> tuple[Curve, ...]:
    """Return a curve for each kind of request of each run that was answered."""
    return tuple(
        Curve(f'{load.label}: {work.kind} {work.name}', work.latency.curve)
        for load in loads
        for work in load.works
        if work.answered
    )
