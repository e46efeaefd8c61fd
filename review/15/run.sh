#!/bin/sh
# Plays the case of this folder. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
exec "$here/../run-case-3.sh" crashes "$here"
