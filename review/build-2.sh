#!/usr/bin/env bash
# build-2 builds the stand-ins that the scripts in review/ start: the project's own, which are commands of its program,
# and the world of review/standin-2. The entry hosts are those of the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
go build -o bin/review-fakes .
go build -o bin/review-standin-2 ./review/standin-2
