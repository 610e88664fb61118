-- The holder of `orders` stalls between its lease check and the write of an order; the order arrives after a successor took the lease.
cell{daemons=9, domains=3}
run(8)
order_role("e1", "prefill")
stall_orders(holder("orders"), 16)
at(13, function() kill(holder("orders")) end)
run(60)
expect(role("e1") == "prefill")
