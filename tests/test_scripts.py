"""Benchmarks and examples can import what they need.

Guards against a moved module that breaks a script unnoticed, as happened when a stand-in moved.
"""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
SCRIPTS = sorted([*ROOT.glob("benchmarks/*.py"), *ROOT.glob("examples/*.py")])


@pytest.mark.parametrize("script", SCRIPTS, ids=lambda script: script.name)
def test_a_script_can_be_loaded(script: Path) -> None:
    command = [sys.executable, "-c", f"import runpy; runpy.run_path({str(script)!r}, run_name='loaded')"]
    completed = subprocess.run(
        command, cwd=ROOT, env={"PYTHONPATH": str(ROOT)}, capture_output=True, text=True, timeout=60
    )
    assert completed.returncode == 0, completed.stderr
