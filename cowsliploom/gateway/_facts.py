"""Facts on version moves that entry VMs exchange."""

from collections.abc import Callable, Iterable

from cowsliploom.gateway._peer_wire import Fact


class FactRegistry:
    """Keep the persistent facts, and report each received fact.

    Attributes
    ----------
    persistent_prefix : str
        Prefix of the keys of facts that are kept and sent with every message.
    on_fact : callable or None
        Called with each received fact, except persistent ones that are known.
    """

    persistent_prefix = 'veto/'

    def __init__(self) -> None:
        self.on_fact: Callable[[Fact], None] | None = None
        self._persistent: dict[str, Fact] = {}

    def add(self, fact: Fact) -> bool:
        """Add a persistent fact; return whether its key is new."""
        is_new = fact.key not in self._persistent
        self._persistent[fact.key] = fact
        return is_new

    def persistent(self) -> tuple[Fact, ...]:
        """Return the persistent facts."""
        return tuple(self._persistent.values())

    def receive(self, facts: Iterable[Fact]) -> bool:
        """Handle a peer's facts; return whether a persistent one is new."""
        has_new = False
        for fact in facts:
            is_persistent = fact.key.startswith(self.persistent_prefix)
            if is_persistent and not self.add(fact):
                continue
            has_new = has_new or is_persistent
            if self.on_fact is not None:
                self.on_fact(fact)
        return has_new

    def retain(self, is_wanted: Callable[[Fact], bool]) -> None:
        """Remove the persistent facts for which the predicate is false."""
        self._persistent = {
            key: fact for key, fact in self._persistent.items() if is_wanted(fact)
        }
