# Sourced by the other tools: creates .venv from the locked requirements,
# once per state of the lock file.
PYTHON=${PYTHON:-python3}
ready=.venv/ready-$(cksum < requirements.lock | tr -d ' ')
if [ ! -e "$ready" ]; then
    "$PYTHON" -m venv --clear .venv
    .venv/bin/pip install --quiet --disable-pip-version-check \
        -r requirements.lock
    .venv/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
    touch "$ready"
fi
