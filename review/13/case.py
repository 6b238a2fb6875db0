"""A leaving backend, one of whose earlier reports the store executes late."""

import asyncio
import time
from pathlib import Path

from review.kit3.http11 import render
from review.kit3.world import main

FOLDER = Path(__file__).parent
ZONES = ('gogledd', 'canolbarth', 'de')
SERVICE = 'rep-certs'
BEAT_S = 1.2  # heartbeatMs
DRAIN_S = 3.0  # drainMs
LOST_BEAT = 3  # number of the report that gets no answer
LATE_S = 4.85  # from that report until it is executed, of 1 to 6 s
LEAVES_AFTER_S = 0.4  # that report
STAYS_S = 9.0  # for which a leaving backend goes on serving
WORK_S = 0.135  # of cert-fetch
GAP_S = 0.05  # between requests to one gateway


class Leaver:
    """Reports of one backend and what it says in its answers."""

    def __init__(self, world, backend):
        self.world = world
        self.backend = backend
        self.sequence = 1
        self.is_leaving = False
        self.lost = asyncio.get_running_loop().create_future()
        backend.answer_hook = self.answer

    def report(self):
        """Return the next report, which is not yet written."""
        self.sequence += 1
        self.backend.sequence = self.sequence
        return (self.backend.state, self.backend.entry())

    def write(self, report):
        """Let the store execute a report; it changes with more than `sequence`."""
        state, entry = report
        if state != self.stored_state:
            self.stored_state = state
            self.world.store.put(self.backend.key, entry, by=self.backend.name)

    stored_state = 'ready'

    async def beat(self):
        """Report for as long as the backend lives; one report gets no answer."""
        number = 0
        while True:
            await asyncio.sleep(BEAT_S)
            number += 1
            if number == LOST_BEAT and self.world.trouble:
                self.lost.set_result(self.report())
            else:
                self.write(self.report())

    def leave(self):
        """Begin to leave: report it, and say so in all answers."""
        self.is_leaving = True
        self.backend.state = 'draining'
        self.write(self.report())

    async def answer(self, backend, request, writer, peer):
        """Answer like a sound backend, with the notice once it leaves."""
        backend.note(request, peer, ran=True)
        await asyncio.sleep(backend.work_s)
        notice = {'Server-Leaving': '1'} if self.is_leaving else {}
        request_id = request.headers.get('request-id', '')
        headers = {
            'Request-Id': request_id,
            'Response-Signature': f'{backend.name}.{request_id}',
            **notice,
        }
        writer.write(render('HTTP/1.1 200 OK', headers, backend.body))
        return True


async def send_until(world, gateway, end_s, results):
    """Send requests to a gateway, several at a time, and keep their results."""
    sent = []
    while time.monotonic() < end_s:
        sent.append(asyncio.create_task(world.send(gateway, '/certs/1')))
        await asyncio.sleep(GAP_S)
    results[gateway] = await asyncio.gather(*sent)


async def case(world):
    """Return how the rule was broken."""
    for number in (1, 2, 3):
        await world.add_backend(SERVICE, number, zone=ZONES[0])
    for backend in world.backends.values():
        backend.work_s = WORK_S
    first = next(iter(world.backends.values()))
    leaver = Leaver(world, first)
    world.configure(3, [world.route('r-certs', '/certs/', SERVICE)], (SERVICE,))
    await world.add_gateways(ZONES)
    beating = asyncio.create_task(leaver.beat())

    results = {}
    end_s = time.monotonic() + LOST_BEAT * BEAT_S + LEAVES_AFTER_S + STAYS_S
    loading = [
        asyncio.create_task(send_until(world, gateway, end_s, results))
        for gateway in world.gateways
    ]
    await asyncio.sleep(LOST_BEAT * BEAT_S + LEAVES_AFTER_S)
    leaver.leave()
    world.note(f'{first.name}: leaves')
    await asyncio.sleep(LATE_S - LEAVES_AFTER_S)
    if world.trouble:
        lost = leaver.lost.result()
        world.note(f'store: executes now the report without an answer {lost[1]}')
        leaver.write(lost)
    await asyncio.gather(*loading)
    beating.cancel()
    return list(find_broken(world, first, results))


def find_broken(world, backend, results):
    """Yield a line for each machine that sent requests there too late."""
    arrived = {arrival.request_id for arrival in backend.arrivals}
    for gateway, of_gateway in results.items():
        told = [
            result.sent_s + result.took_s
            for result in of_gateway
            if result.headers.get('server-leaving') == '1'
        ]
        if not told:
            continue
        told_s = min(told)
        late = [
            result
            for result in of_gateway
            if result.sent_s > told_s + DRAIN_S and result.request_id in arrived
        ]
        world.note(f'{gateway.node}: {len(late)} requests reached {backend.name} late')
        if late:
            after_ms = (late[0].sent_s - told_s) * 1000
            yield (
                f'DRAIN: {len(late)} requests reached {backend.name} from'
                f' {gateway.node}, the first one sent {after_ms:.0f} ms after it had'
                ' passed on an answer with Server-Leaving'
            )


main(FOLDER, case)
