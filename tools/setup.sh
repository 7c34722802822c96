# Sourced by the other tools. Creates .venv from requirements.lock, and again
# when the lock file has changed.
PYTHON=${PYTHON:-python3}
ready=.venv/ready-$(cksum < requirements.lock | tr -d ' ')
if [ ! -e "$ready" ]; then
    "$PYTHON" -m venv --clear .venv
    .venv/bin/pip install --quiet --disable-pip-version-check \
        -r requirements.lock
    .venv/bin/pip install --quiet --disable-pip-version-check --no-deps -e .
    touch "$ready"
fi
