"""Which calls to cold servers are set apart, and for how long."""

import math
from dataclasses import dataclass, replace

COLD_EXCUSE_MS = 60_000  # a server that stays cold longer counts like a warm one


@dataclass(frozen=True, slots=True)
class _ColdSpell:
    started_ms: float
    latest_ms: float = -math.inf


class ColdServers:
    """Tell for each cold server whether being cold still excuses it.

    Notes
    -----
    A spell ends when the server was not cold for as long as a spell may last, so
    a version whose servers turn cold again and again runs out of excuses.
    """

    def __init__(self) -> None:
        self._spells: dict[str, _ColdSpell] = {}

    def is_excused(self, now_ms: float, server: str) -> bool:
        """Tell whether a call to a cold server is set apart."""
        spell = self._spells.get(server)
        if spell is None or now_ms > spell.latest_ms + COLD_EXCUSE_MS:
            spell = _ColdSpell(started_ms=now_ms)
        self._spells[server] = replace(spell, latest_ms=now_ms)
        return now_ms < spell.started_ms + COLD_EXCUSE_MS
