"""Tests of the build for the users' platform."""

import os
import shutil
import subprocess
import tempfile
import unittest
from pathlib import Path

from cicadatiller.kernel import read_build
from cicadatiller.kernel._build import NOT_BUILT

ROOT = Path(__file__).resolve().parents[1]
# Stands in for the interpreter: names its kind, and notes that libraries were installed.
PYTHON = """\
#!/bin/sh
case "$2" in
    pip) echo pip >>installs; mkdir -p target/deps ;;
    import*) cat kind ;;
esac
"""


class BuildTest(unittest.TestCase):
    # Guards against entries that start from what an earlier build, or one on another kind of
    # machine, has left under target/deps, without a trace of it in their logs.

    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = Path(directory.name)
        (self.root / "deploy").mkdir()
        for name in ("build.sh", "requirements.lock"):
            shutil.copy(ROOT / "deploy" / name, self.root / "deploy" / name)
        self.source = self.root / "src" / "cicadatiller" / "a.py"
        self.source.parent.mkdir(parents=True)
        self.source.write_text("A = 1\n")
        python = self.root / "bin" / "python3"
        python.parent.mkdir()
        python.write_text(PYTHON)
        python.chmod(0o755)

    def build(self, kind):
        (self.root / "kind").write_text(kind + "\n")
        path = f"{self.root / 'bin'}:{os.environ['PATH']}"
        environment = os.environ | {"PATH": path}
        subprocess.run(["sh", "deploy/build.sh"], cwd=self.root, env=environment, check=True)
        return read_build(self.root / "target/deps/cicadatiller/build-digest.txt").digest

    def installs(self):
        return len((self.root / "installs").read_text().split())

    def test_libraries_are_installed_anew_for_another_interpreter_or_machine(self):
        self.build("cpython-311 aarch64")
        self.build("cpython-311 aarch64")
        self.assertEqual(self.installs(), 1)
        self.build("cpython-311 x86_64")
        self.assertEqual(self.installs(), 2)
        self.build("cpython-312 x86_64")
        self.assertEqual(self.installs(), 3)

    def test_a_build_names_the_sources_it_was_made_from(self):
        first = self.build("cpython-311 aarch64")
        self.assertEqual(self.build("cpython-311 aarch64"), first)
        self.source.write_text("A = 2\n")
        self.assertNotIn(self.build("cpython-311 aarch64"), (first, NOT_BUILT, ""))

    def test_a_program_that_runs_from_its_sources_says_so(self):
        self.assertEqual(read_build(self.root / "missing.txt").digest, NOT_BUILT)


if __name__ == "__main__":
    unittest.main()
