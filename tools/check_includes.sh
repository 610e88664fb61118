#!/usr/bin/env bash
# Fails when a file includes a header of a higher layer, or names what only the adapter may name. Order, from lowest: transport, protocol, state, coordination, serving, standin, programs. The adapter in platform/ is on top.
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
# Names of the users' platform stand in platform/ only.
if hits=$(grep -rnE 'X-Response-Seal|X-Not-Executed|X-Prefix-Hash|X-Tenant-Id|X-Expect-Instance|X-Fencing-Token|X-Lease-Holder|rows-tx|rows-feed|kv-handle|"platform/' src); then
    echo "src must not name the users' platform:"
    echo "$hits"
    failed=1
fi
# The fault soak judges from outside: it shares no code with the product.
if hits=$(grep -nE '#include "(transport|protocol|state|coordination|serving|standin|platform)/' soak/*); then
    echo "soak must not include the product:"
    echo "$hits"
    failed=1
fi
exit $failed
