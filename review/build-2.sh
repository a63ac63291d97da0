#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/review-2. Needs
# what the deploy file's packages bring.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++20 -O1 -I. review/cases_2.cc review/rig_2.cc \
  -o target/review-2/cases_2 -lboost_json -lpthread
