-- The holder of `orders` stalls between its lease check and the write of an order, and its lease expires while the store is down. No daemon
-- holds the lease when the order arrives, yet the daemons must send no requests to the engine that changes its role.
cell{daemons=9, domains=3}
every(0.05, send, {tokens=25, retries=3})
run(8)
order_role("e1", "prefill")
stall_orders(holder("orders"), 14)
at(13, store_down, true)
at(40, store_down, false)
run(60)
expect(role("e1") == "prefill")
expect(total("finished") > 200)
