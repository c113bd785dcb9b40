"""Tests of the cmd package."""
