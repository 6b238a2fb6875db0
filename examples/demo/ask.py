"""Send one search and one booking, and print the responses."""

import sys
import time

import msgspec
import urllib3

READY_TIMEOUT_S = 20  # an entry VM becomes ready after probing its servers
POLL_S = 0.1
REQUEST_TIMEOUT_S = 5
STATUS_OK = 200
STATUS_IN_FLIGHT = 409


def wait_ready(entry: str) -> None:
    """Wait until an entry VM reports that it is ready for requests."""
    deadline_s = time.monotonic() + READY_TIMEOUT_S
    while urllib3.request('GET', f'http://{entry}/readyz').status != STATUS_OK:
        if time.monotonic() > deadline_s:
            sys.exit(f'demo: entry VM {entry} was not ready in {READY_TIMEOUT_S} s')
        time.sleep(POLL_S)


def post(entry: str, path: str, body: object, headers: dict[str, str]) -> object:
    """Post a request, and repeat it while the first one is still in flight."""
    deadline_s = time.monotonic() + REQUEST_TIMEOUT_S
    status = STATUS_IN_FLIGHT
    while status == STATUS_IN_FLIGHT and time.monotonic() < deadline_s:
        reply = urllib3.request(
            'POST',
            f'http://{entry}{path}',
            body=msgspec.json.encode(body),
            headers=headers,
            timeout=REQUEST_TIMEOUT_S,
        )
        status = reply.status
        time.sleep(POLL_S if status == STATUS_IN_FLIGHT else 0)
    answer = msgspec.json.decode(reply.data)
    if reply.status != STATUS_OK:
        sys.exit(f'demo: status {reply.status}: {answer}')
    return answer


def show(title: str, answer: object) -> None:
    """Print an answer as indented JSON."""
    print(title)
    print(msgspec.json.format(msgspec.json.encode(answer)).decode())


def main() -> None:
    """Send a search to the first entry VM, and one booking to the first two."""
    search, service, *entries = sys.argv[1:]
    for entry in entries:
        wait_ready(entry)
    text = {'text': 'timeout while syncing'}
    answer = post(entries[0], f'/v1/searches/{search}', text, {'Caller': 'demo'})
    show(f'-- search {search}', answer)
    order = {'payload': 'booking of the demo'}
    headers = {'Caller': 'demo', 'Idempotency-Key': 'demo-1'}
    path = f'/v1/services/{service}/requests'
    show(f'-- request to {service}', post(entries[0], path, order, headers))
    show(
        '-- same request through another entry VM',
        post(entries[1], path, order, headers),
    )


if __name__ == '__main__':
    main()
