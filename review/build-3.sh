#!/usr/bin/env bash
# Builds the stand-ins and the driver of the scripts of review/11 to review/15,
# after the build of the deploy file. Uses what that build declares, no more.
set -eu
cd "$(dirname "$0")/.."
cmake -S . -B target -DCMAKE_BUILD_TYPE=Release -DWAXWING_TESTS=OFF >/dev/null
cmake --build target -j8 --target waxwing-entry
mkdir -p target/review-3
for source in review/standin-3/*.cc testing/platform_standin.cc \
  testing/target_path.cc; do
  echo "$source"
done | xargs -P 8 -I{} sh -c '
  g++ -std=c++20 -O1 -DNDEBUG -DBOOST_LOG_DYN_LINK -DBOOST_ASIO_NO_DEPRECATED \
    -I. -c "{}" -o "target/review-3/$(basename "{}" .cc).o"'
g++ target/review-3/*.o target/libwaxwing.a -o target/review-3/review-cases \
  -lboost_log -lboost_thread -lboost_system -lboost_json -lpopt -lxxhash \
  -lcrypto -lpthread
echo "built target/review-3/review-cases"
