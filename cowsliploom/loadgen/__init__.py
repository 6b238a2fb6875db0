"""Open-loop load generator that checks answers against run logs."""

from cowsliploom.loadgen._arrivals import ArrivalPlan as ArrivalPlan
from cowsliploom.loadgen._arrivals import MixPart as MixPart
from cowsliploom.loadgen._arrivals import RequestKind as RequestKind
from cowsliploom.loadgen._caller import CallerSettings as CallerSettings
from cowsliploom.loadgen._compare import Comparison as Comparison
from cowsliploom.loadgen._compare import compare as compare
from cowsliploom.loadgen._measure import Target as Target
from cowsliploom.loadgen._measure import measure as measure
from cowsliploom.loadgen._recount import RecountResult as RecountResult
from cowsliploom.loadgen._results import LoadResult as LoadResult
from cowsliploom.loadgen._table import render_ratios as render_ratios
from cowsliploom.loadgen._table import render_table as render_table
