"""Settings of the operator daemon."""

from dataclasses import dataclass

from cowsliploom.daemons._settings import SettingsChecker

COUNT_MAX = 1024
BODY_BYTES_LOW = 1000
BODY_BYTES_HIGH = 16_000_000


@dataclass(frozen=True, slots=True)
class RawOperatorSettings:
    """Settings from the command line and environment before validation."""

    listen: str
    store: str
    data_centre: str
    name: str
    entry: tuple[str, ...]
    read_timeout_ms: str
    write_timeout_ms: str
    store_timeout_ms: str
    watch_wait_ms: str
    heartbeat_ms: str
    status_period_ms: str
    shutdown_notice_ms: str
    request_timeout_ms: str
    idle_timeout_ms: str
    threads: str
    watches_max: str
    body_max_bytes: str


@dataclass(frozen=True, slots=True)
class OperatorSettings:
    """Validated settings.

    Parameters
    ----------
    listen, store : str
        Addresses of this daemon and of the platform's store.
    data_centre, name : str
        Data centre and name of this VM.
    entries : tuple of str
        Entry VMs to ask for the revisions in force.
    read_timeout_ms, write_timeout_ms : float
        Timeouts of a read and of a change, in milliseconds.
    store_timeout_ms : float
        Timeout of one store call, in milliseconds.
    watch_wait_ms : float
        Longest wait of one store watch, in milliseconds.
    heartbeat_ms : float
        Idle time after which a watch stream sends a bookmark, in milliseconds.
    status_period_ms : float
        Interval of status reads while a watch is open, in milliseconds.
    shutdown_notice_ms : float
        Time that the load balancer takes to notice a shutdown, in milliseconds.
    request_timeout_ms, idle_timeout_ms : float
        Timeouts for slow and for idle clients, in milliseconds.
    threads, watches_max : int
        Concurrent requests, and how many of them may be watch streams.
    body_max_bytes : int
        Largest request body, in bytes.
    """

    listen: str
    store: str
    data_centre: str
    name: str
    entries: tuple[str, ...]
    read_timeout_ms: float
    write_timeout_ms: float
    store_timeout_ms: float
    watch_wait_ms: float
    heartbeat_ms: float
    status_period_ms: float
    shutdown_notice_ms: float
    request_timeout_ms: float
    idle_timeout_ms: float
    threads: int
    watches_max: int
    body_max_bytes: int


def check_operator_settings(raw: RawOperatorSettings) -> OperatorSettings:
    """Validate all settings.

    Parameters
    ----------
    raw : RawOperatorSettings
        Settings before validation.

    Returns
    -------
    OperatorSettings
        Validated settings.

    Raises
    ------
    click.UsageError
        Lists each invalid setting.
    """
    checker = SettingsChecker()
    positive_ms = checker.check_positive_ms
    threads = checker.check_count('--threads', raw.threads, 2, COUNT_MAX)
    settings = OperatorSettings(
        listen=checker.check_listen_address('--listen', raw.listen),
        store=checker.check_address('--store', raw.store),
        data_centre=checker.check_name('--data-centre', raw.data_centre),
        name=checker.check_name('--name', raw.name),
        entries=checker.check_addresses('--entry', raw.entry),
        read_timeout_ms=positive_ms('--read-timeout-ms', raw.read_timeout_ms),
        write_timeout_ms=positive_ms('--write-timeout-ms', raw.write_timeout_ms),
        store_timeout_ms=positive_ms('--store-timeout-ms', raw.store_timeout_ms),
        watch_wait_ms=positive_ms('--watch-wait-ms', raw.watch_wait_ms),
        heartbeat_ms=positive_ms('--heartbeat-ms', raw.heartbeat_ms),
        status_period_ms=positive_ms('--status-period-ms', raw.status_period_ms),
        shutdown_notice_ms=checker.check_not_negative_ms(
            '--shutdown-notice-ms', raw.shutdown_notice_ms
        ),
        request_timeout_ms=positive_ms('--request-timeout-ms', raw.request_timeout_ms),
        idle_timeout_ms=positive_ms('--idle-timeout-ms', raw.idle_timeout_ms),
        threads=threads,
        watches_max=checker.check_count(
            '--watches-max', raw.watches_max, 1, max(1, threads - 1)
        ),
        body_max_bytes=checker.check_count(
            '--body-max-bytes', raw.body_max_bytes, BODY_BYTES_LOW, BODY_BYTES_HIGH
        ),
    )
    checker.raise_problems()
    return settings
