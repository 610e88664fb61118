-- A daemon that holds leases and runs requests is killed and started again.
cell{daemons=9, domains=3}
every(0.2, send, {tokens=20, retries=4})
at(8, kill, "d3")
at(10, function() kill(holder("orders")) end)
at(20, start, "d3")
run(40)
expect(holder("orders") ~= "", "the lease fails over")
expect(total("finished") > 150, "requests go on")
