"""Child processes of tests; signals go to process ids, never to names."""

import asyncio
import os
import pathlib
import signal
import sys

# Time between SIGTERM and SIGKILL.
STOP_LIMIT_S = 20.0

ROOT = pathlib.Path(__file__).parents[1]


class Process:
    """A Python module run as a process; its output goes to a file."""

    def __init__(self, name, arguments, log_path, environment=None):
        self.name = name
        self.log_path = log_path
        self._arguments = arguments
        self._environment = environment or {}
        self._process = None

    @property
    def pid(self):
        """Process id, or None while not started."""
        return None if self._process is None else self._process.pid

    @property
    def is_running(self):
        """Whether the process was started and has not exited."""
        return self._process is not None and self._process.returncode is None

    @property
    def log(self):
        """Output so far."""
        return self.log_path.read_text(errors='replace')

    async def start(self):
        """Start the process, or restart it after it has exited."""
        if self.is_running:
            raise RuntimeError(f'{self.name} is already running')
        with self.log_path.open('ab') as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-m',
                *self._arguments,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                cwd=ROOT,
                env={**os.environ, **self._environment},
            )

    def reload(self):
        """Send SIGHUP, upon which the process reloads its settings."""
        self._process.send_signal(signal.SIGHUP)

    def pause(self):
        """Suspend the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resume a suspended process with SIGCONT."""
        self._process.send_signal(signal.SIGCONT)

    async def kill(self):
        """Kill the process with SIGKILL; return its exit status."""
        if self.is_running:
            self._process.kill()
        return await self._process.wait()

    def terminate(self):
        """Send SIGTERM without waiting for the exit."""
        self._process.terminate()

    async def wait(self):
        """Wait for the process to exit and return its status."""
        return await self._process.wait()

    async def stop(self, limit_s=STOP_LIMIT_S):
        """Terminate the process, kill it at the limit; return its status."""
        if self._process is None:
            return None
        if not self.is_running:
            return self._process.returncode
        self.terminate()
        self.resume()
        try:
            async with asyncio.timeout(limit_s):
                return await self._process.wait()
        except TimeoutError:
            return await self.kill()
