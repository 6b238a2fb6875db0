"""The entry daemon on the users' platform: wiring of the data path and its tasks."""

from cowsliploom.gateway._daemon import EntryDaemon as EntryDaemon
from cowsliploom.gateway._line_log import LineLog as LineLog
