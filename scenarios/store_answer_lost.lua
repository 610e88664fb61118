-- The table service loses answers to commits of claims, leases, windows and orders, some before the commit takes effect, some after it.
cell{daemons=9, domains=3}
for number = 1, 30 do
    at(6 + number, lose_answers, 3, number % 3 == 0 and "before" or "after")
    at(6.1 + number, send, {booking="lost" .. number, retries=3})
end
at(9, order_role, "e1", "decode")
at(40, order_role, "e1", "decode") -- The planner repeats its proposal, because a holder that loses its lease drops pending proposals.
run(70)
for number = 1, 30 do
    expect(executions("lost" .. number) <= 1)
end
expect(role("e1") == "decode")
