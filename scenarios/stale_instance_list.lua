-- The platform's instance list is stale while daemons stop and start; the roster must follow heartbeats.
cell{daemons=9, domains=3}
every(0.3, send, {tokens=10, retries=3})
at(6, stale_instances, true)
at(8, kill, "d1")
at(9, kill, "d2")
at(10, shut_down, "d3")
at(40, stale_instances, false)
at(45, start, "d1")
run(70)
expect(members("d5") == 7, "the roster must lose the two stopped daemons and contain the restarted one")
