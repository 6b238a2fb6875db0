"""Facts on version moves that daemons tell each other."""

from collections.abc import Callable, Iterable

from cowsliploom.gateway._peer_wire import Fact


class FactBook:
    """Keep the facts that everybody is to know, and hand on all that are heard.

    Attributes
    ----------
    lasting_prefix : str
        Beginning of the keys of facts that are told on.
    on_fact : callable or None
        Hears of each fact.
    """

    lasting_prefix = 'veto/'

    def __init__(self) -> None:
        self.on_fact: Callable[[Fact], None] | None = None
        self._kept: dict[str, Fact] = {}

    def keep(self, fact: Fact) -> bool:
        """Keep a fact to be told on; tell whether it is new."""
        is_new = fact.key not in self._kept
        self._kept[fact.key] = fact
        return is_new

    def kept(self) -> tuple[Fact, ...]:
        """Return the facts that are told on."""
        return tuple(self._kept.values())

    def take(self, facts: Iterable[Fact]) -> bool:
        """Take what a peer tells; tell whether a lasting fact is new."""
        has_news = False
        for fact in facts:
            is_lasting = fact.key.startswith(self.lasting_prefix)
            if is_lasting and not self.keep(fact):
                continue
            has_news = has_news or is_lasting
            if self.on_fact is not None:
                self.on_fact(fact)
        return has_news

    def forget_unless(self, is_wanted: Callable[[Fact], bool]) -> None:
        """Forget the facts that aren't wanted any more."""
        self._kept = {key: fact for key, fact in self._kept.items() if is_wanted(fact)}
