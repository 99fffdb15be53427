"""Tests the daemon as a process: invalid input, draining, state dumps, TLS and the data passed to the database."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
import unittest
import urllib.error

from local_fleet import Fleet

BUILD = sys.argv.pop() if len(sys.argv) > 1 else "build/release"
SCHEMA = "create table bookings (id integer primary key, pond text not null, flags integer not null) strict"
CONFIGURATION = """\
databases:
  ledger-1: {}
classes:
  bookings: {access: write, databases: [ledger-1], repeatable: false, delay: 5s}
  notes: {access: write, databases: [ledger-1], repeatable: true, delay: 5s}
  stock: {access: read, databases: [ledger-1], delay: 2s}
  ponds: {access: read, databases: [ledger-1], delay: 2s, open_to_all: true}
client_accounts:
  rink: {rate: 10000, burst: 10000}
  other: {rate: 10000, burst: 10000}
"""


class DaemonTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(BUILD, daemons=2, schema=SCHEMA)
        try:
            cls.fleet.apply_configuration(CONFIGURATION)
            cls.key = cls.fleet.operator("key", "give", "rink")["key"]
            cls.fleet.wait_until(lambda: all("result" in cls.read(vm) for vm in (0, 1)),
                                 what="the first read through each daemon")
        except Exception:
            cls.fleet.stop()
            raise

    @classmethod
    def tearDownClass(cls):
        cls.fleet.stop()

    @classmethod
    def read(cls, vm, sql="select 1", parameters=(), **more):
        return cls.fleet.call(vm, "execute", {"class": "stock", "statement": {
            "sql": sql, "parameters": list(parameters)}, **more}, cls.key)

    def write(self, vm, number, **more):
        return self.fleet.call(vm, "execute", {"class": "bookings", "request_id": "w%d" % number, "statement": {
            "sql": "insert into bookings values ($1, $2, $3)", "parameters": [number, "north", 1]}, **more}, self.key)

    def assert_refused(self, answer, reason, outcome="not_run"):
        self.assertIn("error", answer)
        self.assertEqual((answer["error"]["data"]["outcome"], answer["error"]["data"]["reason"]), (outcome, reason))

    def post_raw(self, body, key=None):
        headers = {"Authorization": "Bearer " + key} if key else {}
        return json.loads(self.fleet.http("POST", self.fleet.daemons[0]["callers"], body, headers))

    def count(self, number):
        return self.read(0, "select count(*) from bookings where id = $1", [number])["result"]["results"][0]["rows"][0][0]

    def test_invalid_input_is_refused_and_not_executed(self):
        self.assertEqual(self.post_raw("{", self.key)["error"]["code"], -32700)
        self.assertEqual(self.post_raw("[]", self.key)["error"]["code"], -32600)
        self.assert_refused(self.fleet.call(0, "execute", {"class": "none", "statement": {"sql": "select 1"}}, self.key),
                            "unknown_class")
        self.assert_refused(self.fleet.call(0, "execute", {"class": "stock", "statement": {"sql": "select 1"}}),
                            "missing_key")
        self.assert_refused(self.fleet.call(0, "execute", {"class": "stock", "statement": {"sql": "select 1"}},
                                            "ggh_x_y"), "unknown_key")
        self.assert_refused(self.read(0, session="AAAA"), "invalid_session")
        self.assert_refused(self.fleet.call(0, "execute", {"class": "bookings", "statement": {
            "sql": "insert into bookings values (900, 'x', 1)"}}, self.key), "missing_request_id")
        self.assert_refused(self.fleet.call(0, "execute", {"class": "bookings", "request_id": "wrong", "statement": {
            "sql": "insert into bookings values ($1, $2, $3)", "parameters": [900, "x", "no number"]}}, self.key),
            "statement_rejected")
        self.assert_refused(self.read(0, "commit"), "forbidden_statement")
        self.assertEqual(self.count(900), 0)

    def test_oversized_body_is_refused(self):
        with self.assertRaises(urllib.error.HTTPError) as caught:
            self.post_raw(json.dumps({"jsonrpc": "2.0", "id": 1, "method": "execute", "params": {"x": "y" * 400000}}), self.key)
        self.assertEqual(caught.exception.code, 413)

    def test_open_route_needs_no_key(self):
        answer = self.fleet.call(1, "execute", {"class": "ponds", "statement": {"sql": "select 2"}})
        self.assertEqual(answer["result"]["results"][0]["rows"], [[2]])

    def test_request_id_of_another_request_is_refused(self):
        self.assertIn("result", self.write(0, 100))
        answer = self.fleet.call(1, "execute", {"class": "bookings", "request_id": "w100", "statement": {
            "sql": "insert into bookings values ($1, $2, $3)", "parameters": [101, "north", 1]}}, self.key)
        self.assert_refused(answer, "request_id_reused")
        self.assertEqual(self.count(101), 0)

    def test_resolve_closes_a_request_id_that_was_never_executed(self):
        answer = self.fleet.call(0, "resolve", {"class": "bookings", "request_id": "w200"}, self.key)
        self.assert_refused(answer, "closed_unrun")
        self.assert_refused(self.write(1, 200), "closed_unrun")
        self.assertEqual(self.count(200), 0)

    def test_resolve_returns_the_result_of_an_executed_request(self):
        self.assertIn("result", self.write(0, 300))
        answer = self.fleet.call(1, "resolve", {"class": "bookings", "request_id": "w300"}, self.key)
        self.assertTrue(answer["result"]["repeated"])

    def test_transaction_is_pinned_to_its_daemon_and_rolls_back(self):
        transaction = self.fleet.call(0, "begin", {"class": "notes"}, self.key)["result"]["transaction"]
        statement = {"sql": "insert into bookings values (400, 'a', 1)"}
        self.assertIn("result", self.fleet.call(0, "continue", {"transaction": transaction, "statement": statement},
                                               self.key))
        self.assert_refused(self.fleet.call(1, "continue", {"transaction": transaction, "statement": statement}, self.key),
                            "unknown_transaction")
        self.assertIn("result", self.fleet.call(0, "rollback", {"transaction": transaction}, self.key))
        self.assertEqual(self.count(400), 0)

    def test_client_account_reaches_the_database_and_the_key_does_not(self):
        answer = self.read(0, "select current_setting('x')")
        self.assertEqual(answer["result"]["results"][0]["rows"], [["rink"]])
        secret = self.key.split("_")[2]
        for daemon in self.fleet.daemons:
            with open(daemon["log"]) as file:
                self.assertNotIn(secret, file.read())
        self.assertNotIn(secret, json.dumps(self.fleet.operator("config", "show")))

    def test_withdrawn_key_ends_running_transactions(self):
        given = self.fleet.operator("key", "give", "other")
        self.fleet.wait_until(lambda: "result" in self.fleet.call(
            0, "execute", {"class": "stock", "statement": {"sql": "select 1"}}, given["key"]),
                              what="the new key to be accepted")
        transaction = self.fleet.call(0, "begin", {"class": "notes"}, given["key"])["result"]["transaction"]
        self.fleet.operator("key", "withdraw", given["id"])
        self.fleet.wait_until(lambda: self.fleet.operator("dump")["transactions"]["running"] == 0
                              if isinstance(self.fleet.operator("dump"), dict) else True, what="the transaction to end")
        answer = self.fleet.call(0, "commit", {"transaction": transaction}, given["key"])
        self.assertIn("error", answer)

    def test_operator_request_without_token_is_refused(self):
        with self.assertRaises(urllib.error.HTTPError) as caught:
            self.fleet.http("POST", self.fleet.daemons[0]["operators"], "{}")
        self.assertEqual(caught.exception.code, 401)

    def test_conflicting_apply_names_the_author_of_the_newer_version(self):
        base = self.fleet.operator("config", "show")["version"]
        changed = os.path.join(self.fleet.folder, "changed.yaml")
        with open(changed, "w") as file:
            file.write(CONFIGURATION)
        self.fleet.operator("config", "apply", changed, "--base", base)
        rejected = self.fleet.operator("config", "apply", changed, "--base", base, check=False)
        self.assertEqual(rejected.returncode, 4)
        self.assertIn("by demo", rejected.stderr)

    def test_sighup_dumps_state_without_keys(self):
        daemon = self.fleet.daemons[1]
        daemon["process"].send_signal(1)
        self.fleet.wait_until(lambda: "state dump" in open(daemon["log"]).read(), what="the state dump in the log")


class SettingsTest(unittest.TestCase):
    def run_daemon(self, *arguments):
        program = os.path.join(BUILD, "services", "greengagehitchd")
        return subprocess.run([program, *arguments], capture_output=True, text=True, timeout=20)

    def test_help_and_version_succeed(self):
        self.assertEqual(self.run_daemon("--help").returncode, 0)
        self.assertEqual(self.run_daemon("--version").returncode, 0)

    def test_invalid_settings_exit_with_status_3(self):
        path = os.path.join(os.environ.get("TMPDIR", "/tmp"), "wrong-%d.yaml" % os.getpid())
        with open(path, "w") as file:
            file.write("vm: {name: vm-1}\nunknown: 1\n")
        try:
            result = self.run_daemon("--settings", path, "--check-settings")
        finally:
            os.remove(path)
        self.assertEqual(result.returncode, 3)
        self.assertIn(":2: unknown: unknown field", result.stderr)

    def test_invalid_usage_exits_with_status_2(self):
        self.assertEqual(self.run_daemon("--nothing").returncode, 2)


class DrainTest(unittest.TestCase):
    def test_sigterm_waits_for_requests_in_flight(self):
        fleet = Fleet(BUILD, daemons=1, schema=SCHEMA)
        try:
            fleet.apply_configuration(CONFIGURATION.replace("delay: 2s", "delay: 30s"))
            key = fleet.operator("key", "give", "rink")["key"]

            def call():
                return fleet.call(0, "execute", {"class": "stock", "statement": {"sql": "select 3"}}, key)
            fleet.wait_until(lambda: "result" in call(), what="the first read")
            # No request ends before the daemon drains, however long the operators' client takes to see them.
            for member in range(3):
                fleet.switch(member, paused=True)
            answers = []
            callers = [threading.Thread(target=lambda: answers.append(call())) for _ in range(8)]
            for caller in callers:
                caller.start()
            fleet.wait_until(lambda: fleet.operator("status")["requests_in_flight"] == 8,
                             what="all requests to be in flight")
            fleet.daemons[0]["process"].terminate()
            fleet.wait_until(lambda: fleet.operator("status")["is_draining"], what="the drain")
            for member in range(3):
                fleet.switch(member, paused=False)
            for caller in callers:
                caller.join()
            self.assertEqual([answer["result"]["results"][0]["rows"] for answer in answers], [[[3]]] * 8)
            self.assertEqual(fleet.daemons[0]["process"].wait(timeout=20), 0)
        finally:
            fleet.stop()


class FailoverTest(unittest.TestCase):
    def test_killed_primary_is_replaced_and_its_writes_are_kept(self):
        fleet = Fleet(BUILD, daemons=2, schema=SCHEMA)
        try:
            fleet.apply_configuration(CONFIGURATION)
            key = fleet.operator("key", "give", "rink")["key"]

            def write(vm, number):
                return fleet.call(vm, "execute", {"class": "bookings", "request_id": "f%d" % number, "statement": {
                    "sql": "insert into bookings values ($1, 'north', 1)", "parameters": [number]}}, key)
            fleet.wait_until(lambda: "result" in write(0, 1), what="the first write")
            fleet.switch(0, killed=True)
            fleet.wait_until(lambda: "result" in write(1, 2), what="a write after the failover")
            found = fleet.call(0, "execute", {"class": "stock", "session": write(1, 2)["result"]["session"], "statement": {
                "sql": "select id from bookings order by id"}}, key)
            self.assertEqual(found["result"]["results"][0]["rows"], [[1], [2]])
        finally:
            fleet.stop()


class TlsTest(unittest.TestCase):
    def test_callers_are_served_over_https(self):
        import ssl
        import tempfile
        import urllib.request
        with tempfile.TemporaryDirectory() as folder:
            certificate = os.path.join(folder, "certificate.pem")
            private_key = os.path.join(folder, "key.pem")
            subprocess.run(["openssl", "req", "-x509", "-newkey", "rsa:2048", "-nodes", "-subj", "/CN=localhost",
                            "-keyout", private_key, "-out", certificate, "-days", "2"], check=True, capture_output=True)
            fleet = Fleet(BUILD, daemons=1, schema=SCHEMA, tls=(certificate, private_key))
            try:
                context = ssl.create_default_context(cafile=certificate)
                context.check_hostname = False
                request = urllib.request.Request(fleet.daemons[0]["callers"], data=b"{", method="POST")
                with urllib.request.urlopen(request, context=context, timeout=20) as answer:
                    self.assertEqual(json.loads(answer.read())["error"]["code"], -32700)
            finally:
                fleet.stop()


if __name__ == "__main__":
    unittest.main()
