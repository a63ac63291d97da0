#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review/, from the
# libraries that the build of deploy/system.toml leaves in target/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
flags="-std=c++20 -O1 -I. -DBOOST_LOG_DYN_LINK -DBOOST_ASIO_NO_DEPRECATED"
libraries="target/libplatform.a target/libwaxwing.a -lboost_log -lboost_thread
  -lboost_system -lboost_json -lpopt -lxxhash -lcrypto -lpthread"
pids=""
for source in review/rig.cc testing/platform_standin.cc \
  review/[1-5]/case.cc; do
  [ -f "$source" ] || continue
  object=target/review/$(echo "$source" | tr / - | sed 's/\.cc$/.o/')
  g++ $flags -c "$source" -o "$object" &
  pids="$pids $!"
done
for pid in $pids; do
  wait "$pid"
done
for source in review/[1-5]/case.cc; do
  [ -f "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "target/review/review-$number-case.o" target/review/review-rig.o \
    target/review/testing-platform_standin.o $libraries \
    -o "target/review/case-$number"
done
