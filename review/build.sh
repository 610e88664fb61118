#!/usr/bin/env bash
# Builds the programs of the cases and the stand-ins that they use, into build-review/.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build-review
mkdir build-review
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -Wno-mismatched-new-delete -I. -Ireview)
objects=()
for source in review/common/deployment.cpp soak/stand_ins.cpp soak/endpoint_demands.cpp soak/oracle.cpp; do
    object="build-review/$(basename "$source" .cpp).o"
    g++ "${flags[@]}" -c "$source" -o "$object" &
    objects+=("$object")
done
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    g++ "${flags[@]}" -c "$source" -o "build-review/case-$(basename "$(dirname "$source")").o" &
done
wait # A source that does not compile leaves no object, so that the link fails.
for source in review/[1-5]/case.cpp; do
    [ -e "$source" ] || continue
    name="case-$(basename "$(dirname "$source")")"
    g++ "build-review/$name.o" "${objects[@]}" -o "build-review/$name" $(pkg-config --libs absl_strings) -pthread
done
