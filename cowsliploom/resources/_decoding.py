"""Decoding of resource documents; all validation problems are collected."""

import dataclasses
from collections.abc import Iterable, Mapping
from enum import StrEnum
from typing import Any, get_type_hints

import msgspec

from cowsliploom.resources._parsing import parse_json, parse_yaml
from cowsliploom.resources._problems import (
    InvalidResources,
    ResourceProblem,
    format_value,
)
from cowsliploom.resources._types import (
    DataCentreSpec,
    Kind,
    Resource,
    SearchSpec,
    ServerSpec,
    ServiceSpec,
    Spec,
    VersionMoveSpec,
)
from cowsliploom.resources._values import NAME_EXPECTED, RULES, is_name

SPEC_TYPES: dict[Kind, type[Spec]] = {
    Kind.SERVICE: ServiceSpec,
    Kind.SEARCH: SearchSpec,
    Kind.VERSION_MOVE: VersionMoveSpec,
    Kind.DATA_CENTRE: DataCentreSpec,
}
DOCUMENT_FIELDS = frozenset(('kind', 'name', 'spec', 'revision'))
UNIT_SUFFIXES = ('_ms', '_s', '_us', '_ns', '_min', '_seconds', '_millis')
TYPE_EXPECTED: dict[Any, str] = {
    str: 'a string',
    int: 'a whole number',
    float: 'a number',
    tuple[str, ...]: 'a list of strings',
}


def _strip_unit(field: str) -> str:
    for suffix in UNIT_SUFFIXES:
        if field.endswith(suffix):
            return field.removesuffix(suffix)
    return field


def _expected_field(field: Any, known: tuple[str, ...]) -> str:
    """Return the known field that differs only in its unit, else all known ones."""
    matches = [name for name in known if _strip_unit(name) == _strip_unit(str(field))]
    if matches:
        return f'{matches[0]} (the unit is in the name)'
    return 'one of {0}'.format(', '.join(known))


def _expected_member(members: type[StrEnum]) -> str:
    return 'one of {0}'.format(', '.join(members))


def _expected_type(field: dataclasses.Field[Any], hint: Any) -> str:
    expected = TYPE_EXPECTED.get(hint) or _expected_member(hint)
    return f'{expected} of milliseconds' if field.name.endswith('_ms') else expected


class _Collector:
    """Collect the validation problems of one document."""

    def __init__(self, document: str) -> None:
        self.document = document
        self.problems: list[ResourceProblem] = []

    def add_problem(self, path: str, got: str, expected: str) -> None:
        """Add a problem."""
        self.problems.append(ResourceProblem(self.document, path, got, expected))

    def check_shape(self, found: Any, shape: Any, path: str) -> None:
        """Check the fields of a mapping against a data class."""
        if not isinstance(found, Mapping):
            self.add_problem(path, format_value(found), 'a mapping of fields')
            return
        hints = get_type_hints(shape)
        for unknown in found.keys() - hints.keys():
            expected = _expected_field(unknown, tuple(hints))
            self.add_problem(
                f'{path}.{unknown}', format_value(found[unknown]), expected
            )
        for field in dataclasses.fields(shape):
            value = found.get(field.name, dataclasses.MISSING)
            field_path = f'{path}.{field.name}'
            if value is not dataclasses.MISSING:
                self._check_field(value, field, hints[field.name], field_path)
            elif field.default is dataclasses.MISSING:
                self.add_problem(field_path, '', 'a value; the field is required')

    def check_rules(self, spec: Any, path: str) -> None:
        """Check the values of a decoded data class against its rules."""
        for name, rule in RULES[type(spec)].items():
            found = getattr(spec, name)
            expected = rule(found)
            if expected:
                self.add_problem(f'{path}.{name}', format_value(found), expected)

    def _check_field(
        self, found: Any, field: dataclasses.Field[Any], hint: Any, path: str
    ) -> None:
        if hint == tuple[ServerSpec, ...]:
            self._check_servers(found, path)
            return
        try:
            msgspec.convert(found, type=hint)
        except (msgspec.ValidationError, ValueError, OverflowError):
            self.add_problem(path, format_value(found), _expected_type(field, hint))

    def _check_servers(self, found: Any, path: str) -> None:
        if not isinstance(found, (list, tuple)):
            self.add_problem(path, format_value(found), 'a list of servers')
            return
        for index, server in enumerate(found):
            self.check_shape(server, ServerSpec, f'{path}[{index}]')


def _decode_kind(found: Any) -> Kind | None:
    try:
        return Kind(found)
    except ValueError:
        return None


def _is_revision(found: Any) -> bool:
    return isinstance(found, int) and not isinstance(found, bool) and found >= 0


def _check_envelope(collector: _Collector, found: Mapping[Any, Any]) -> Kind | None:
    """Check kind, name and revision; return the kind if it is valid."""
    for unknown in found.keys() - DOCUMENT_FIELDS:
        expected = 'one of {0}'.format(', '.join(sorted(DOCUMENT_FIELDS)))
        collector.add_problem(str(unknown), format_value(found[unknown]), expected)
    named = found.get('kind')
    kind = _decode_kind(named)
    if kind is None:
        collector.add_problem('kind', format_value(named), _expected_member(Kind))
    name = found.get('name')
    if not isinstance(name, str) or not is_name(name):
        collector.add_problem('name', format_value(name), NAME_EXPECTED)
    revision = found.get('revision', 0)
    if not _is_revision(revision):
        expected = 'the revision that the change expects, a whole number'
        collector.add_problem('revision', format_value(revision), expected)
    return kind


def _decode_spec(collector: _Collector, found: Any, kind: Kind) -> Spec | None:
    shape = SPEC_TYPES[kind]
    collector.check_shape(found, shape, 'spec')
    if collector.problems:
        return None
    spec: Spec = msgspec.convert(found, type=shape)
    collector.check_rules(spec, 'spec')
    if isinstance(spec, ServiceSpec):
        for index, server in enumerate(spec.servers):
            collector.check_rules(server, f'spec.servers[{index}]')
    if isinstance(spec, VersionMoveSpec) and spec.from_version == spec.to_version:
        collector.add_problem(
            'spec.to_version', spec.to_version, 'a version other than from_version'
        )
    return spec


def _name_document(found: Any, place: str) -> str:
    if isinstance(found, Mapping) and 'kind' in found and 'name' in found:
        return '{0}/{1}'.format(found['kind'], found['name'])
    return place


def _decode_mapping(found: Any, document: str) -> Resource:
    collector = _Collector(document)
    if not isinstance(found, Mapping):
        collector.add_problem('document', format_value(found), 'kind, name and spec')
        raise InvalidResources(tuple(collector.problems))
    kind = _check_envelope(collector, found)
    spec = None
    if kind is not None:
        spec = _decode_spec(collector, found.get('spec', {}), kind)
    if collector.problems or kind is None or spec is None:
        raise InvalidResources(tuple(collector.problems))
    return Resource(kind, found['name'], spec, found.get('revision', 0))


def decode_document(
    source: str | bytes | Mapping[str, Any], place: str = 'document 1'
) -> Resource:
    """Decode and validate one resource document.

    Parameters
    ----------
    source : str, bytes or mapping
        YAML or JSON text of one document, or a parsed document.
    place : str, default 'document 1'
        Name of the document in problems if it has no kind or name.

    Returns
    -------
    Resource
        The resource; ``revision`` is the expected revision, 0 for any.

    Raises
    ------
    InvalidResources
        The document is invalid; carries all its problems.

    Examples
    --------
    >>> decode_document('{"kind": "datacentre", "name": "de", "spec": {}}').name
    'de'
    """
    if isinstance(source, Mapping):
        return _decode_mapping(source, _name_document(source, place))
    documents = parse_yaml(source, place)
    if len(documents) == 1:
        return _decode_mapping(documents[0], _name_document(documents[0], place))
    got = f'{len(documents)} documents'
    raise InvalidResources((ResourceProblem(place, 'document', got, 'one document'),))


def decode_documents(
    text: str | bytes, place: str = 'document'
) -> tuple[Resource, ...]:
    """Decode and validate all documents of a YAML or JSON file.

    Parameters
    ----------
    text : str or bytes
        YAML with one or many documents, or JSON: one document or a list of them.
    place : str, default 'document'
        Name of the file in problems.

    Returns
    -------
    tuple of Resource
        Resources in the order of the file.

    Raises
    ------
    InvalidResources
        A document is invalid or a resource is declared twice; carries all problems.
    """
    return _decode_all(parse_yaml(text, place), place)


def decode_json_documents(
    text: str | bytes, place: str = 'document'
) -> tuple[Resource, ...]:
    """Decode and validate one JSON document or a list of them.

    Parameters
    ----------
    text : str or bytes
        JSON in UTF-8.
    place : str, default 'document'
        Name of the source in problems.

    Returns
    -------
    tuple of Resource
        Resources in the order of the documents.

    Raises
    ------
    InvalidResources
        A document is invalid or a resource is declared twice; carries all problems.
    """
    return _decode_all(parse_json(text, place), place)


def _decode_all(documents: Iterable[Any], place: str) -> tuple[Resource, ...]:
    resources: dict[tuple[Kind, str], Resource] = {}
    problems: list[ResourceProblem] = []
    for number, found in enumerate(documents, start=1):
        document = _name_document(found, f'{place} {number}')
        try:
            resource = _decode_mapping(found, document)
        except InvalidResources as invalid:
            problems.extend(invalid.problems)
            continue
        if (resource.kind, resource.name) in resources:
            problems.append(
                ResourceProblem(document, 'name', resource.name, 'a resource only once')
            )
        resources[resource.kind, resource.name] = resource
    if problems:
        raise InvalidResources(tuple(problems))
    return tuple(resources.values())
