"""Generate the inputs of one demo deployment.

``servers`` prints the settings of the backend server stand-ins; ``resources``
prints the resource documents; ``vms`` registers the entry VMs with the platform.
The last two take addresses from the ready lines of the started programs.
"""

import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import msgspec
import urllib3

from cowsliploom.protocol import DocRange, SnapshotInfo, VmInfo, VmList
from cowsliploom.standins import ServerSettings

DOCS_PER_SERVICE = 1000
SNAPSHOT = 1
TIMEOUT_S = 5


@dataclass(frozen=True, slots=True)
class Group:
    """Describe services of one size; those of a search hold shards of its index."""

    name: str
    services: int
    servers: int
    slots: int
    connections_max: int
    connect_cost_ms: float
    search: str = ''


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describe a small deployment."""

    data_centres: tuple[str, ...]
    groups: tuple[Group, ...]


DEPLOYMENTS = {
    'wales': Deployment(
        ('gogledd', 'canolbarth', 'de'),
        (
            Group('cellar', 20, 2, 2, 25, 6, 'cellar-briefing'),
            Group('van-rota', 1, 3, 6, 110, 1),
        ),
    ),
    'semenanjung': Deployment(
        ('utara', 'timur', 'barat', 'selatan'),
        (
            Group('cue', 20, 2, 2, 25, 6, 'cue-finder'),
            Group('upload-intake', 1, 4, 3, 40, 1),
        ),
    ),
}


def name_services(group: Group) -> list[str]:
    """Return the names of a group's services."""
    if group.services == 1:
        return [group.name]
    return [f'{group.name}-{number:02}' for number in range(group.services)]


def make_servers(group: Group) -> Iterator[ServerSettings]:
    """Yield the settings of a group's backend servers."""
    total_docs = group.services * DOCS_PER_SERVICE
    for index, service in enumerate(name_services(group)):
        first = index * DOCS_PER_SERVICE
        shard = DocRange(first, first + DOCS_PER_SERVICE)
        snapshot = SnapshotInfo(SNAPSHOT, service, (shard,), total_docs)
        for replica in range(group.servers):
            yield ServerSettings(
                f'{service}-{replica}',
                service,
                slots=group.slots,
                connections_max=group.connections_max,
                connect_cost_ms=group.connect_cost_ms,
                snapshots=(snapshot,) if group.search else (),
                seed=index * group.servers + replica,
            )


def print_servers(deployment: Deployment, host: int, hosts: int) -> None:
    """Print the settings of the backend servers in one host process."""
    settings = [each for group in deployment.groups for each in make_servers(group)]
    print(msgspec.json.encode(settings[host::hosts]).decode())


def make_resources(
    deployment: Deployment, addresses: dict[str, str]
) -> Iterator[dict[str, object]]:
    """Yield the resource documents."""
    for name in deployment.data_centres:
        yield {'kind': 'datacentre', 'name': name, 'spec': {'state': 'in'}}
    for group in deployment.groups:
        yield from make_services(deployment, group, addresses)
        if group.search:
            spec = {
                'services': name_services(group),
                'timeout_ms': 300,
                'urgency': 8,
                'hits_max': 5,
            }
            yield {'kind': 'search', 'name': group.search, 'spec': spec}


def make_services(
    deployment: Deployment, group: Group, addresses: dict[str, str]
) -> Iterator[dict[str, object]]:
    """Yield the documents of a group's services."""
    settings = list(make_servers(group))
    for service in name_services(group):
        servers = [
            {
                'name': each.server,
                'address': addresses[each.server],
                'data_centre': deployment.data_centres[
                    index % len(deployment.data_centres)
                ],
                'version': each.version,
            }
            for index, each in enumerate(settings)
            if each.service == service
        ]
        yield {
            'kind': 'service',
            'name': service,
            'spec': {
                'servers': servers,
                'slots': group.slots,
                'connections_max': group.connections_max,
                'connect_cost_ms': group.connect_cost_ms,
            },
        }


def read_ready_line(path: str) -> dict[str, object]:
    """Return the ready line that a program printed."""
    return msgspec.json.decode(Path(path).read_bytes(), type=dict[str, object])


def read_addresses(paths: list[str]) -> dict[str, str]:
    """Return the backend servers' addresses by name."""
    addresses: dict[str, str] = {}
    for path in paths:
        servers = msgspec.convert(
            read_ready_line(path)['servers'], list[dict[str, str]]
        )
        addresses.update({server['name']: server['address'] for server in servers})
    return addresses


def register_vms(deployment: Deployment, platform: str, entries: list[str]) -> None:
    """Register the entry VMs with the platform."""
    vms = tuple(
        VmInfo(
            Path(path).stem,
            'entry',
            str(read_ready_line(path)['peer']),
            deployment.data_centres[index % len(deployment.data_centres)],
        )
        for index, path in enumerate(entries)
    )
    urllib3.request(
        'PUT',
        f'http://{platform}/admin/vms',
        body=msgspec.json.encode(VmList(vms, 0)),
        timeout=TIMEOUT_S,
    )


def main() -> None:
    """Run the step given on the command line."""
    step, name, *arguments = sys.argv[1:]
    deployment = DEPLOYMENTS[name]
    match step:
        case 'servers':
            print_servers(deployment, int(arguments[0]), int(arguments[1]))
        case 'resources':
            documents = list(make_resources(deployment, read_addresses(arguments)))
            print(msgspec.json.encode(documents).decode())
        case 'vms':
            register_vms(deployment, arguments[0], arguments[1:])


if __name__ == '__main__':
    main()
