"""A model worker in trouble: the bodies of its streams are bytes that are no answer, without end.

Usage: endless_worker.py HOST PORT all|resumed. With `resumed`, only streams that are to go on after
`Last-Event-Id` are; the others are sound. It says what it runs on standard output, a line for each
request.
"""

import socket
import sys
import threading
import time

# No events: no data follows.
NO_ANSWERS = {"all": b"id\n\n", "resumed": b"retry: 3000" + b" " * 1011 + b"\n\n"}
BLOCK_BYTES = 32 * 1024
STREAM_EVENTS = 32
EVENT_GAP_S = 0.05
REPORT = b'{"stage":"prefill_decode","pace":1.0,"running":0,"waiting":0,"tickets":[]}'


MODE = sys.argv[3]


def read_request(connection, rest):
    """Return the first line, the headers and what came behind the request; None at the end."""
    while b"\r\n\r\n" not in rest:
        data = connection.recv(65536)
        if not data:
            return None
        rest += data
    head, _, rest = rest.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        headers[name.lower()] = value.strip()
    length = int(headers.get(b"content-length", b"0"))
    while len(rest) < length:
        rest += connection.recv(65536)
    return lines[0], headers, rest[length:]


def serve(connection):
    rest = b""
    try:
        while (request := read_request(connection, rest)) is not None:
            line, headers, rest = request
            if line.startswith(b"GET /report"):
                head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                connection.sendall(head + b"Content-Length: %d\r\n\r\n" % len(REPORT) + REPORT)
                continue
            if b"token-counts" not in headers:
                connection.sendall(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                continue
            name = headers.get(b"attempt-id", b"")
            print("runs", name.decode(), flush=True)
            connection.sendall(
                b"HTTP/1.1 200 OK\r\nAttempt-Id: " + name + b"\r\nServer-Seal: seal.endless\r\n"
                b"Content-Type: text/event-stream\r\nConnection: close\r\n\r\n"
            )
            if MODE == "resumed" and b"last-event-id" not in headers:
                for number in range(1, STREAM_EVENTS + 1):
                    time.sleep(EVENT_GAP_S)
                    connection.sendall(b"id: %d\ndata: %s\n\n" % (number, b"t" * 43))
                return
            print("sends bytes without end to", name.decode(), flush=True)
            # Until the caller closes.
            block = NO_ANSWERS[MODE] * (BLOCK_BYTES // len(NO_ANSWERS[MODE]))
            while True:
                connection.sendall(block)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((sys.argv[1], int(sys.argv[2])))
    listener.listen(64)
    print("listens", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


main()
