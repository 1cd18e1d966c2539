"""A case of entries whose store comes back from an older copy."""

import asyncio

from .gateways import GatewayCase, configuration

# The time within which all entries have read the store's newest records after it came back.
REREAD_S = 2.5
OTHER_KEY = "key-of-shoal"
TWO_KEYS = [{"name": "reef", "api_keys": ["key-of-reef", OTHER_KEY]}]


class EraCase(GatewayCase):
    def write_config(self, fleet, version, **changes):
        fleet.store.write("keyed.op", "config", configuration(version, **changes))

    def versions(self, fleet):
        return [gateway.config_version for gateway in fleet.gateways]

    def grow(self, fleet, topic, count=20):
        """Write records that tell nothing new, so that offsets rise."""
        if topic == "keyed.servers":
            for _ in range(count):
                fleet.register(fleet.targets["t-1"])
            return
        for _ in range(count):
            fleet.store.write(topic, "note", b"nothing")

    def appends(self, fleet):
        return fleet.store.calls.count("/log-append")

    def listed_entries(self, fleet):
        return sorted(fleet.store.newest("keyed.status"))

    async def watch(self, fleet, duration_s, entries=None):
        """Return the lowest version that each entry had in force for a time."""
        lowest = self.versions(fleet)
        for _ in range(round(duration_s / 0.05)):
            await asyncio.sleep(0.05)
            lowest = [min(pair) for pair in zip(lowest, self.versions(fleet), strict=True)]
        return lowest

    async def used_targets(self, fleet, count=8, **options):
        before = {name: len(target.runs) for name, target in fleet.targets.items()}
        await fleet.ask_many(count, **options)
        return {name for name, t in fleet.targets.items() if len(t.runs) > before[name]}
