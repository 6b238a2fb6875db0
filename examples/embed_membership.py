"""Embed the membership in another program, without the daemons.

Three nodes in one process exchange frames by function calls instead of a network.
Run: ``python examples/embed_membership.py``.
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


class InProcessNetwork:
    """Deliver calls between nodes immediately; a real program uses sockets."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}

    def add(self, member: Member, seed: int) -> None:
        """Add a node for a member."""
        self.nodes[member.address] = Node(member, MembershipSettings(), seed)

    def step(self, address: str, event: NodeEvent) -> None:
        """Pass an event to a node and execute its commands."""
        for command in self.nodes[address].step(event):
            self._execute(address, event.now_ms, command)

    def _execute(self, address: str, now_ms: float, command: NodeCommand) -> None:
        match command:
            case CallPeer():
                self._call(address, now_ms, command)
            case OwnershipChanged(owned):
                print(f'{now_ms:>6.0f} ms: {address} owns {sorted(owned)}')
            case _:
                return

    def _call(self, caller: str, now_ms: float, call: CallPeer) -> None:
        request = PeerCalled(now_ms, call.call_id, call.frame)
        for answer in self.nodes[call.address].step(request):
            if isinstance(answer, AnswerPeer):
                response = PeerAnswered(now_ms, call.call_id, answer.frame)
                self.step(caller, response)


def main() -> None:
    """Let three nodes discover each other and divide nine backend servers."""
    network = InProcessNetwork()
    members = tuple(
        Member(f'vm-{number}', f'node-{number}', 'de', incarnation=1)
        for number in range(3)
    )
    servers = tuple(WatchedServer(f'server-{number}', 'de') for number in range(9))
    for seed, member in enumerate(members):
        network.add(member, seed)
    for member in members:
        others = tuple(other for other in members if other != member)
        network.step(member.address, SeedsListed(0, others))
        network.step(member.address, ServersWatched(0, servers))
    for now_ms in range(0, SPAN_MS, TICK_MS):
        for address in network.nodes:
            network.step(address, Ticked(now_ms))


if __name__ == '__main__':
    main()
