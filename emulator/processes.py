"""Child processes of tests: started, paused and always ended by id."""

import asyncio
import os
import pathlib
import signal
import sys

# Time that a process gets to end after SIGTERM.
STOP_LIMIT_S = 20.0

ROOT = pathlib.Path(__file__).parents[1]


class Process:
    """One program run with this interpreter; its output goes to a file."""

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
        """Whether the process was started and has not ended."""
        return self._process is not None and self._process.returncode is None

    @property
    def log(self):
        """Output so far."""
        return self.log_path.read_text(errors='replace')

    async def start(self):
        """Start the program, again if it has ended."""
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
        """Tell the process that its settings have changed."""
        self._process.send_signal(signal.SIGHUP)

    def pause(self):
        """Stop the process with SIGSTOP."""
        self._process.send_signal(signal.SIGSTOP)

    def resume(self):
        """Let a paused process go on."""
        self._process.send_signal(signal.SIGCONT)

    async def kill(self):
        """End the process without warning; return its exit status."""
        if self.is_running:
            self._process.kill()
        return await self._process.wait()

    def terminate(self):
        """Ask the process to stop, without waiting."""
        self._process.terminate()

    async def wait(self):
        """Wait for the end and return the exit status."""
        return await self._process.wait()

    async def stop(self, limit_s=STOP_LIMIT_S):
        """Stop the process, by force after the limit; return its status."""
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
