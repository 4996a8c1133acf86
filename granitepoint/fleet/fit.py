"""Least-squares fits through measured points."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec
import numpy as np


class Line(msgspec.Struct, frozen=True):
    """A fitted line y = base + slope * x; `residual` is the root mean square residual, in units of y."""

    slope: float
    base: float
    residual: float
    points: list[tuple[float, float]]

    def at(self, x: float) -> float:
        """The value of the line at x."""
        return self.base + self.slope * x

    @property
    def relative_residual(self) -> float:
        """The residual as a fraction of the range of y; 0 where y is constant."""
        ys = [y for _, y in self.points]
        y_range = max(ys) - min(ys)
        return self.residual / y_range if y_range else 0.0


def fit_line(points: Sequence[tuple[float, float]]) -> Line:
    """Fits a line to (x, y) points. Raises ValueError for fewer than two different x."""
    if len({x for x, _ in points}) < 2:
        raise ValueError("a line needs points at two or more different x")
    xs = np.array([x for x, _ in points], dtype=float)
    ys = np.array([y for _, y in points], dtype=float)
    design_matrix = np.stack([np.ones_like(xs), xs], axis=1)
    (base, slope), *_ = np.linalg.lstsq(design_matrix, ys, rcond=None)
    residuals = ys - (base + slope * xs)
    residual = float(np.sqrt(np.mean(residuals**2)))
    return Line(float(slope), float(base), residual, [(float(x), float(y)) for x, y in points])


def fit_plane(rows: Sequence[Sequence[float]], ys: Sequence[float]) -> tuple[list[float], float]:
    """Fits the weights for which y is the sum of weight * figure over the figures of each row.

    Returns the weights and the root mean square of the residuals. Raises ValueError if there are fewer rows
    than weights, or if the figures are linearly dependent.
    """
    design_matrix, observed = np.array(rows, dtype=float), np.array(ys, dtype=float)
    weights, _, rank, _ = np.linalg.lstsq(design_matrix, observed, rcond=None)
    if len(rows) < design_matrix.shape[1] or rank < design_matrix.shape[1]:
        raise ValueError("the weights can't be determined: too few rows, or dependent figures")
    residual = float(np.sqrt(np.mean((observed - design_matrix @ weights) ** 2)))
    return [float(weight) for weight in weights], residual
