"""A small version of the Welsh deployment: stand-in settings and resources."""

import json
from dataclasses import dataclass
from typing import Any

Document = dict[str, Any]

DATA_CENTRES = ('gogledd', 'canolbarth', 'de')
DOCS_PER_SERVICE = 1000
SNAPSHOT = 7


@dataclass(frozen=True)
class Shape:
    """Number of services and backend servers, and their settings."""

    services: int = 20
    servers_each: int = 2
    latency_ms: float = 5
    rota_servers: int = 3
    cold_start: bool = False

    def cellar(self) -> list[Document]:
        """Return the settings of the cellar briefing's backend servers."""
        total = self.services * DOCS_PER_SERVICE
        return [
            {
                'server': f'cellar-{service:02}-{replica}',
                'service': f'cellar-{service:02}',
                'slots': 2,
                'connections_max': 25,
                'connect_cost_ms': 6,
                'latency_ms': self.latency_ms,
                'seed': service * 10 + replica,
                'cold_start': self.cold_start,
                'snapshots': [
                    {
                        'snapshot': SNAPSHOT,
                        'service': f'cellar-{service:02}',
                        'ranges': [
                            {
                                'first': service * DOCS_PER_SERVICE,
                                'end': (service + 1) * DOCS_PER_SERVICE,
                            }
                        ],
                        'total_docs': total,
                    }
                ],
            }
            for service in range(self.services)
            for replica in range(self.servers_each)
        ]

    def rota(self) -> list[Document]:
        """Return the settings of the van rota's backend servers."""
        return [
            {
                'server': f'rota-{replica}',
                'service': 'rota',
                'slots': 6,
                'connections_max': 110,
                'connect_cost_ms': 1,
                'latency_ms': self.latency_ms,
                'seed': 1000 + replica,
                'snapshots': [],
            }
            for replica in range(self.rota_servers)
        ]

    def resources(self, addresses: dict[str, str]) -> list[Document]:
        """Return the resource documents, with the stand-ins' addresses."""
        documents: list[Document] = [
            {'kind': 'datacentre', 'name': each, 'spec': {'state': 'in'}}
            for each in DATA_CENTRES
        ]
        services: dict[str, list[Document]] = {}
        for settings in (*self.cellar(), *self.rota()):
            services.setdefault(settings['service'], []).append(settings)
        for name, servers in services.items():
            documents.append(_service(name, servers, addresses))
        cellar = [key for key in services if key.startswith('cellar')]
        documents.append(
            {
                'kind': 'search',
                'name': 'cellar-briefing',
                'spec': {
                    'services': cellar,
                    'timeout_ms': 1000,
                    'urgency': 8,
                    'hits_max': 10,
                },
            }
        )
        return documents


def _service(name: str, servers: list[Document], addresses: dict[str, str]) -> Document:
    return {
        'kind': 'service',
        'name': name,
        'spec': {
            'servers': [
                {
                    'name': server['server'],
                    'address': addresses[server['server']],
                    'data_centre': DATA_CENTRES[place % len(DATA_CENTRES)],
                    'version': 'v1',
                }
                for place, server in enumerate(servers)
            ],
            'slots': servers[0]['slots'],
            'connections_max': servers[0]['connections_max'],
            'connect_cost_ms': servers[0]['connect_cost_ms'],
        },
    }


def encode_json(documents: object) -> str:
    """Return documents as JSON text."""
    return json.dumps(documents)
