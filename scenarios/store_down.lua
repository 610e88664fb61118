-- The table service is down for long: completions go on by majority, bookings are refused, nothing is reported twice.
cell{daemons=9, domains=3}
run(15) -- All nine have joined the roster; a daemon that has not admits nothing while the store is down.
store_down(true)
run(20)
for i = 1, 9 do send{name="completion" .. i, to="d" .. i} end
send{name="booking", booking="spool-1"}
run(10)
for i = 1, 9 do expect(outcome("completion" .. i) == "finished", "completions need no store, d" .. i) end
expect(outcome("booking") == "not_run", "a booking needs its claim")
store_down(false)
run(40)
send{name="again", booking="spool-1"}
run(5)
expect(executions("spool-1") == 1)
expect(windows_reported() > 3, "windows are reported after the outage")
