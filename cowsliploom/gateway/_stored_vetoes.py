"""Vetoes against versions in the store, on which writes of move states depend."""

import msgspec

from cowsliploom import platform
from cowsliploom.gateway._background import BackgroundTasks
from cowsliploom.gateway._line_log import LineLog
from cowsliploom.members import StoreMirror, era_of
from cowsliploom.protocol import UnreadableError, decode_json
from cowsliploom.rollout import Veto

VETO_PREFIX = 'vetoes/'  # latest veto against a version of each service
STORE_TIMEOUT_MS = 1000
RETRY_MS = 1000.0  # after a write, until its effect is visible here


class StoredVetoes:
    """Write the vetoes known here to the store, and read those of other VMs.

    A controller's write of a state names the revision of the stored veto that it has
    taken into account. So the store rejects a step that was decided before the veto,
    whatever messages the controller has missed.

    Parameters
    ----------
    store : PlatformStore
        Client of the store.
    mirror : StoreMirror
        Local copy of the store.
    log : LineLog
        Log of the writes.
    """

    def __init__(
        self, store: platform.PlatformStore, mirror: StoreMirror, log: LineLog
    ) -> None:
        self._store = store
        self._mirror = mirror
        self._log = log
        self._read_revisions: dict[str, int] = {}
        self._retry_ms: dict[str, float] = {}
        self._background = BackgroundTasks()

    def expected(self, service: str) -> platform.KeyRevision:
        """Return the stored veto that is taken into account, as a condition."""
        key = f'{VETO_PREFIX}{service}'
        return platform.KeyRevision(key, self._read_revisions.get(service, 0))

    def read(self, service: str) -> Veto | None:
        """Return the stored veto against a version of a service if it is new here."""
        item = self._mirror.get(f'{VETO_PREFIX}{service}')
        known_revision = self._read_revisions.get(service, 0)
        if item is None:
            if era_of(known_revision) < era_of(self._mirror.revision):
                self._read_revisions.pop(service, None)  # a restored store lacks it
            return None
        if item.revision == known_revision:
            return None
        self._read_revisions[service] = item.revision
        try:
            return decode_json(item.content, Veto)
        except UnreadableError as error:
            self._log.write('move', 'unreadable', service=service, reason=error.reason)
            return None

    def record(self, veto: Veto, now_ms: float) -> None:
        """Write a veto unless the store has one against the version already."""
        if now_ms < self._retry_ms.get(veto.service, 0):
            return
        item = self._mirror.get(f'{VETO_PREFIX}{veto.service}')
        if item is not None and _is_against(item.content, veto):
            return
        self._retry_ms[veto.service] = now_ms + RETRY_MS
        revision = 0 if item is None else item.revision
        self._background.start(self._write(veto, revision))

    async def _write(self, veto: Veto, revision: int) -> None:
        key = f'{VETO_PREFIX}{veto.service}'
        write = platform.KeyWrite(key, msgspec.json.encode(veto))
        expected = (platform.KeyRevision(key, revision),)
        outcome = await self._store.write(expected, (write,), STORE_TIMEOUT_MS)
        self._log.write(
            'move',
            'veto stored',
            service=veto.service,
            to_version=veto.to_version,
            outcome=str(outcome),
        )


def _is_against(content: bytes, veto: Veto) -> bool:
    """Return whether a stored veto is against the same version."""
    try:
        stored = decode_json(content, Veto)
    except UnreadableError:
        return False
    return stored.to_version == veto.to_version
