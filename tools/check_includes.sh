#!/usr/bin/env bash
# Fails if a file includes a header of a higher layer, or if src/ uses names of the users' platform, which only the adapter in platform/ may use.
# Layers from lowest to highest: transport, protocol, state, coordination, serving, standin, programs; the adapter is above all of them.
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
# Names of the users' platform may appear only in platform/.
if hits=$(grep -rnE 'X-Response-Seal|X-Not-Executed|X-Prefix-Hash|X-Tenant-Id|X-Expect-Instance|X-Fencing-Token|Server-Limit|Server-Leaving|X-Lease-Holder|rows-tx|rows-feed|kv-handle|"platform/' src); then
    echo "src must not use names of the users' platform:"
    echo "$hits"
    failed=1
fi
# The fault soak checks the product from outside and shares no code with it.
if hits=$(grep -nE '#include "(transport|protocol|state|coordination|serving|standin|platform)/' soak/*); then
    echo "soak must not include headers of the product:"
    echo "$hits"
    failed=1
fi
exit $failed
