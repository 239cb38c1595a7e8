"""Demonstrates fair queueing between a light and a heavy account."""

from caroblug.core.limits import FairQueue


def main() -> None:
    """Prints the items of both accounts in the order of service."""
    queue: FairQueue[str] = FairQueue()
    for number in range(6):
        queue.put("heavy", f"heavy-{number}", cost=10)
    queue.put("light", "light-0", cost=10)
    while len(queue):
        print(queue.get())


if __name__ == "__main__":
    main()
