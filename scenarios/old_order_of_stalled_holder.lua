-- The holder of `orders` is stopped between the check of its lease and the write; its order arrives under a successor.
cell{daemons=9, domains=3}
run(8)
order_role("e1", "prefill")
stall_orders(holder("orders"), 16)
at(13, function() kill(holder("orders")) end)
run(60)
expect(role("e1") == "prefill")
