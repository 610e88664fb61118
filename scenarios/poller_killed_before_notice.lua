-- The daemon that polls a reclaimable engine is killed; the engine gets its notice before another daemon polls it.
cell{daemons=9, domains=3}
every(0.05, send, {tokens=5, retries=3})
at(8, kill, "d4") -- The first in the rendezvous order of e4.
at(9.5, reclaim, "z1", 6)
run(25)
expect(total("finished") > 200)
