-- Answers of the table service are lost after and before they took effect, for claims, leases, windows and orders.
cell{daemons=9, domains=3}
for number = 1, 30 do
    at(6 + number, lose_answers, 3, number % 3 == 0 and "before" or "after")
    at(6.1 + number, send, {booking="lost" .. number, retries=3})
end
at(9, order_role, "e1", "decode")
at(40, order_role, "e1", "decode") -- The planner asks again, because a holder that lost its lease forgets what was wanted.
run(70)
for number = 1, 30 do
    expect(executions("lost" .. number) <= 1)
end
expect(role("e1") == "decode")
