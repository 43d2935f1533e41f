"""Tests the helper that runs gateways."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

import gateway_process

PORT = gateway_process.LAST_PORT - 99  # not reached by the tests' own walk through the ports
RESERVE = ("import sys, gateway_process as g; g._ports['next'] = int(sys.argv[1]); "
           "print(g.free_port(), flush=True); sys.stdin.read()")


class GatewayProcessTest(unittest.TestCase):
    # Guards against a test that reaches the gateway of another test process: two gateways
    # may listen on one port.
    def test_processes_that_choose_ports_at_the_same_time_get_different_ones(self):
        with subprocess.Popen(
                [sys.executable, "-c", RESERVE, str(PORT)], stdin=subprocess.PIPE,
                stdout=subprocess.PIPE, cwd=pathlib.Path(__file__).parent) as other:
            chosen = int(other.stdout.readline())
            following = gateway_process._ports["next"]
            gateway_process._ports["next"] = chosen
            self.addCleanup(gateway_process._ports.update, next=following)
            self.assertNotEqual(gateway_process.free_port(), chosen)
            other.stdin.close()

    def gateway_with_log(self, content):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        gateway = object.__new__(gateway_process.Gateway)  # runs no process
        gateway.log_path = pathlib.Path(folder.name) / "log"
        gateway.log_path.write_bytes(content)
        return gateway

    # Guards against a test that fails because it reads a log while a line is being written.
    def test_log_events_leave_out_a_line_that_is_being_written(self):
        line = json.dumps({"name": "backend_é"}, ensure_ascii=False).encode()
        for written in range(len(line) + 1):
            with self.subTest(written=written):
                gateway = self.gateway_with_log(line + b"\n" + line[:written])
                self.assertEqual(gateway.log_events(), [{"name": "backend_é"}])

    def test_log_events_reject_a_complete_line_that_is_no_event(self):
        gateway = self.gateway_with_log(b'{"name": "cut\n{"name": "whole"}\n')
        with self.assertRaises(json.JSONDecodeError):
            gateway.log_events()


if __name__ == "__main__":
    unittest.main()
