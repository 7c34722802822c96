"""`python -m lavenderstile.platform` runs a host."""

import sys

from . import program

if __name__ == '__main__':
    sys.exit(program.main())
