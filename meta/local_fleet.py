"""Runs stand-ins and daemons on loopback for demos, measurements and tests."""

import json
import os
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import urllib.request


class Fleet:
    """Processes of a local deployment: stand-ins for the platform and one database group, and a number of daemons."""

    def __init__(self, build, daemons=2, zones=("nyarugenge", "kicukiro", "gasabo"), connection_delay_ms=10,
                 lag_ms=5, slots=5, connections=35, schema="", tls=None):
        self.build = build
        self.folder = tempfile.mkdtemp(prefix="greengagehitch-")
        self.processes = []
        self.daemons = []
        self.token = "operators-token-for-loopback"
        self._write("token", self.token)
        self._write("secret", "fleet-secret-for-loopback")
        self.tls = tls
        self.platform = self._start_standin("greengagehitch-standin-platform")
        self.platform_url = "http://127.0.0.1:%d" % self.platform["port"]
        # One connection more than the platform announces, for measurements that connect to the database directly.
        self.database = self._start_standin(
            "greengagehitch-standin-database", "--slots", slots, "--connections", connections + 1,
            "--connection-delay-ms", connection_delay_ms, "--lag-ms", lag_ms, "--schema", schema)
        self.describe_group("ledger-1", zones, slots, connections)
        vms = []
        for index in range(daemons):
            vms.append({"name": "vm-%d" % (index + 1), "availability_zone": zones[index % len(zones)],
                        "peer_host": "127.0.0.1", "peer_port": free_udp_port(), "state": "live"})
        self.http("PUT", self.platform_url + "/vms", json.dumps(vms))
        for vm in vms:
            self.daemons.append(self._start_daemon(vm))

    def _write(self, name, text):
        path = os.path.join(self.folder, name)
        with open(path, "w") as file:
            file.write(text)
        return path

    def _start(self, arguments, log, log_to_stdout=False):
        with open(os.path.join(self.folder, log), "w") as file:
            process = subprocess.Popen([str(each) for each in arguments],
                                       stdout=file if log_to_stdout else subprocess.PIPE, stderr=file, text=True)
        self.processes.append(process)
        return process

    def _start_standin(self, program, *arguments):
        process = self._start([os.path.join(self.build, "standins", program), *arguments], program + ".log")
        line = process.stdout.readline()
        if not line:
            raise RuntimeError(program + " exited without printing its ports; see its log")
        answer = json.loads(line)
        answer["process"] = process
        return answer

    def describe_group(self, name, zones, slots, connections):
        """Stores the description of the database group in the platform stand-in."""
        members = [{"name": "member-%d" % (index + 1), "availability_zone": zones[index % len(zones)],
                    "host": "127.0.0.1", "port": port, "database": "ledger"}
                   for index, port in enumerate(self.database["ports"])]
        group = {"members": members, "slots": slots, "max_connections": connections}
        self.http("PUT", self.platform_url + "/table/groups/" + name, json.dumps(group),
                  {"X-Expected-Version": "0"})

    def _start_daemon(self, vm):
        tls = ""
        if self.tls:
            tls = "\n  tls:\n    certificate_file: %s\n    private_key_file: %s" % self.tls
        settings = self._write(vm["name"] + ".yaml", """\
vm:
  name: %s
  availability_zone: %s
callers:
  listen: 127.0.0.1:0%s
operators:
  listen: 127.0.0.1:0
  token_file: %s/token
peers:
  listen: 127.0.0.1:%d
  fleet_secret_file: %s/secret
platform:
  url: %s
databases:
  user: greengagehitch
  tls_mode: disable
""" % (vm["name"], vm["availability_zone"], tls, self.folder, vm["peer_port"], self.folder, self.platform_url))
        log = vm["name"] + ".log"
        process = self._start([os.path.join(self.build, "services", "greengagehitchd"), "--settings", settings], log,
                              log_to_stdout=True)
        serving = self._wait_for_log(os.path.join(self.folder, log), "serving", process)
        return {"name": vm["name"], "process": process, "settings": settings,
                "callers": ("https://" if self.tls else "http://") + serving["callers"],
                "operators": "http://" + serving["operators"], "log": os.path.join(self.folder, log)}

    def _wait_for_log(self, path, message, process, seconds=20):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            with open(path) as file:
                for line in file:
                    if line.startswith("{") and json.loads(line).get("message") == message:
                        return json.loads(line)
            if process.poll() is not None:
                break
            time.sleep(0.02)
        with open(path) as file:
            raise RuntimeError("daemon did not log '%s'; its log is:\n%s" % (message, file.read()))

    @staticmethod
    def http(method, url, body=None, headers=None):
        request = urllib.request.Request(url, data=None if body is None else body.encode(), method=method,
                                         headers=headers or {})
        with urllib.request.urlopen(request, timeout=30) as answer:
            return answer.read().decode()

    def call(self, daemon, method, parameters, key=None):
        """Sends one JSON-RPC request to a daemon as a caller and returns the decoded response."""
        headers = {"Content-Type": "application/json"}
        if key:
            headers["Authorization"] = "Bearer " + key
        body = json.dumps({"jsonrpc": "2.0", "id": 1, "method": method, "params": parameters})
        return json.loads(self.http("POST", self.daemons[daemon]["callers"], body, headers))

    def operator(self, *words, daemon=0, check=True):
        """Runs the operators' command-line client. Returns the JSON that it printed, or else the finished process."""
        command = [os.path.join(self.build, "utilities", "greengagehitch"), "--json", "--daemon",
                   self.daemons[daemon]["operators"], "--token-file", os.path.join(self.folder, "token"),
                   "--author", "demo", *[str(each) for each in words]]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        if check and result.returncode != 0:
            raise RuntimeError("operators' client exited with code %d after %s: %s" %
                               (result.returncode, words, result.stderr))
        lines = result.stdout.strip().splitlines()
        return json.loads(lines[-1]) if lines and lines[-1].startswith(("{", "[")) else result

    def apply_configuration(self, text, daemon=0):
        return self.operator("config", "apply", self._write("configuration.yaml", text), daemon=daemon)

    def switch(self, member, **switches):
        """Sets fault switches of one member in the database stand-in and returns the stand-in's answer."""
        url = "http://127.0.0.1:%d/" % self.database["switches_port"]
        return json.loads(self.http("POST", url, json.dumps({"member": member, **switches})))

    def platform_switches(self, **switches):
        """Sets fault switches of the platform stand-in."""
        self.http("POST", self.platform_url + "/switches", json.dumps(switches))

    def wait_until(self, condition, seconds=20, what="condition"):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if condition():
                return
            time.sleep(0.02)
        raise RuntimeError("timed out waiting for " + what)

    def stop(self):
        """Terminates all processes and deletes their files. Processes that do not end within 20 s are killed."""
        for process in reversed(self.processes):
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes:
            try:
                process.wait(timeout=20)
            except subprocess.TimeoutExpired:
                process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)


def free_udp_port():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]
