"""Requests a streamed chat completion from an entry and prints the events.

python examples/completion.py 127.0.0.1:8080 KEY MODEL "autumn sky"
"""

import argparse
import json

import geventhttpclient


def main() -> None:
    """Parses the command line and prints the response as it arrives."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("entry", metavar="HOST:PORT")
    parser.add_argument("key")
    parser.add_argument("model")
    parser.add_argument("text")
    options = parser.parse_args()
    host, _, port = options.entry.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port))
    body = {
        "model": options.model,
        "messages": [{"role": "user", "content": options.text}],
        "stream": True,
    }
    response = client.request(
        "POST",
        "/v1/chat/completions",
        json.dumps(body),
        {"Authorization": f"Bearer {options.key}"},
    )
    while part := response.read(1):
        print(bytes(part).decode(), end="", flush=True)


if __name__ == "__main__":
    main()
