-- An engine crashes during its role change. The restart loses its orders and fencing tokens.
cell{daemons=9, domains=3}
every(0.3, send, {tokens=20, retries=3})
at(8, order_role, "e2", "prefill")
for moment = 9, 16 do
    at(moment + 0.5, crash, "e2")
end
run(60)
expect(role("e2") == "prefill" or role("e2") == "mixed")
