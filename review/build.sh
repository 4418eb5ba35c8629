#!/usr/bin/env bash
# Builds the stand-ins. They are Python and the standard library only, so this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'CHECK'
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
    print("ok", path)
CHECK
