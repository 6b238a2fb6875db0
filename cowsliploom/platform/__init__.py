"""Adapters to the platform's names, formats and calls, without any decisions."""

from cowsliploom.platform._document_checks import DocumentError as DocumentError
from cowsliploom.platform._documents import CONFIGURATION_KEY as CONFIGURATION_KEY
from cowsliploom.platform._documents import EVACUATION_PREFIX as EVACUATION_PREFIX
from cowsliploom.platform._documents import MOVE_PREFIX as MOVE_PREFIX
from cowsliploom.platform._documents import decode_configuration as decode_configuration
from cowsliploom.platform._documents import decode_move_order as decode_move_order
from cowsliploom.platform._documents import (
    evacuated_data_centres as evacuated_data_centres,
)
from cowsliploom.platform._headers import WireReply as WireReply
from cowsliploom.platform._headers import answer_origin as answer_origin
from cowsliploom.platform._headers import read_answer as read_answer
from cowsliploom.platform._headers import read_request as read_request
from cowsliploom.platform._headers import read_request_id as read_request_id
from cowsliploom.platform._headers import render_call as render_call
from cowsliploom.platform._headers import render_call_head as render_call_head
from cowsliploom.platform._headers import render_error as render_error
from cowsliploom.platform._headers import render_forwarded as render_forwarded
from cowsliploom.platform._headers import render_merged as render_merged
from cowsliploom.platform._notices import NOTICE_HEADERS as NOTICE_HEADERS
from cowsliploom.platform._notices import read_notice as read_notice
from cowsliploom.platform._registrations import SERVER_PREFIX as SERVER_PREFIX
from cowsliploom.platform._registrations import decode_server as decode_server
from cowsliploom.platform._settings import SETTINGS_VARIABLE as SETTINGS_VARIABLE
from cowsliploom.platform._settings import MachineSettings as MachineSettings
from cowsliploom.platform._settings import SettingsError as SettingsError
from cowsliploom.platform._settings import read_settings as read_settings
from cowsliploom.platform._store import ChangedMeanwhile as ChangedMeanwhile
from cowsliploom.platform._store import HistoryGone as HistoryGone
from cowsliploom.platform._store import KeyRevision as KeyRevision
from cowsliploom.platform._store import KeyWrite as KeyWrite
from cowsliploom.platform._store import Lease as Lease
from cowsliploom.platform._store import NoLease as NoLease
from cowsliploom.platform._store import PlatformStore as PlatformStore
from cowsliploom.platform._store import StoreUnanswered as StoreUnanswered
from cowsliploom.platform._store import Written as Written
from cowsliploom.platform._usage_reports import UsageReport as UsageReport
from cowsliploom.platform._usage_reports import UsageReports as UsageReports
