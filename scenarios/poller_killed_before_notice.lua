-- The daemon that polls a reclaimable engine is killed. The engine receives its reclaim notice before another daemon has begun to poll it;
-- no daemon may send it requests for longer than the limit.
cell{daemons=9, domains=3}
every(0.05, send, {tokens=5, retries=3})
at(8, kill, "d4") -- The rendezvous order of e4 ranks d4 first, so d4 polls it.
at(9.5, reclaim, "z1", 6)
run(25)
expect(total("finished") > 200)
