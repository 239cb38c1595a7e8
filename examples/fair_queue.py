"""Shows how a fair queue serves a light account beside a heavy one."""

from caroblug.core.limits import FairQueue


def main() -> None:
    """Prints the order in which items are served."""
    queue: FairQueue[str] = FairQueue()
    for number in range(6):
        queue.put("heavy", f"heavy-{number}", cost=10)
    queue.put("light", "light-0", cost=10)
    while len(queue):
        print(queue.get())


if __name__ == "__main__":
    main()
