"""Experiments: module versions and settings crossed with days and seeds, and the report of them.

The proxy imports none of this.
"""
