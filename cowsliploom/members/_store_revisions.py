"""Revisions of the platform's store, ordered across its restores from older copies.

A restored store gives out again the revisions that the lost writes had. Its era rises
with each restore, so every revision is kept and compared as one number that holds the
era before the store's own revision.
"""

REVISIONS_PER_ERA = 10**12  # a power of ten keeps both parts readable in the log


def store_revision(era: int, number: int) -> int:
    """Return a revision that is above all those of earlier eras.

    Parameters
    ----------
    era : int
        How often the store has come back from an older copy.
    number : int
        Revision as the store gives it out.

    Examples
    --------
    >>> store_revision(0, 57), store_revision(2, 57)
    (57, 2000000000057)
    >>> store_revision(0, 99) < store_revision(1, 3)
    True
    """
    return era * REVISIONS_PER_ERA + number


def era_of(revision: int) -> int:
    """Return the era of a revision."""
    return revision // REVISIONS_PER_ERA


def number_in_era(revision: int) -> int:
    """Return a revision as the store gives it out.

    Examples
    --------
    >>> number_in_era(store_revision(2, 57))
    57
    """
    return revision % REVISIONS_PER_ERA
