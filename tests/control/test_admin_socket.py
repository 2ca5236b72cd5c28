"""The admin socket at a path that can't be used."""

from __future__ import annotations

import unittest
from contextlib import AsyncExitStack
from pathlib import Path
from tempfile import TemporaryDirectory

from cottonladder.config.errors import ConfigError
from cottonladder.control.admin_socket import AdminSocket


class AdminSocketErrorTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        self.folder = Path(self.enterContext(TemporaryDirectory()))

    async def listen_error(self, path: Path) -> str:
        """Returns the text of the error that opening the socket raises."""
        async with AsyncExitStack() as stack:
            with self.assertRaises(ConfigError) as caught:
                await AdminSocket(str(path), {}).listen(stack)
        return str(caught.exception)

    async def test_a_file_of_another_type_is_rejected_and_kept(self) -> None:
        path = self.folder / "file"
        path.write_text("data")
        error = await self.listen_error(path)
        self.assertEqual(
            error, f"control: {path}: Unix socket or no file expected, got a file of another type"
        )
        self.assertEqual(path.read_text(), "data")

    async def test_a_path_in_a_missing_folder_is_rejected(self) -> None:
        path = self.folder / "missing" / "socket"
        error = await self.listen_error(path)
        self.assertEqual(error, f"control: {path}: Unix socket can't be opened: No such file or directory")


if __name__ == "__main__":
    unittest.main()
