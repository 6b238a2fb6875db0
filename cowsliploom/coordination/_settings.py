"""Settings of the membership, and the safety margins of ownership."""

from dataclasses import dataclass, fields

CLOCK_RATE_ERROR = 0.01  # bound on the relative difference of two VMs' clock rates


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Intervals, timeouts and limits of the membership.

    Parameters
    ----------
    probe_interval_ms : float
        Interval between the probes of a member. Default 500.
    probe_timeout_ms : float
        Timeout of a direct probe. Default 200.
    indirect_timeout_ms : float
        Additional timeout of indirect probes. Default 250.
    exchange_timeout_ms : float
        Timeout of a sync or an exchange between data centres. Default 1000.
    suspicion_ms : float
        Time within which a suspect has to refute; pauses shorter than this don't
        remove a member. Default 3000.
    contact_interval_ms : float
        Interval between the exchanges of a contact with one other data centre.
        Default 2000.
    unreachable_ms : float
        Time without confirmation after which another data centre counts as
        unreachable. Default 6000.
    tombstone_ms : float
        Time for which the record of a dead member is kept. Default 300000.
    reconnect_interval_ms : float
        Interval between attempts to reach a dead or listed-only member.
        Default 5000.
    join_interval_ms : float
        The same interval while there are untried listed members, as after a restart
        of all VMs. Default 300.
    quiet_ms : float
        Time without contact after which an owner gives up ownership. Default 2500.
    dissemination_ms : float
        Time within which an update reaches all members. Default 4000.
    request_max_ms : float
        Maximum duration of a request to a backend server. Default 1000.
    rings : int
        Number of rings on which a member probes its successor. Default 5.
    contacts : int
        Members of a data centre that exchange with other data centres. Default 2.
    sample_max : int
        Maximum size of the sample of another data centre. Default 8.
    piggyback_max : int
        Maximum number of updates per frame. Default 24.
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
        """Return the wait of a new owner, sufficient also on a fast clock."""
        span_ms = self.quiet_ms + self.dissemination_ms + self.request_max_ms
        return span_ms * (1 + CLOCK_RATE_ERROR) / (1 - CLOCK_RATE_ERROR)

    @property
    def give_up_ms(self) -> float:
        """Return the time without contact that ends ownership, safe on a slow clock."""
        return self.quiet_ms * (1 - CLOCK_RATE_ERROR)


def check_membership_settings(settings: MembershipSettings) -> None:
    """Check that all settings are positive.

    Parameters
    ----------
    settings : MembershipSettings
        Settings to check.

    Raises
    ------
    ValueError
        If a setting is not positive; the message lists the invalid fields and values.
    """
    wrong = [
        f'{field.name}={getattr(settings, field.name)!r}, expected a number above 0'
        for field in fields(settings)
        if getattr(settings, field.name) <= 0
    ]
    if wrong:
        raise ValueError('; '.join(wrong))
