"""Configurations, health reports and replies for the routing tests."""

from typing import Any

from cowsliploom.protocol import (
    DocRange,
    HealthReport,
    Hit,
    SearchCall,
    SearchReply,
    ServerState,
    SnapshotInfo,
)
from cowsliploom.resources import (
    Configuration,
    DataCentreSpec,
    DataCentreState,
    Kind,
    Resource,
    SearchSpec,
    ServerSpec,
    ServiceSpec,
)
from cowsliploom.routing import ConfigurationApplied, HealthReported

DOCS = 100  # documents in the shard of each service
DATA_CENTRES = ('gogledd', 'canolbarth', 'de')


def service_name(index):
    return f's{index}'


def server_name(index, replica):
    return f's{index}r{replica}'


def make_configuration(
    services=3, replicas=2, slots=2, revision=1, out=(), versions=('v1',), urgency=5
):
    resources = [
        Resource(
            Kind.DATA_CENTRE,
            name,
            DataCentreSpec(DataCentreState.OUT if name in out else DataCentreState.IN),
        )
        for name in DATA_CENTRES
    ]
    names = tuple(service_name(index) for index in range(services))
    for index, name in enumerate(names):
        servers = tuple(
            ServerSpec(
                server_name(index, replica),
                f'127.0.0.1:{7000 + index * 10 + replica}',
                DATA_CENTRES[replica % 3],
                versions[replica % len(versions)],
            )
            for replica in range(replicas)
        )
        spec = ServiceSpec(servers, slots, 25, 6.0)
        resources.append(Resource(Kind.SERVICE, name, spec))
    for kind, level in (('briefing', urgency), ('urgent', 9), ('idle', 1)):
        resources.append(
            Resource(Kind.SEARCH, kind, SearchSpec(names, 200.0, level, 5))
        )
    return Configuration(revision, tuple(resources))


def shard_range(index):
    return DocRange(index * DOCS, (index + 1) * DOCS)


def make_health(
    index,
    replica,
    services=3,
    snapshots=(1,),
    state=ServerState.LIVE,
    incarnation='i1',
    version='v1',
):
    infos = tuple(
        SnapshotInfo(
            number, service_name(index), (shard_range(index),), services * DOCS
        )
        for number in snapshots
    )
    return HealthReport(
        server_name(index, replica),
        service_name(index),
        incarnation,
        version,
        state,
        infos,
    )


def make_reply(
    call: SearchCall,
    state=ServerState.LIVE,
    incarnation='i1',
    version='v1',
    score=1.0,
    **fields,
):
    index = int(call.service[1:])
    span = shard_range(index)
    values = {
        'request_id': call.request_id,
        'service': call.service,
        'snapshot': call.snapshot,
        'ranges': (span,),
        'hits': (Hit(span.first, score, 'found'),),
        'version': version,
        'incarnation': incarnation,
        'state': state,
    }
    return SearchReply(**{**values, **fields})


def start(
    router: Any,
    services: int = 3,
    replicas: int = 2,
    snapshots: Any = (1,),
    **options: Any,
) -> Any:
    """Pass a router its configuration and a health report of each server."""
    configuration = make_configuration(services, replicas, **options)
    router.step(ConfigurationApplied(1.0, configuration))
    for index in range(services):
        for replica in range(replicas):
            report = make_health(index, replica, services, snapshots)
            router.step(HealthReported(1.0, report.server, report))
    return router
