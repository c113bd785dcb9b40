"""Tests of daemons that misbehaving clients visit."""
