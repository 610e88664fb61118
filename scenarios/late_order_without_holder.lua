-- The holder of `orders` is stopped between the check of its lease and the write. It loses the lease while the store is away, so nobody holds it
-- when the order arrives; the daemons must still send the engine no work.
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
