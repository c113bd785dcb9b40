#!/bin/sh
# Builds the stand-ins of the scripts in review/11 to review/15. They need only
# the standard library, so this checks that they compile; nothing is written.
cd "$(dirname "$0")" || exit 2
exec python3 - <<'END'
import pathlib

for folder in ('standins3', '11', '12', '13', '14', '15'):
    for path in sorted(pathlib.Path(folder).glob('*.py')):
        compile(path.read_text(), str(path), 'exec')
END
