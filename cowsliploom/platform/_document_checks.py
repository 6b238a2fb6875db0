"""Checks and errors of all documents in the platform's store."""

LOGGED_CHARS_MAX = 80  # of an invalid field


class DocumentError(ValueError):
    """Error about an invalid document.

    Parameters
    ----------
    key : str
        Key in the store.
    reason : str
        What is wrong with the document.
    """

    def __init__(self, key: str, reason: str) -> None:
        super().__init__(f'{key}: {reason}')
        self.key = key
        self.reason = reason


def name_problem(name: str) -> str:
    """Return why a header can't hold a name as it is; empty if it can.

    A line end would begin another header, and blanks at either end get lost.
    """
    if name.isascii() and name.isprintable() and name == name.strip() and name:
        return ''
    return f'no header can hold the name {name[:LOGGED_CHARS_MAX]!r}'
