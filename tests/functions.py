"""Loads plain test functions as unittest cases."""

from __future__ import annotations

import sys
import unittest
from collections.abc import Callable


def create_loader(module_name: str) -> Callable[..., unittest.TestSuite]:
    """Create the ``load_tests`` hook of a module.

    :param module_name: the module's ``__name__``.
    :return: hook that wraps each ``test_`` function in a test case.
    """

    def load_tests(
        loader: unittest.TestLoader,
        standard: unittest.TestSuite,
        pattern: str | None,
    ) -> unittest.TestSuite:
        module = sys.modules[module_name]
        suite = unittest.TestSuite()
        suite.addTests(standard)
        for name in sorted(vars(module)):
            function = getattr(module, name)
            if name.startswith('test_') and callable(function):
                identity = f'{module_name}.{name}'
                suite.addTest(
                    unittest.FunctionTestCase(function, description=identity)
                )
        return suite

    return load_tests
