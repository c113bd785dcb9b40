"""Tests of the project, run by unittest."""
