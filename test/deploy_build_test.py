"""The build command of deploy/system.toml, run on a small project in its place."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import tomllib
import unittest

SYSTEM = pathlib.Path(__file__).resolve().parents[1] / "deploy" / "system.toml"

PROJECT = """cmake_minimum_required(VERSION 3.25)
project(small LANGUAGES CXX)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
add_executable(small main.cpp)
"""

# Before any build: the time of a commit, as archives carry it.
COMMIT_TIME = 1_000_000_000


class DeployBuild(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="basilpath-build-"))
        self.addCleanup(shutil.rmtree, self.folder)
        (self.folder / "CMakeLists.txt").write_text(PROJECT)
        self.command = tomllib.loads(SYSTEM.read_text())["build"]

    def status_of_build(self, status):
        """Unpacks a program that exits with `status`, builds it and returns its status."""
        source = self.folder / "main.cpp"
        source.write_text(f"int main() {{ return {status}; }}\n")
        os.utime(source, (COMMIT_TIME, COMMIT_TIME))
        subprocess.run(self.command, shell=True, cwd=self.folder, check=True,
                       stdout=subprocess.DEVNULL)
        return subprocess.run([self.folder / "target/bin/small"], check=False).returncode

    # Guards against a program of an earlier commit that is left in target/, as the sources of
    # the later one are older than its objects.
    def test_sources_older_than_the_last_build_are_built(self):
        self.assertEqual(self.status_of_build(3), 3)
        self.assertEqual(self.status_of_build(4), 4)


if __name__ == "__main__":
    sys.exit(unittest.main())
