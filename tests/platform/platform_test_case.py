"""The base of tests that run gateways before stand-ins of the platform."""

import unittest

import fakes
from gateway_process import Gateway, eventually


class PlatformTestCase(unittest.TestCase):
    """Has a store and a cloud, and ends what a test starts."""

    def setUp(self):
        self.store = fakes.Store()
        self.cloud = fakes.Cloud()
        self.addCleanup(self.store.server.stop)
        self.addCleanup(self.cloud.server.stop)

    def start_backend(self, name, service="plain", **fields):
        """Starts a backend server and registers it, with these fields changed."""
        backend = fakes.Backend(name)
        self.addCleanup(backend.server.stop)
        self.store.put("servers", name, backend.registration(service, **fields))
        return backend

    def start_gateway(self, wait=True, **options):
        """Starts a gateway, and waits until it is ready unless told otherwise."""
        gateway = Gateway(self.store, self.cloud, **options)
        self.addCleanup(gateway.stop)
        if wait:
            eventually(gateway.ready)
        return gateway
