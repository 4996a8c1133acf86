"""Experiments: runs variants of the decision module and of settings on days and seeds, and reports the comparison.

The proxy imports nothing from this package.
"""
