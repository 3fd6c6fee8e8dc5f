"""Metrics of an entry host, as collectors read them."""

from __future__ import annotations

import unittest

from standins.site.site import Site, free_port
from toucanpin.entry.metrics import MetricsServer, register_gauge
from toucanpin.http import Client


class MetricsTest(unittest.IsolatedAsyncioTestCase):
    async def test_jobs_show_in_counters_and_histograms(self) -> None:
        address = f"127.0.0.1:{free_port()}"
        server = MetricsServer(address, "/metrics")
        await server.run()
        self.addAsyncCleanup(server.close)
        register_gauge("toucanpin.test", "A test", "what", lambda: {"value": 4.0})
        site = Site()
        site.configure()
        self.addAsyncCleanup(site.close)
        await site.add_host()
        await site.add_worker()
        self.assertTrue(await site.wait_until_ready())
        await site.submit()
        self.assertTrue(await site.wait_for_state("completed"))
        client = Client(address)
        text = (await client.call("GET", "/metrics")).body.decode()
        for line in (
            "toucanpin_starts{} 1",
            'toucanpin_ends{end="done"} 1',
            'toucanpin_requests{method="POST",status="200"} 1',
            "toucanpin_takeovers{} 1",
            'toucanpin_test{what="value"} 4.0',
            'toucanpin_start_wait_count{priority="0"} 1',
            'toucanpin_start_wait_bucket{priority="0",le="+Inf"} 1',
        ):
            self.assertIn(line, text.splitlines())
        self.assertIn('toucanpin_store_calls{outcome="answered"}', text)
        self.assertIn('toucanpin_store_bytes{table="op"}', text)
        self.assertIn('toucanpin_turn_time_count{what="placing"}', text)
        self.assertEqual(404, (await client.call("GET", "/other")).status)
        client.close()


if __name__ == "__main__":
    unittest.main()
