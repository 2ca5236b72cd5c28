"""Errors of the secrets and TLS files that the operators' file names for weight advice."""

from __future__ import annotations

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from cottonladder.config.errors import ConfigError
from cottonladder.config.operator_config import AdviceServerConfig, SecretConfig, TlsConfig
from cottonladder.control.advice_connections import create_advice_server
from cottonladder.weight_advice.advertised_workers import AdvertisedWorkers

SETTING_PATH = "$.advice.serve[0]"
ADDRESS = "127.0.0.1:0"


class AdviceFileErrorTests(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory()))

    def creation_error(self, config: AdviceServerConfig) -> str:
        """Returns the text of the error that creating a server raises."""
        with self.assertRaises(ConfigError) as caught:
            create_advice_server(config, AdvertisedWorkers(), SETTING_PATH)
        return str(caught.exception)

    def secret_error(self, path: Path) -> str:
        """Returns the text of the error for a DFP server whose secret is at `path`."""
        return self.creation_error(AdviceServerConfig("dfp", ADDRESS, secret=SecretConfig(1, str(path))))

    def test_a_missing_secret_file_is_rejected(self) -> None:
        path = self.folder / "missing"
        self.assertEqual(
            self.secret_error(path),
            f"{SETTING_PATH}.secret: {path}: file can't be read: No such file or directory",
        )

    def test_a_secret_of_only_whitespace_is_rejected(self) -> None:
        path = self.folder / "secret"
        path.write_text(" \n")
        self.assertEqual(
            self.secret_error(path),
            f"{SETTING_PATH}.secret: {path}: secret expected, got an empty file or only whitespace",
        )

    def test_a_missing_certificate_is_rejected(self) -> None:
        tls = TlsConfig(certificate=str(self.folder / "missing"))
        self.assertEqual(
            self.creation_error(AdviceServerConfig("sasp", ADDRESS, tls=tls)),
            f"{SETTING_PATH}.tls: certificate, key or authorities can't be loaded: "
            "[Errno 2] No such file or directory",
        )


if __name__ == "__main__":
    unittest.main()
