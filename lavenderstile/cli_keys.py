"""Commands for keys of workspaces."""

import getpass
import secrets

from . import cli_base
from . import errors
from . import keys

# Random bytes in a generated key.
KEY_BYTES = 32


class KeyDigestCommand(cli_base.ToolCommand):
    """Prints the digest of a key in the form that tickets use."""

    name = 'key digest'
    description = 'Print the digest of the key read from standard input.'

    def handle(self):
        """Read the key; it never appears in arguments or messages."""
        key = self._read_key()
        if keys.extract_bearer(f'Bearer {key}') != key:
            raise errors.UserError(
                'standard input: a key must be one line of letters, '
                'digits and -._~+/ that may end in ='
            )
        digest = keys.digest_key(key)
        self.emit({'digest': digest}, [digest])
        return cli_base.EXIT_OK

    def _read_key(self):
        if self._stdin.isatty():
            return getpass.getpass('Key: ')
        try:
            text = self._stdin.read(keys.MAX_HEADER_CHARS + 1)
        except UnicodeDecodeError:
            raise errors.UserError('standard input: must be UTF-8 text')
        return text.removesuffix('\n').removesuffix('\r')


class KeyGenerateCommand(cli_base.ToolCommand):
    """Prints a new random key and its digest."""

    name = 'key generate'
    description = 'Print a new random key and its digest.'

    def handle(self):
        """Print the key once; it is not stored anywhere."""
        key = secrets.token_urlsafe(KEY_BYTES)
        digest = keys.digest_key(key)
        self.emit(
            {'key': key, 'digest': digest},
            [f'key: {key}', f'digest: {digest}'],
        )
        return cli_base.EXIT_OK
