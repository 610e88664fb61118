-- All reclaimable endpoints of a failure domain receive a reclaim notice and disappear a few seconds later, in two domains in turn.
cell{daemons=9, domains=3, engines=9, reclaimable=6}
every(0.1, send, {tokens=20, retries=3})
at(10, reclaim, "z1", 5)
at(20, reclaim, "z2", 4)
run(40)
expect(total("finished") > 250)
