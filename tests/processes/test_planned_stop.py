"""Tests planned stops of real processes of greengagehitch-platformd, beside callers that come and stay until the end."""

import asyncio
import os
import signal
import subprocess
import sys
import tempfile
import time
import unittest

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from fault_soak import GRACE_PERIOD, SoakFleet  # noqa: E402
from repeated_answers import AnswerFaults  # noqa: E402
from strict_wire import read_message  # noqa: E402

BUILD = os.path.abspath(sys.argv.pop() if len(sys.argv) > 1 else "build/release")
SEED = 1000 + os.getpid()  # Only chooses the addresses.
KEY = "key-1"


class Session:
    """Connection of a caller, whose lines a test sends and reads itself."""

    def __init__(self, vm):
        self.vm = vm

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.vm.host, self.vm.callers_port)
        return self

    async def send(self, *lines):
        self.writer.write("".join(line + "\r\n" for line in lines).encode())

    async def read_all(self, timeout=8):
        """Returns all further lines until the connection ends."""
        try:
            text = await asyncio.wait_for(self.reader.read(-1), timeout)
        except ConnectionError:
            text = b""
        self.writer.close()
        return text.decode().split("\r\n")[:-1]

    async def open(self):
        await self.connect()
        await self.send("START ponds " + KEY)
        return await asyncio.wait_for(read_message(self.reader), 3)


class PlannedStopTest(unittest.TestCase):
    def run_with_fleet(self, case):
        async def run():
            with tempfile.TemporaryDirectory() as folder:
                faults = AnswerFaults(SEED)
                faults.stop()  # No member is busy or fails.
                fleet, broken = SoakFleet(folder, BUILD, SEED, faults), []
                try:
                    await fleet.start(broken)
                    await asyncio.wait_for(case(fleet, fleet.vms[1]), 40)
                finally:
                    fleet.end()
                self.assertEqual(broken, [])
        asyncio.run(run())

    def test_session_that_opens_as_the_process_ends_is_refused_or_served(self):
        """Guards against a session that opens while the process waits for callers to receive their last answers: its
        statement was passed on to a member, and the process ended."""
        async def case(fleet, vm):
            for member in fleet.groups["bookings"].members:
                member.work = 0.6
            vm.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            answers = []

            async def call(number):
                session = Session(vm)
                opened = await session.open()
                if opened.startswith("READY"):
                    await session.send("QUERY late-%d READ x" % number)
                    answers.append((time.monotonic() - stopped_at, [line.split(" ")[0] for line in await session.read_all()]))

            # Sessions that the VM closes and whose callers stay, so that the process has to wait for them.
            process, staying, calls = vm.process, [], []
            await asyncio.sleep(2.35)
            while process.poll() is None and time.monotonic() < stopped_at + 2.5:
                staying.append(Session(vm))
                self.assertEqual(await staying[-1].open(), "READY I -")
                await asyncio.sleep(0.04)
            await asyncio.sleep(stopped_at + 2.75 - time.monotonic())  # The drain is over at 2.7 s.
            while process.poll() is None and time.monotonic() < stopped_at + 6:
                calls.append(asyncio.ensure_future(call(len(calls))))
                await asyncio.sleep(0.02)
            await asyncio.gather(*calls, return_exceptions=True)
            for each in staying:
                each.writer.close()
            self.assertEqual(process.poll(), 0)
            for sent, words in answers:
                self.assertIn("READY", words, "sent %.2f s after the SIGTERM: %s" % (sent, answers))
        self.run_with_fleet(case)

    def test_process_ends_within_the_grace_period_while_calls_to_the_store_are_running(self):
        """Guards against a process that is killed at the end of the grace period: its drain took as long as it may, and
        then the process waited for the answers to calls that nobody needed any more."""
        async def case(fleet, vm):
            async def answer_late(call):
                await asyncio.sleep(30)

            session = Session(vm)
            self.assertEqual(await session.open(), "READY I -")
            for route in fleet.configuration["routes"]:
                route["timeout-ms"] = 20000
            fleet.configuration["version"] += 1
            fleet.publish_configuration()
            await asyncio.sleep(1)
            for member in fleet.groups["bookings"].members:
                member.work = 20
            await session.send("QUERY long-1 READ x")
            await asyncio.sleep(0.2)
            process = vm.process
            vm.signal(signal.SIGTERM)
            stopped_at = time.monotonic()
            await asyncio.sleep(4)
            fleet.store.http.handler = lambda *call: answer_late(call)
            words = [line.split(" ")[0] for line in await session.read_all()]
            while process.poll() is None and time.monotonic() < stopped_at + 10:
                await asyncio.sleep(0.01)
            took = time.monotonic() - stopped_at
            self.assertEqual(words[:2], ["ERROR", "READY"])
            self.assertEqual(process.poll(), 0)
            self.assertLess(took, GRACE_PERIOD)
        self.run_with_fleet(case)

    def test_signal_to_reload_during_the_start_does_not_end_the_process(self):
        """Guards against a process that ends when its settings change while it starts."""
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "settings")
            os.mkfifo(path)
            process = subprocess.Popen([os.path.join(BUILD, "platform", "greengagehitch-platformd"), "--check-settings"],
                                       env={"GREENGAGEHITCH_CONFIG": path}, stderr=subprocess.PIPE)
            with open(path, "w") as settings:  # Waits until the process reads its settings.
                process.send_signal(signal.SIGHUP)
                time.sleep(0.2)
                settings.write("not valid")
            _, error = process.communicate(timeout=20)
            self.assertEqual(process.returncode, 3, error)  # Its settings are not valid.


if __name__ == "__main__":
    unittest.main()
