-- A daemon is killed at different times around the claim and the service call. The booking must run at most once, and its retries are
-- answered that it may have run.
cell{daemons=9, domains=3}
run(6)
for number = 1, 40 do
    at(6 + number, function()
        start("d1")
        send{name="b" .. number, to="d1", booking="b" .. number, retries=2}
    end)
    at(6 + number + number * 0.002, kill, "d1")
end
run(60)
for number = 1, 40 do
    expect(executions("b" .. number) <= 1)
end
