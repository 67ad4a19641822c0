"""Tests of the line fits from which capacity is computed."""

import unittest

from benchmarks.slope_fit import Point, decode_slopes, encode_slopes, fit


class FitTest(unittest.TestCase):
    """Least-squares lines and their relative spread."""

    def test_fit(self):
        """Each case: points, slope, intercept, spread."""
        cases = (
            ("exact", [(1, 5.0), (2, 7.0), (4, 11.0)], 2.0, 3.0, 0.0),
            ("level", [(1, 4.0), (9, 4.0)], 0.0, 4.0, 0.0),
            ("single size", [(3, 4.0), (3, 6.0)], 0.0, 5.0, 1 / 6),
            ("all zero", [(1, 0.0), (2, 0.0)], 0.0, 0.0, 0.0),
            ("quadratic", [(0, 0.0), (1, 1.0), (2, 4.0)], 2.0, -1 / 3, 1 / 6),
        )
        for name, pairs, slope, intercept, spread in cases:
            with self.subTest(name):
                line = fit(name, "us", [Point(*pair) for pair in pairs])
                self.assertAlmostEqual(line.slope, slope)
                self.assertAlmostEqual(line.intercept, intercept)
                self.assertAlmostEqual(line.spread, spread)
                self.assertAlmostEqual(line.value_at(10), intercept + 10 * slope)

    def test_no_point_is_an_error(self):
        with self.assertRaises(ValueError):
            fit("none", "us", [])

    def test_encoded_and_decoded(self):
        """Encoded figures are rounded to four significant digits."""
        line = fit("a / b", "us", [Point(1, 123456.0), Point(2, 123456.0)])
        (read,) = decode_slopes(encode_slopes([line]))
        self.assertEqual((read.name, read.unit, read.value_at(5)), ("a / b", "us", 123500.0))
