"""Run the decision module on the wire of standard input and output."""

import sys

from stepsail.adapter.host import serve
from stepsail.balance import Umpire

if __name__ == "__main__":
    sys.exit(serve(Umpire, sys.stdin.buffer, sys.stdout.buffer))
