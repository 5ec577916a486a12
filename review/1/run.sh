#!/bin/sh
exec node "$(dirname "$0")/run.js"
