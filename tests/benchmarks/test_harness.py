"""The shared code of the benchmarks, and whether each one starts; CI runs none of them in full."""

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

BENCHMARKS = ("advice", "endpoint_soak", "memory", "plugins", "scale", "starts", "upgraded")
SMALL_FLEET = {"proxies": 20, "workers": 8, "zones": 2, "managers": 2}


class Metrics(msgspec.Struct):
    served: float
    machine: str


def printed_metrics(metrics: Metrics, as_json: bool) -> str:
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        harness.print_metrics(metrics, as_json)
    return output.getvalue()


class HarnessTest(unittest.TestCase):
    def test_metrics_are_printed_as_json_or_as_aligned_lines(self) -> None:
        metrics = Metrics(served=0.9, machine="one server")
        self.assertEqual(
            json.loads(printed_metrics(metrics, as_json=True)), {"served": 0.9, "machine": "one server"}
        )
        self.assertEqual(printed_metrics(metrics, as_json=False), "served  0.9\nmachine one server\n")

    def test_percentile_is_the_value_at_its_share_of_the_sorted_values(self) -> None:
        values = [float(value) for value in range(99, -1, -1)]
        self.assertEqual(harness.percentile(values, 0.5), 50.0)
        self.assertEqual(harness.percentile(values, 0.99), 99.0)

    def test_another_checkout_is_measured_by_its_own_module(self) -> None:
        with TemporaryDirectory() as folder:
            package = Path(folder) / "benchmarks"
            package.mkdir()
            (package / "__init__.py").touch()
            (package / "scale.py").write_text("import json, sys\nprint(json.dumps(sys.argv[1:]))\n")
            self.assertEqual(harness.run_in_tree(folder, "benchmarks.scale", "--point"), ["--point"])


class BenchmarkStartTest(unittest.TestCase):
    def test_every_benchmark_prints_its_help(self) -> None:
        for name in BENCHMARKS:
            with self.subTest(name):
                command = [sys.executable, "-B", "-m", f"benchmarks.{name}", "--help"]
                completed = subprocess.run(command, cwd=harness.TREE, capture_output=True, text=True)
                self.assertEqual(completed.returncode, 0, completed.stderr)
                self.assertIn("--json", completed.stdout)

    def test_a_point_of_scale_has_all_metrics(self) -> None:
        metrics = scale.measure_in_process(SMALL_FLEET, str(harness.TREE))
        assert metrics is not None
        self.assertEqual(set(metrics), set(scale.METRICS))
        self.assertGreater(metrics["bytes_per_join"], 0)

    def test_metrics_of_an_older_checkout_are_added_with_a_suffix(self) -> None:
        measured = scale.AxisMetrics({"3": {"look_ms": 1.0}, "8": None}, growth_exponent=1.0)
        measured.add_baseline(scale.AxisMetrics({"3": {"look_ms": 2.0}, "8": None}, growth_exponent=2.0))
        self.assertEqual(measured.as_json()["growth_exponent_before"], 2.0)
        metrics = measured.points["3"]
        assert metrics is not None
        self.assertEqual(metrics["look_ms_before"], 2.0)
        self.assertIsNone(metrics["solve_ms_before"])
        self.assertIsNone(measured.points["8"])


if __name__ == "__main__":
    unittest.main()
