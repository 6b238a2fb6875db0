"""The entry daemon of the users' platform: request forwarding and background tasks."""

from cowsliploom.gateway._daemon import EntryDaemon as EntryDaemon
from cowsliploom.gateway._line_log import LineLog as LineLog
