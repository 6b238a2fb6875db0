"""Doctests of the routing modules."""

import doctest
import importlib
import pkgutil

import pytest

from cowsliploom import routing

MODULES = [
    module.name
    for module in pkgutil.iter_modules(routing.__path__)
    if module.name.startswith('_')
]


@pytest.mark.parametrize('name', MODULES)
def test_examples_of_module(name):
    module = importlib.import_module(f'cowsliploom.routing.{name}')
    globs = {**vars(routing), **vars(module)}
    assert doctest.testmod(module, extraglobs=globs).failed == 0
