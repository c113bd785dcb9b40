"""Tests of the package, run by unittest."""
