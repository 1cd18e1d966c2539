"""The thread pool of an entry's HTTP server."""

import threading
import unittest
import urllib.request

from cheroot.wsgi import Server

from cicadatiller.rpc._threads import INITIAL_THREADS, GrowingThreadPool

MAX_THREADS = 20
WAIT_S = 10.0


class GrowingThreadPoolTest(unittest.TestCase):
    def setUp(self):
        self.all_inside = threading.Barrier(MAX_THREADS + 1)
        self.server = Server(("127.0.0.1", 0), self.respond)
        self.server.requests = GrowingThreadPool(self.server, MAX_THREADS)
        self.server.prepare()
        threading.Thread(target=self.server.serve, daemon=True).start()
        self.addCleanup(self.server.stop)

    def respond(self, environ, start_response):
        self.all_inside.wait(WAIT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    def call(self):
        host, port = self.server.bind_addr
        with urllib.request.urlopen(f"http://{host}:{port}/", timeout=WAIT_S) as response:
            self.bodies.append(response.read())

    def test_pool_grows_to_its_limit_and_serves_that_many_concurrent_calls(self):
        self.bodies = []
        self.assertEqual(len(self.server.requests._threads), INITIAL_THREADS)
        callers = [threading.Thread(target=self.call) for _ in range(MAX_THREADS)]
        for caller in callers:
            caller.start()
        self.all_inside.wait(WAIT_S)
        for caller in callers:
            caller.join(WAIT_S)
        self.assertEqual(self.bodies, [b"ok"] * MAX_THREADS)
        self.assertEqual(len(self.server.requests._threads), MAX_THREADS)


if __name__ == "__main__":
    unittest.main()
