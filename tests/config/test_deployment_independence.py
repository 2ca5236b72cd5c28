"""Deployments in one process do not affect each other, and names in settings do not affect the policy."""

from __future__ import annotations

import re
import unittest
from pathlib import Path

from tests.support.json_object import JsonObject
from tests.support.recorded_inputs import RECORDED_INPUTS, RecordedRun

DEPLOYMENTS = Path(__file__).parents[2] / "deploy" / "sites"
# New names for the zones and request classes of the recording; some are the old name of another one.
NEW_NAMES = {
    "burnaby": "zone-9",
    "surrey": "a",
    "richmond": "richmond-hill",
    "fetch": "release",
    "release": "xx",
    "audit": "fetch",
}
OTHER_SETTINGS: JsonObject = {
    "Profiles": [
        {"Name": "audit", "TargetMs": 300.0, "Gain": 9.0},
        {"Name": "release", "TargetMs": 4e3, "Gain": 0.1},
        {"Name": "fetch", "TargetMs": 7e2, "Gain": 2.0},
    ],
    "Zones": ["richmond", "burnaby", "surrey"],
    "NInstances": 1,
    "FamilyInfo": {"ThrottleBy": "rps", "EgressPerS": 900.0, "Head": 3.0, "Strikes": 0},
    "Limits": {"Probing": True, "Peers": False},
    "Rules": {"FallMultiple": 6.0, "WarmAfterMs": 4000.0},
}


def rename(text: str) -> str:
    """Returns the text with all names replaced in one pass, so that no name is replaced twice."""
    pattern = "|".join(rf"\b{name}\b" for name in NEW_NAMES)
    return re.sub(pattern, lambda match: NEW_NAMES[match[0]], text)


class DeploymentIndependenceTests(unittest.TestCase):
    def test_orders_do_not_depend_on_names_of_zones_and_classes(self) -> None:
        """With other names of zones and classes, the orders differ only in these names."""
        output = RecordedRun(RECORDED_INPUTS).run()
        renamed_output = RecordedRun(rename(RECORDED_INPUTS)).run()
        self.assertEqual([rename(line) for line in output], renamed_output)
        self.assertGreater(sum("CONFIG for release" in line for line in output), 5)
        self.assertGreater(sum("CONFIG replace" in line for line in output), 8)

    def test_two_deployments_in_one_process_order_the_same_as_alone(self) -> None:
        """Two managers that process their inputs in alternation give the same orders as each alone."""
        output = RecordedRun(RECORDED_INPUTS).run()
        other_output = RecordedRun(RECORDED_INPUTS, **OTHER_SETTINGS).run()
        self.assertNotEqual(output, other_output)
        run = RecordedRun(RECORDED_INPUTS)
        other_run = RecordedRun(RECORDED_INPUTS, **OTHER_SETTINGS)
        for _ in zip(run.steps(), other_run.steps(), strict=True):
            pass
        self.assertEqual(run.output, output)
        self.assertEqual(other_run.output, other_output)

    def test_the_folder_of_each_deployment_has_all_files(self) -> None:
        for folder in sorted(DEPLOYMENTS.iterdir()):
            with self.subTest(folder.name):
                names = {path.name for path in folder.iterdir()}
                self.assertEqual(names, {f"{folder.name}.toml", "real.json", "wire.json", "unlock.txt"})


if __name__ == "__main__":
    unittest.main()
