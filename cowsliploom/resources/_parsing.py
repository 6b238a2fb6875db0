"""Parsing of YAML and JSON resource files into unvalidated documents."""

from collections.abc import Hashable
from typing import Any

import msgspec
from yaml import MappingNode, YAMLError
from yaml import load_all as load_documents
from yaml.constructor import ConstructorError

from cowsliploom.resources._problems import InvalidResources, ResourceProblem

try:
    from yaml import CSafeLoader as SafeLoader
except ImportError:  # PyYAML built without libyaml; slower
    from yaml import SafeLoader  # type: ignore[assignment]

TIMESTAMP_TAG = 'tag:yaml.org,2002:timestamp'
PARSE_ERRORS = (YAMLError, ValueError, RecursionError)


class _Loader(SafeLoader):
    """Load YAML; timestamps stay strings, and duplicate keys are rejected."""

    yaml_implicit_resolvers = {
        first: [resolver for resolver in resolvers if resolver[0] != TIMESTAMP_TAG]
        for first, resolvers in SafeLoader.yaml_implicit_resolvers.items()
    }

    def construct_mapping(
        self, node: MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        """Build a mapping; raise ``ConstructorError`` for a duplicate key."""
        keys: set[str] = set()
        for key_node, _ in node.value:
            key = str(self.construct_object(key_node, deep=True))
            if key in keys:
                raise ConstructorError(
                    problem=f'duplicate field {key!r}',
                    problem_mark=node.start_mark,
                )
            keys.add(key)
        return super().construct_mapping(node, deep)


def _parse_failure(error: Exception, place: str, expected: str) -> InvalidResources:
    reason = ' '.join(str(error).split()) or type(error).__name__
    return InvalidResources((ResourceProblem(place, 'document', reason, expected),))


def _flatten(parsed: list[Any]) -> list[Any]:
    documents: list[Any] = []
    for part in parsed:
        documents.extend(part if isinstance(part, list) else [part])
    return [document for document in documents if document is not None]


def parse_json(text: str | bytes, place: str) -> list[Any]:
    """Parse one JSON document or a list of them.

    Parameters
    ----------
    text : str or bytes
        JSON in UTF-8.
    place : str
        Name of the source in problems.

    Returns
    -------
    list
        Documents, not yet validated.

    Raises
    ------
    InvalidResources
        The text is not valid JSON or UTF-8, or is nested too deeply.
    """
    try:
        parsed = msgspec.json.decode(text)
    except (ValueError, RecursionError) as error:
        raise _parse_failure(error, place, 'JSON in UTF-8') from error
    return _flatten([parsed])


def parse_yaml(text: str | bytes, place: str) -> list[Any]:
    """Parse a YAML file of one or many documents; also reads JSON.

    Parameters
    ----------
    text : str or bytes
        YAML in UTF-8.
    place : str
        Name of the file in problems.

    Returns
    -------
    list
        Documents, not yet validated.

    Raises
    ------
    InvalidResources
        The text is not valid YAML or UTF-8, or is nested too deeply.
    """
    try:
        parsed = list(load_documents(text, Loader=_Loader))
    except PARSE_ERRORS as error:
        raise _parse_failure(error, place, 'YAML or JSON in UTF-8') from error
    return _flatten(parsed)
