#!/usr/bin/env bash
# Fails when a file includes a header of a higher layer. Order, from lowest: transport, protocol, state, coordination, serving, standin, programs. The adapter in platform/ is on top.
set -euo pipefail
cd "$(dirname "$0")/.."
layers=(transport protocol state coordination serving standin programs)
failed=0
for ((low = 0; low < ${#layers[@]}; low++)); do
    for ((high = low + 1; high < ${#layers[@]}; high++)); do
        if hits=$(grep -rnE "#include \"${layers[high]}/" "src/${layers[low]}" 2>/dev/null); then
            echo "src/${layers[low]} must not include ${layers[high]}:"
            echo "$hits"
            failed=1
        fi
    done
done
exit $failed
