-- All reclaimable engines of a failure domain are reclaimed while one of them drains for a role change.
cell{daemons=9, domains=3, engines=9, reclaimable=6}
every(0.1, send, {tokens=25, retries=3})
at(9, order_role, "e4", "decode")
at(10, reclaim, "z1", 4)
run(40)
expect(total("finished") > 200)
