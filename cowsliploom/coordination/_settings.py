"""Settings of the membership, with the margins that ownership needs."""

from dataclasses import dataclass, fields

CLOCK_RATE_ERROR = 0.01  # two VMs' clocks may differ in rate by this much


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Set the times and bounds of the membership.

    Parameters
    ----------
    probe_interval_ms : float
        Time between two probes that a member sends. Default 500.
    probe_timeout_ms : float
        Wait for the answer to a direct probe. Default 200.
    indirect_timeout_ms : float
        Further wait for the answers that helpers got. Default 250.
    exchange_timeout_ms : float
        Wait for the answer to a sync or an exchange between data centres.
        Default 1000.
    suspicion_ms : float
        Time that a suspect has to refute; freezes shorter than this don't
        remove a member. Default 3000.
    contact_interval_ms : float
        Time between two exchanges of one contact with one other data centre.
        Default 2000.
    unreachable_ms : float
        Silence after which another data centre counts as unreachable.
        Default 6000.
    tombstone_ms : float
        Time that a dead member is remembered. Default 300000.
    reconnect_interval_ms : float
        Time between two attempts to reach a dead or merely listed member.
        Default 5000.
    join_interval_ms : float
        The same while listed members have not been tried, as after a restart of
        all VMs. Default 300.
    quiet_ms : float
        Silence after which an owner gives up. Default 2500.
    dissemination_ms : float
        Time in which an update reaches each member. Default 4000.
    request_max_ms : float
        Longest request in flight to a backend server. Default 1000.
    rings : int
        Rings on which a member probes its successor. Default 5.
    contacts : int
        Members of a data centre that exchange with the others. Default 2.
    sample_max : int
        Members known of each other data centre. Default 8.
    piggyback_max : int
        Updates in one frame. Default 24.
    """

    probe_interval_ms: float = 500
    probe_timeout_ms: float = 200
    indirect_timeout_ms: float = 250
    exchange_timeout_ms: float = 1000
    suspicion_ms: float = 3000
    contact_interval_ms: float = 2000
    unreachable_ms: float = 6000
    tombstone_ms: float = 300_000
    reconnect_interval_ms: float = 5000
    join_interval_ms: float = 300
    quiet_ms: float = 2500
    dissemination_ms: float = 4000
    request_max_ms: float = 1000
    rings: int = 5
    contacts: int = 2
    sample_max: int = 8
    piggyback_max: int = 24

    @property
    def hold_off_ms(self) -> float:
        """Return how long a new owner waits, by a clock that may be fast."""
        span_ms = self.quiet_ms + self.dissemination_ms + self.request_max_ms
        return span_ms * (1 + CLOCK_RATE_ERROR) / (1 - CLOCK_RATE_ERROR)

    @property
    def give_up_ms(self) -> float:
        """Return the silence after which an owner stops, by a slow clock."""
        return self.quiet_ms * (1 - CLOCK_RATE_ERROR)


def check_membership_settings(settings: MembershipSettings) -> None:
    """Check that each setting is above zero.

    Parameters
    ----------
    settings : MembershipSettings
        Settings to check.

    Raises
    ------
    ValueError
        If one is not; the message names each wrong field and its value.
    """
    wrong = [
        f'{field.name}={getattr(settings, field.name)!r}, expected a number above 0'
        for field in fields(settings)
        if getattr(settings, field.name) <= 0
    ]
    if wrong:
        raise ValueError('; '.join(wrong))
