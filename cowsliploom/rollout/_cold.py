"""How long calls to cold servers are counted separately."""

import math
from dataclasses import dataclass, replace

COLD_EXEMPTION_MS = 60_000  # a server cold for longer counts as a warm one


@dataclass(frozen=True, slots=True)
class _ColdSpell:
    started_ms: float
    latest_ms: float = -math.inf


class ColdServers:
    """Track for which cold servers calls are still exempt.

    Notes
    -----
    A cold spell ends once the server was not cold for the length of an
    exemption, so servers that turn cold again and again use up their exemption.
    """

    def __init__(self) -> None:
        self._spells: dict[str, _ColdSpell] = {}

    def is_exempt(self, now_ms: float, server: str) -> bool:
        """Return whether a call to a cold server is counted separately."""
        spell = self._spells.get(server)
        if spell is None or now_ms > spell.latest_ms + COLD_EXEMPTION_MS:
            spell = _ColdSpell(started_ms=now_ms)
        self._spells[server] = replace(spell, latest_ms=now_ms)
        return now_ms < spell.started_ms + COLD_EXEMPTION_MS
