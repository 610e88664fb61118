-- The holders of all leases are paused for longer than the lease duration. When they resume, they act on outdated state, and their
-- successors must complete the work.
cell{daemons=9, domains=3}
every(0.3, send, {tokens=10, retries=4})
at(6, order_role, "e1", "prefill")
at(7, provision, "z1", 2)
for _, duty in ipairs{"orders", "provision", "usage", "roster"} do
    at(9, function() pause(holder(duty), 14) end)
end
run(60)
expect(role("e1") == "prefill", "no successor completed the role change")
