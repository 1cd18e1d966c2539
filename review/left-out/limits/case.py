"""The operator allows longer bodies while clients keep connections open."""

import asyncio
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parents[1] / "lib"))

from rig import CONTACT_S, Rig, has_trouble, headers, main, plain_service, route  # noqa: E402
from web import Client  # noqa: E402

SERVICE = "document-desk"
SHORT_LIMIT = 65_536
LONG_LIMIT = 4_194_304
BODY = b"clause; " * 20_000
PER_ENTRY = 20
CONVERGE_S = 2.0


async def play(case: Path) -> str:
    rig = Rig(case, entries=2)
    try:
        scan = route("scan", "safe", SERVICE, timeout_ms=5000, target_latency_ms=500)
        services = [plain_service(SERVICE)]
        rig.configure([scan], services, max_body_bytes=SHORT_LIMIT if has_trouble() else LONG_LIMIT)
        for number in range(4):
            rig.add_worker(f"i-desk{number}", SERVICE)
        await rig.start()
        clients = [
            (entry, number, await Client.open(entry.address))
            for entry in rig.entries
            for number in range(PER_ENTRY)
        ]

        async def send(entry, number, client, name, method, body) -> int:
            request = f"{name}-{entry.number}-{number}"
            rig.log.write("sent", request=request, entry=entry.number, bytes=len(body))
            await client.send(method, "/scan/1", headers(request, left_ms=5000), body)
            answer = await client.read()
            rig.log.write("answered", request=request, status=answer.status)
            return answer.status

        async def send_all(name, method, body) -> list[int]:
            calls = [
                send(entry, number, client, name, method, body) for entry, number, client in clients
            ]
            return await asyncio.gather(*calls)

        before = await send_all("list", "GET", b"")
        if has_trouble():
            rig.configure([scan], services, max_body_bytes=LONG_LIMIT)
            rig.log.write("configuration", max_body_bytes=LONG_LIMIT)
        # Well within four fifths of the idle limit of 15 s.
        await asyncio.sleep(max(CONVERGE_S, CONTACT_S) + 1.0)
        after = await send_all("document", "POST", BODY)
        for _, _, client in clients:
            client.close()
        if before.count(200) < len(before):
            raise RuntimeError("not all requests were served before the change")
        denied = sum(400 <= status < 500 and status not in (408, 421, 429) for status in after)
        allowed = 5 + (len(before) + len(after)) / 500
        print(f"{denied} of {len(after)} documents were ended with a 4xx; {allowed:.1f} allowed")
        return f"DENIED: {denied} requests" if denied > allowed else ""
    finally:
        rig.close()


if __name__ == "__main__":
    main(play, CASE)
