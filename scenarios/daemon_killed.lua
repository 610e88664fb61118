-- A daemon with leases and running requests is killed and restarted: a successor must take the lease, and requests must still be served.
cell{daemons=9, domains=3}
every(0.2, send, {tokens=20, retries=4})
at(8, kill, "d3")
at(10, function() kill(holder("orders")) end)
at(20, start, "d3")
run(40)
expect(holder("orders") ~= "", "no daemon holds the lease for orders after its holder was killed")
expect(total("finished") > 150, "fewer requests finished than expected after the kills")
