"""Embed the membership in a program of your own, without the daemons.

Three processes' worth of ``Node`` talk through a plain function call in place of a
network. Run: ``python examples/embed_membership.py``.
"""

from cowsliploom.coordination import (
    AnswerPeer,
    CallPeer,
    Member,
    MembershipSettings,
    Node,
    NodeCommand,
    NodeEvent,
    OwnershipChanged,
    PeerAnswered,
    PeerCalled,
    SeedsListed,
    ServersWatched,
    Ticked,
    WatchedServer,
)

SPAN_MS = 15_000
TICK_MS = 100


class Switchboard:
    """Carry calls between nodes at once; a real program owns sockets instead."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}

    def add(self, member: Member, seed: int) -> None:
        """Start a node."""
        self.nodes[member.address] = Node(member, MembershipSettings(), seed)

    def step(self, address: str, event: NodeEvent) -> None:
        """Step a node and carry out its commands."""
        for command in self.nodes[address].step(event):
            self._carry_out(address, event.now_ms, command)

    def _carry_out(self, address: str, now_ms: float, command: NodeCommand) -> None:
        match command:
            case CallPeer():
                self._call(address, now_ms, command)
            case OwnershipChanged(owned):
                print(f'{now_ms:>6.0f} ms: {address} owns {sorted(owned)}')
            case _:
                return

    def _call(self, caller: str, now_ms: float, call: CallPeer) -> None:
        asked = PeerCalled(now_ms, call.call_id, call.frame)
        for answer in self.nodes[call.address].step(asked):
            if isinstance(answer, AnswerPeer):
                answered = PeerAnswered(now_ms, call.call_id, answer.frame)
                self.step(caller, answered)


def main() -> None:
    """Let three nodes find each other and share nine backend servers."""
    switchboard = Switchboard()
    members = tuple(
        Member(f'vm-{number}', f'node-{number}', 'de', incarnation=1)
        for number in range(3)
    )
    servers = tuple(WatchedServer(f'server-{number}', 'de') for number in range(9))
    for seed, member in enumerate(members):
        switchboard.add(member, seed)
    for member in members:
        others = tuple(other for other in members if other != member)
        switchboard.step(member.address, SeedsListed(0, others))
        switchboard.step(member.address, ServersWatched(0, servers))
    for now_ms in range(0, SPAN_MS, TICK_MS):
        for address in switchboard.nodes:
            switchboard.step(address, Ticked(now_ms))


if __name__ == '__main__':
    main()
