"""Tests that nothing outside a server process ends it but a wanted stop."""

import fcntl
import json
import os
import pty
import resource
import signal
import socket
import time
import unittest

from server_process import ServerProcess

MESSAGES = [signal.SIGUSR1, signal.SIGUSR2, signal.SIGALRM, signal.SIGVTALRM,
            signal.SIGPROF, signal.SIGIO, signal.SIGPWR, signal.SIGSTKFLT,
            signal.SIGXCPU, signal.SIGRTMIN, signal.SIGRTMAX]


def block_all_signals():
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())


def ignore_stop_and_reload():
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_IGN)


class ServerCase(unittest.TestCase):
    """Runs each test with both server commands."""

    def for_each_server(self, check):
        for command in ("gateway", "serve"):
            with self.subTest(command=command):
                server = ServerProcess(command)
                try:
                    check(server)
                finally:
                    server.close()

    def assert_stopped(self, server, reason):
        self.assertEqual(server.child.wait(timeout=15), 0, server.log_path.read_text())
        last = server.events()[-1]
        self.assertEqual(last["name"], "stopped", last)
        self.assertTrue(last["reason"].startswith(reason), last)


class SignalTest(ServerCase):
    # Guards against a process that SIGHUP or SIGUSR1 ends while it starts.
    def test_signals_sent_during_the_start_are_handled_after_it(self):
        def check(server):
            server.start(preexec_fn=block_all_signals)
            server.send(signal.SIGHUP, signal.SIGUSR1, signal.SIGALRM)
            server.wait_for("settings_reloaded")
            server.wait_until(lambda: len(server.events("signal_ignored")) == 2)
            self.assertEqual(server.stop(), 0)
        self.for_each_server(check)

    # Guards against a process that is ended by signal 15 in place of an orderly stop.
    def test_a_stop_signal_at_any_moment_of_the_start_ends_with_code_0(self):
        for delay_ms in (0, 1, 2, 3, 5, 8, 12, 20, 35, 60):
            def check(server, delay_ms=delay_ms):
                server.start(preexec_fn=block_all_signals)
                time.sleep(delay_ms / 1000)
                server.send(signal.SIGTERM)
                self.assert_stopped(server, "SIGTERM from process")
            self.for_each_server(check)

    # Guards against a gap between the first code of the process and its handlers.
    def test_signals_are_handled_from_the_first_code_of_the_process_on(self):
        def check(server):
            server.start()
            server.wait_until(lambda: server.blocks(signal.SIGHUP))
            server.send(signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM)
            self.assert_stopped(server, "SIGTERM")
        self.for_each_server(check)

    # Guards against signals that nobody waits for, but whose default action ends a process.
    def test_signals_without_a_meaning_are_logged_only(self):
        def check(server):
            server.start()
            server.wait_for("started")
            server.send(*MESSAGES, signal.SIGPIPE, signal.SIGXFSZ)
            server.wait_until(lambda: len(server.events("signal_ignored")) == len(MESSAGES))
            self.assertEqual(server.stop(), 0)
        self.for_each_server(check)

    # Guards against a reload in series that ends the process or keeps it from stopping.
    def test_reloads_in_series_and_a_second_stop_signal_do_not_disturb_a_stop(self):
        def check(server):
            server.start()
            server.wait_for("started")
            for _ in range(50):
                server.send(signal.SIGHUP)
                time.sleep(0.002)
            server.wait_for("settings_reloaded")
            server.send(signal.SIGHUP, signal.SIGTERM, signal.SIGHUP)
            server.wait_for("draining")
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1):
                server.send(number)
            self.assert_stopped(server, "SIGTERM")
        self.for_each_server(check)

    # Guards against a stop that a parent process such as nohup has switched off.
    def test_signals_that_the_parent_ignored_are_handled(self):
        def check(server):
            server.start(preexec_fn=ignore_stop_and_reload)
            server.wait_for("started")
            server.send(signal.SIGHUP)
            server.wait_for("settings_reloaded")
            server.send(signal.SIGINT)
            self.assert_stopped(server, "SIGINT")
        self.for_each_server(check)

    # Guards against a reload of a broken file that ends the process.
    def test_a_reload_of_an_invalid_file_is_logged(self):
        def check(server):
            server.start()
            server.wait_for("started")
            server.settings.write_text("[node", encoding="utf-8")
            server.send(signal.SIGHUP)
            server.wait_for("settings_rejected")
            server.settings.unlink()
            server.send(signal.SIGHUP)
            server.wait_until(lambda: "not a regular file" in
                       server.events("settings_rejected")[-1]["detail"])
            self.assertEqual(server.stop(), 0)
        self.for_each_server(check)


class LogTest(ServerCase):
    # Guards against a process that SIGPIPE ends because its log's reader has gone.
    def test_a_log_reader_that_closes_does_not_end_the_process(self):
        def check(server):
            reader, writer = os.pipe()
            server.start(stdout=writer, stderr=writer)
            os.close(writer)
            os.read(reader, 1)
            os.close(reader)
            for _ in range(3):
                server.send(signal.SIGHUP)
                time.sleep(0.05)
            server.wait_until(lambda: server.readiness() == 503)
            self.assertEqual(server.stop(), 0)
        self.for_each_server(check)

    # Guards against a process that SIGXFSZ ends at the size limit of its log file.
    def test_a_log_at_its_size_limit_does_not_end_the_process(self):
        def limit_file_size():
            resource.setrlimit(resource.RLIMIT_FSIZE, (300, 300))

        def check(server):
            server.start(preexec_fn=limit_file_size)
            server.wait_until(lambda: server.readiness() == 503)
            server.send(signal.SIGUSR1)
            time.sleep(0.05)
            server.wait_until(lambda: server.readiness() == 503)
            self.assertEqual(server.stop(), 0)
        self.for_each_server(check)

    # Guards against a socket or an epoll set as standard output, which log lines are
    # written into.
    def test_closed_standard_descriptors_are_opened(self):
        for closed in ((0,), (1,), (2,), (1, 2), (0, 1, 2)):
            def close_descriptors(closed=closed):
                for number in closed:
                    os.close(number)

            def check(server, closed=closed, close_descriptors=close_descriptors):
                server.start(preexec_fn=close_descriptors)
                server.wait_until(lambda: server.readiness() == 503)
                for number in closed:
                    self.assertEqual(server.descriptor(number), "/dev/null")
                self.assertEqual(server.stop(), 0)
            self.for_each_server(check)

    # Guards against a process that waits for the reader of its log: a terminal accepts a
    # part of a line when it has little room left.
    def test_a_terminal_that_nobody_reads_does_not_block_the_process(self):
        def check(server):
            reader, writer = pty.openpty()
            self.addCleanup(os.close, reader)
            server.start(stdout=writer, stderr=writer, start_new_session=True)
            os.close(writer)
            server.wait_until(lambda: server.readiness() == 503)
            for _ in range(300):  # fills the terminal's buffer
                server.send(signal.SIGHUP)
                time.sleep(0.001)
            self.assertEqual(server.readiness(), 503)
            os.set_blocking(reader, False)
            output = bytearray()

            def names():
                try:
                    output.extend(os.read(reader, 65536))
                except BlockingIOError:
                    pass
                server.send(signal.SIGHUP)
                return [json.loads(line)["name"] for line in output.split(b"\n")[:-1]]
            server.wait_until(lambda: "lines_dropped" in names())
            self.assertEqual(server.stop(), 0)
        self.for_each_server(check)

    # Guards against a log line that is joined to the begin of another one, which a full
    # disk cut off.
    def test_a_line_that_was_written_in_part_is_completed(self):
        def limit_file_size():
            resource.setrlimit(resource.RLIMIT_FSIZE, (150, resource.RLIM_INFINITY))

        def check(server):
            server.start(preexec_fn=limit_file_size)
            server.wait_until(lambda: server.readiness() == 503)
            for _ in range(3):
                server.send(signal.SIGHUP)
                time.sleep(0.05)
            self.assertEqual(server.log_path.stat().st_size, 150)
            resource.prlimit(server.child.pid, resource.RLIMIT_FSIZE,
                             (resource.RLIM_INFINITY, resource.RLIM_INFINITY))
            server.send(signal.SIGHUP)
            self.assertGreater(int(server.wait_for("lines_dropped")["lines"]), 0)
            self.assertEqual(server.stop(), 0)
            for line in server.log_path.read_bytes().splitlines():
                json.loads(line)
        self.for_each_server(check)

    # Guards against a control thread that waits for the reader of the trace.
    def test_a_trace_that_nobody_reads_does_not_block_the_process(self):
        server = ServerProcess("serve")
        self.addCleanup(server.close)
        server.settings.write_text(server.settings_text + "[trace]\nstdout = true\n",
                                   encoding="utf-8")
        reader, writer = os.pipe()
        fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, 4096)
        server.start(stdout=writer)
        os.close(writer)
        server.wait_until(lambda: server.readiness() == 503)
        for _ in range(40):
            server.request("POST", "/v1/none")
        server.send(signal.SIGHUP)  # answered by the control thread
        server.wait_for("settings_reloaded")
        os.read(reader, 65536)
        server.request("POST", "/v1/none")
        self.assertEqual(server.wait_for("lines_dropped")["of"], "trace")
        os.close(reader)
        self.assertEqual(server.stop(), 0)


class StartTest(ServerCase):
    def occupy(self, port):
        """Listens on a port without allowing others to share it."""
        listener = socket.socket()
        self.addCleanup(listener.close)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", port))
        listener.listen()
        return listener

    # Guards against a start that is given up because an address is still in use.
    def test_a_start_waits_for_an_address_that_is_in_use(self):
        for name in ("callers", "status", "other"):
            def check(server, name=name):
                listener = self.occupy(server.ports[name])
                server.start()
                event = server.wait_for("start_waiting")
                self.assertIn(f":{server.ports[name]}: Address already in use",
                              event["detail"])
                for other in server.ports.values():
                    if other != server.ports[name]:
                        with socket.socket() as probe:
                            self.assertNotEqual(probe.connect_ex(("127.0.0.1", other)), 0)
                time.sleep(0.5)  # a few more attempts
                listener.close()
                server.wait_for("started")
                self.assertEqual(len(server.events("start_waiting")), 1)
                server.wait_until(lambda: server.readiness() == 503)
                self.assertEqual(server.stop(), 0)
            self.for_each_server(check)

    # Guards against a start that is given up because an address comes up late.
    def test_a_start_waits_for_an_address_that_does_not_exist_yet(self):
        def check(server):
            server.settings.write_text(
                server.settings_text.replace(f"127.0.0.1:{server.ports['callers']}",
                                             f"192.0.2.1:{server.ports['callers']}"),
                encoding="utf-8")
            server.start()
            self.assertIn("Cannot assign", server.wait_for("start_waiting")["detail"])
            began = time.monotonic()
            server.send(signal.SIGHUP, signal.SIGTERM)
            self.assert_stopped(server, "SIGTERM from process")
            self.assertLess(time.monotonic() - began, 2)
        self.for_each_server(check)

    # Guards against a wait that goes on with settings that were corrected meanwhile.
    def test_a_start_that_waits_takes_the_settings_that_were_corrected(self):
        def check(server):
            server.settings.write_text(
                server.settings_text.replace(f"127.0.0.1:{server.ports['callers']}",
                                             f"192.0.2.1:{server.ports['callers']}"),
                encoding="utf-8")
            server.start()
            server.wait_for("start_waiting")
            server.settings.write_text(server.settings_text, encoding="utf-8")
            server.wait_for("started")
            server.send(signal.SIGTERM)
            self.assert_stopped(server, "SIGTERM from process")
        self.for_each_server(check)

    # Guards against an end without a log line, and against a wait that cannot help.
    def test_an_address_that_no_wait_makes_usable_ends_the_start_with_a_log_line(self):
        def check(server):
            server.settings.write_text(
                server.settings_text.replace(f"127.0.0.1:{server.ports['callers']}",
                                             f"fe80::1:{server.ports['callers']}"),
                encoding="utf-8")
            self.assertEqual(server.start().wait(timeout=10), 3)
            self.assertEqual(server.events()[-1]["name"], "start_failed")
        self.for_each_server(check)

    # Guards against a start that is given up because the settings file is being replaced.
    def test_a_start_waits_for_a_settings_file_that_is_being_replaced(self):
        for begin in (None, b"", b"[node]\nname ="):
            def check(server, begin=begin):
                server.settings.unlink()
                if begin is not None:
                    server.settings.write_bytes(begin)
                server.start()
                server.wait_for("start_waiting")
                server.settings.write_text(server.settings_text, encoding="utf-8")
                server.wait_for("started")
                self.assertEqual(server.stop(), 0)
            self.for_each_server(check)

    # Guards against a wait without end, and an end without a log line.
    def test_a_settings_file_that_stays_invalid_ends_the_start(self):
        def check(server):
            server.settings.write_text("[node", encoding="utf-8")
            self.assertEqual(server.start().wait(timeout=10), 3)
            self.assertEqual(server.events()[-1]["name"], "start_failed")
        self.for_each_server(check)

    def test_a_stop_signal_ends_the_wait_for_a_settings_file(self):
        def check(server):
            server.settings.unlink()
            server.start()
            server.wait_for("start_waiting")
            server.send(signal.SIGTERM)
            self.assert_stopped(server, "SIGTERM from process")
        self.for_each_server(check)

    # Guards against std::terminate without a log line where the system has no thread left.
    def test_a_thread_that_cannot_be_started_ends_the_start_with_a_log_line(self):
        def leave_no_room_for_stacks():
            resource.setrlimit(resource.RLIMIT_STACK, (1 << 36, resource.RLIM_INFINITY))
            resource.setrlimit(resource.RLIMIT_AS, (1 << 33, 1 << 33))

        def check(server):
            server.start(preexec_fn=leave_no_room_for_stacks)
            self.assertEqual(server.child.wait(timeout=10), 7, server.log_path.read_text())
            self.assertIn(server.events()[-1]["name"], ("start_failed", "unexpected_end"))
        self.for_each_server(check)


class LastLineTest(ServerCase):
    # Guards against a crash that leaves no last line, so that the log cannot tell it from
    # a process that was killed.
    def test_a_crash_leaves_a_last_line(self):
        for number in (signal.SIGSEGV, signal.SIGBUS, signal.SIGILL, signal.SIGFPE,
                       signal.SIGABRT, signal.SIGSYS, signal.SIGTRAP, signal.SIGQUIT):
            def no_core():
                resource.setrlimit(resource.RLIMIT_CORE, (0, 0))

            def check(server, number=number, no_core=no_core):
                server.start(preexec_fn=no_core)
                server.wait_for("started")
                server.send(number)
                self.assertEqual(server.child.wait(timeout=10), -number)
                last = server.events()[-1]
                self.assertEqual((last["event"], last["name"], last["signal"]),
                                 (123, "unexpected_end", signal.Signals(number).name))
                self.assertIn(last["node"], ("gw1", "entry-1"))
                self.assertEqual(len(server.events("unexpected_end")), 1)
            self.for_each_server(check)


if __name__ == "__main__":
    unittest.main()
