"""Tests the helper that runs gateways."""

import pathlib
import subprocess
import sys
import unittest

import gateway_process

PORT = 25900  # not reached by the tests' own walk through the ports
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


if __name__ == "__main__":
    unittest.main()
