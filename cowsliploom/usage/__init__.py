"""Metering of what workspaces use, and the duty to report it once; sans-IO."""

from cowsliploom.usage._counts import LocalUsage as LocalUsage
from cowsliploom.usage._counts import UsageEntry as UsageEntry
from cowsliploom.usage._counts import UsageLedger as UsageLedger
from cowsliploom.usage._duty import AcquireDuty as AcquireDuty
from cowsliploom.usage._duty import CallFailed as CallFailed
from cowsliploom.usage._duty import DutyCommand as DutyCommand
from cowsliploom.usage._duty import DutyEvent as DutyEvent
from cowsliploom.usage._duty import DutyRecord as DutyRecord
from cowsliploom.usage._duty import DutyTick as DutyTick
from cowsliploom.usage._duty import DutyWritten as DutyWritten
from cowsliploom.usage._duty import FreezeWindow as FreezeWindow
from cowsliploom.usage._duty import LeaseEnded as LeaseEnded
from cowsliploom.usage._duty import LeaseKept as LeaseKept
from cowsliploom.usage._duty import RenewLease as RenewLease
from cowsliploom.usage._duty import ReportAccepted as ReportAccepted
from cowsliploom.usage._duty import SendReport as SendReport
from cowsliploom.usage._duty import StoredDuty as StoredDuty
from cowsliploom.usage._duty import UsageDuty as UsageDuty
from cowsliploom.usage._duty import WriteRefused as WriteRefused
from cowsliploom.usage._rules import UsageRules as UsageRules
from cowsliploom.usage._true_time import TrueTime as TrueTime
