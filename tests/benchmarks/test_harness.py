"""The benchmarks' shared parts, and that each benchmark starts: CI runs none of them whole."""

from __future__ import annotations

import contextlib
import io
import json
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

import msgspec

from benchmarks import harness, scale

BENCHMARKS = ("advice", "memory", "plugins", "scale", "starts", "upgraded")
SMALL = {"proxies": 20, "workers": 8, "zones": 2, "managers": 2}


class Figures(msgspec.Struct):
    served: float
    of: str


def printed(figures: Figures, as_json: bool) -> str:
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        harness.print_figures(figures, as_json)
    return output.getvalue()


class Harness(unittest.TestCase):
    def test_figures_are_printed_as_json_or_as_aligned_lines(self) -> None:
        figures = Figures(served=0.9, of="one machine")
        self.assertEqual(json.loads(printed(figures, as_json=True)), {"served": 0.9, "of": "one machine"})
        self.assertEqual(printed(figures, as_json=False), "served 0.9\nof     one machine\n")

    def test_percentiles(self) -> None:
        values = [float(value) for value in range(99, -1, -1)]
        self.assertEqual(harness.percentile(values, 0.5), 50.0)
        self.assertEqual(harness.percentile(values, 0.99), 99.0)

    def test_another_tree_is_measured_by_its_own_text(self) -> None:
        with TemporaryDirectory() as folder:
            package = Path(folder) / "benchmarks"
            package.mkdir()
            (package / "__init__.py").touch()
            (package / "scale.py").write_text("import json, sys\nprint(json.dumps(sys.argv[1:]))\n")
            self.assertEqual(harness.run_in_tree(folder, "benchmarks.scale", "--point"), ["--point"])


class Starting(unittest.TestCase):
    def test_every_benchmark_starts(self) -> None:
        for name in BENCHMARKS:
            with self.subTest(name):
                command = [sys.executable, "-B", "-m", f"benchmarks.{name}", "--help"]
                done = subprocess.run(command, cwd=harness.TREE, capture_output=True, text=True)
                self.assertEqual(done.returncode, 0, done.stderr)
                self.assertIn("--json", done.stdout)

    def test_a_point_of_scale(self) -> None:
        figures = scale.measure_in_process(SMALL, str(harness.TREE))
        assert figures is not None
        self.assertEqual(set(figures), set(scale.FIGURES))
        self.assertGreater(figures["bytes_per_join"], 0)

    def test_an_older_tree_s_figures_stand_beside_this_one_s(self) -> None:
        measured = scale.AxisFigures({"3": {"look_ms": 1.0}, "8": None}, growth_exponent=1.0)
        measured.add_baseline(scale.AxisFigures({"3": {"look_ms": 2.0}, "8": None}, growth_exponent=2.0))
        self.assertEqual(measured.as_json()["growth_exponent_before"], 2.0)
        figures = measured.points["3"]
        assert figures is not None
        self.assertEqual(figures["look_ms_before"], 2.0)
        self.assertIsNone(figures["solve_ms_before"])
        self.assertIsNone(measured.points["8"])


if __name__ == "__main__":
    unittest.main()
