"""Write wales.yaml and semenanjung.yaml: two deployments at production size.

Run ``python examples/make_deployments.py`` from the root of the repository. All
addresses are on loopback, for stand-ins of the backend servers.
"""

import pathlib
from collections.abc import Iterator
from dataclasses import dataclass

EXAMPLES = pathlib.Path(__file__).parent
HOST = '127.0.0.1'
VERSION = 'v1'
HEADING = '# Written by examples/make_deployments.py.\n'


@dataclass(frozen=True, slots=True)
class ServerSize:
    """Capacity limits and connection cost of each backend server of a service."""

    slots: int
    connections_max: int
    connect_cost_ms: int


@dataclass(frozen=True, slots=True)
class ServiceGroup:
    """Declare services with servers of one size.

    ``search`` is the name of the search over them; if empty, none is declared.
    """

    name: str
    services: int
    servers: int
    size: ServerSize
    search: str = ''
    timeout_ms: int = 300
    urgency: int = 5


@dataclass(frozen=True, slots=True)
class Deployment:
    """Declare a deployment whose servers use ports from ``first_port`` upwards."""

    name: str
    data_centres: tuple[str, ...]
    groups: tuple[ServiceGroup, ...]
    first_port: int


SMALL = ServerSize(slots=2, connections_max=25, connect_cost_ms=6)
DESK = ServerSize(slots=6, connections_max=110, connect_cost_ms=1)
ARCHIVE = ServerSize(slots=3, connections_max=40, connect_cost_ms=1)

WALES = Deployment(
    'wales',
    ('gogledd', 'canolbarth', 'de'),
    (
        ServiceGroup('cellar', 20, 2, SMALL, 'cellar-briefing', 300, 9),
        ServiceGroup('membership', 30, 2, SMALL, 'membership', 500, 5),
        ServiceGroup('certificates', 1, 3, DESK, 'certificates', 500, 4),
        ServiceGroup('van-rota', 1, 3, DESK),
    ),
    21_000,
)
SEMENANJUNG = Deployment(
    'semenanjung',
    ('utara', 'selatan', 'timur', 'barat'),
    (
        ServiceGroup('cue', 20, 2, SMALL, 'cue-finder', 300, 9),
        ServiceGroup('ledger', 30, 2, SMALL, 'ledger-bridge', 800, 3),
        ServiceGroup('licensing-records', 1, 5, ARCHIVE, 'licensing-records', 500, 5),
        ServiceGroup('upload-intake', 1, 4, ARCHIVE),
    ),
    23_000,
)


def name_services(group: ServiceGroup) -> tuple[str, ...]:
    """Return the names of a group's services."""
    if group.services == 1:
        return (group.name,)
    return tuple(f'{group.name}-{number:02}' for number in range(1, group.services + 1))


def render_service(
    service: str, group: ServiceGroup, data_centres: tuple[str, ...], first_port: int
) -> Iterator[str]:
    """Yield the lines of one service, its servers spread over data centres."""
    yield f'---\nkind: service\nname: {service}\nspec:'
    yield f'  slots: {group.size.slots}'
    yield f'  connections_max: {group.size.connections_max}'
    yield f'  connect_cost_ms: {group.size.connect_cost_ms}'
    yield '  servers:'
    for number in range(group.servers):
        port = first_port + number
        data_centre = data_centres[port % len(data_centres)]
        fields = (
            f'name: {service}-{number + 1}',
            f"address: '{HOST}:{port}'",
            f'data_centre: {data_centre}',
            f'version: {VERSION}',
        )
        yield '  - {{{0}}}'.format(', '.join(fields))


def render_search(group: ServiceGroup) -> Iterator[str]:
    """Yield the lines of the search over a group."""
    yield f'---\nkind: search\nname: {group.search}\nspec:'
    yield f'  timeout_ms: {group.timeout_ms}'
    yield f'  urgency: {group.urgency}'
    yield '  services:'
    for service in name_services(group):
        yield f'  - {service}'


def render_deployment(deployment: Deployment) -> str:
    """Return the YAML documents of a deployment."""
    lines = []
    for data_centre in deployment.data_centres:
        lines.append(f'---\nkind: datacentre\nname: {data_centre}\nspec: {{state: in}}')
    port = deployment.first_port
    for group in deployment.groups:
        for service in name_services(group):
            lines.extend(render_service(service, group, deployment.data_centres, port))
            port += group.servers
        if group.search:
            lines.extend(render_search(group))
    return HEADING + '\n'.join((*lines, ''))


def main() -> None:
    """Write both files to the folder of this script."""
    for deployment in (WALES, SEMENANJUNG):
        path = EXAMPLES / f'{deployment.name}.yaml'
        path.write_text(render_deployment(deployment))


if __name__ == '__main__':
    main()
