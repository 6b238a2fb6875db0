"""Reading and validation of resource files before they are sent."""

import uuid
from collections.abc import Iterator, Sequence

import click
import msgspec

from cowsliploom.cli._errors import CtlError, ExitCode
from cowsliploom.resources import (
    InvalidResources,
    Kind,
    Resource,
    ResourceProblem,
    decode_documents,
    is_name,
)


def read_files(paths: Sequence[str]) -> tuple[Resource, ...]:
    """Read and validate the documents of all files.

    Parameters
    ----------
    paths : sequence of str
        Files; ``-`` is standard input.

    Returns
    -------
    tuple of Resource
        Resources of all files.

    Raises
    ------
    CtlError
        A file can't be read, or documents are invalid; names each invalid field.
    """
    resources: list[Resource] = []
    problems: list[ResourceProblem] = []
    for path in paths:
        try:
            resources.extend(decode_documents(_read(path), path))
        except InvalidResources as invalid:
            problems.extend(invalid.problems)
    problems.extend(_find_duplicates(resources))
    if problems:
        raise CtlError(ExitCode.INVALID, '\n'.join(map(str, problems)))
    if not resources:
        raise CtlError(ExitCode.INVALID, 'the files contain no document')
    return tuple(resources)


def _find_duplicates(resources: list[Resource]) -> Iterator[ResourceProblem]:
    seen: set[tuple[Kind, str]] = set()
    for resource in resources:
        if (resource.kind, resource.name) in seen:
            document = f'{resource.kind}/{resource.name}'
            expected = 'a resource only once in all files'
            yield ResourceProblem(document, 'name', resource.name, expected)
        seen.add((resource.kind, resource.name))


def encode_documents(resources: tuple[Resource, ...]) -> bytes:
    """Encode resources as the body of a change request."""
    return msgspec.json.encode(resources)


def new_change_id() -> str:
    """Return a new change id."""
    return str(uuid.uuid4())


def check_target(text: str) -> tuple[Kind, str]:
    """Parse a ``KIND`` or ``KIND/NAME`` argument.

    Raises
    ------
    click.UsageError
        The argument has neither form.
    """
    kind, _, name = text.partition('/')
    if kind in set(Kind) and (not name or is_name(name)):
        return Kind(kind), name
    kinds = ', '.join(Kind)
    raise click.UsageError(f'got {text!r}, expected KIND or KIND/NAME, KIND of {kinds}')


def _read(path: str) -> bytes:
    try:
        with click.open_file(path, 'rb') as source:
            return bytes(source.read())
    except OSError as error:
        raise CtlError(
            ExitCode.INVALID, f'{path}: {error.strerror}', 'ctl.read'
        ) from error
