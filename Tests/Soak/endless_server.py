"""A server that answers each request with a head and then with bytes without end, in a process of its own: it never waits for anything else.

Usage: endless_server.py <head>, where ATTEMPT stands for the request's id. Prints its port."""

import socket
import sys
import threading

BLOCK = b"x" * 65536


def serve(connection, head):
    try:
        request = b""
        while b"\r\n\r\n" not in request:
            received = connection.recv(65536)
            if not received:
                return
            request += received
        lines = request.decode("latin-1").split("\r\n")
        attempt = next((line.partition(":")[2].strip() for line in lines if line.lower().startswith("x-attempt-id:")), "")
        connection.sendall(head.replace("ATTEMPT", attempt).encode())
        while True:
            connection.sendall(BLOCK)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    listener = socket.create_server(("127.0.0.1", 0), backlog=512)
    print(listener.getsockname()[1], flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, sys.argv[1]), daemon=True).start()


if __name__ == "__main__":
    main()
