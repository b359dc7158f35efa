"""Coroutine tests run to their end with fixtures and time limits, and fail if they leave a task behind."""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
from pathlib import Path

SAMPLE = """
import asyncio, pytest

@pytest.mark.parametrize("number", [1, 2])
async def test_parameters(number, tmp_path):
    await asyncio.sleep(0)
    assert number == 1 and tmp_path.is_dir()

async def test_leaves_a_task():
    asyncio.ensure_future(asyncio.sleep(60))

@pytest.mark.time_limit(0.01)
async def test_over_its_limit():
    await asyncio.sleep(60)

@pytest.mark.time_limit(5)
async def test_within_its_limit():
    await asyncio.sleep(0.05)
"""


def test_a_coroutine_test_fails_by_an_assertion_a_task_left_behind_or_its_limit(tmp_path: Path) -> None:
    for name in ("conftest.py", "known_red.py", "async_tests.py"):
        shutil.copy(Path(__file__).parent / name, tmp_path / name)
    (tmp_path / "test_sample.py").write_text(SAMPLE)
    (tmp_path / "pyproject.toml").write_text('[tool.pytest.ini_options]\nfilterwarnings = ["error"]\n')
    command = [sys.executable, "-m", "pytest", "-q", "-p", "no:cacheprovider"]
    environment = {**os.environ, "PYTEST_DISABLE_PLUGIN_AUTOLOAD": "1"}
    completed = subprocess.run(
        command, cwd=tmp_path, env=environment, capture_output=True, text=True, timeout=120
    )
    assert completed.returncode == 1 and "3 failed, 2 passed" in completed.stdout, (
        completed.stdout + completed.stderr
    )
    for failed in ("test_parameters[2]", "test_leaves_a_task", "test_over_its_limit"):
        assert f"FAILED test_sample.py::{failed}" in completed.stdout, completed.stdout
