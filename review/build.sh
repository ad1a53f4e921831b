#!/usr/bin/env bash
# build.sh builds the stand-ins of the review's scripts. The entry hosts come from the build line of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -buildvcs=false -o review/bin/standin ./review/standin
