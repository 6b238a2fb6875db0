"""Random faults injected into the servers of a loop."""

from cowsliploom.protocol import ServerState

FAULTS = (
    'dead',
    'failing',
    'silent',
    'cold',
    'leaving',
    'slow',
    'reset',
    'index',
)


def inject_random_fault(loop, rng):
    """Inject a random fault into one server for a short time."""
    server = rng.choice(list(loop.servers.values()))
    fault = rng.choice(
        ('dead', 'failing', 'silent', 'cold', 'leaving', 'slow', 'reset')
    )
    server.is_dead = fault == 'dead'
    server.is_failing = fault == 'failing'
    server.is_resetting = fault == 'reset'
    server.slowdown = 30 if fault == 'slow' else 1
    if fault == 'silent':
        server.silent_to = {id(entry) for entry in loop.entries}
    if fault == 'cold':
        server.turn_cold(f'i{loop.now_ms:.0f}')
    if fault == 'index':
        server.snapshots = (max(server.snapshots) + 1,)
    if fault == 'leaving':
        server.state = ServerState.LEAVING
    loop.at(loop.now_ms + 150, clear_faults, server)
    loop.at(loop.now_ms + 60, inject_random_fault, loop, rng)


def clear_faults(server):
    server.is_dead = False
    server.is_failing = False
    server.is_resetting = False
    server.slowdown = 1
    server.silent_to.clear()
    server.snapshots = (1,)
    if server.state is ServerState.LEAVING:
        server.turn_cold(f'{server.incarnation}+')
