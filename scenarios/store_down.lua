-- A long outage of the table service: completions are served by majority, bookings are refused, and no usage window is reported twice.
cell{daemons=9, domains=3}
run(15) -- All nine daemons have joined the roster; a daemon outside the roster admits no requests while the store is down.
store_down(true)
run(20)
for i = 1, 9 do send{name="completion" .. i, to="d" .. i} end
send{name="booking", booking="spool-1"}
run(10)
for i = 1, 9 do expect(outcome("completion" .. i) == "finished", "a completion was not served during the store outage, d" .. i) end
expect(outcome("booking") == "not_run", "a booking was not refused although its claim could not be stored")
store_down(false)
run(40)
send{name="again", booking="spool-1"}
run(5)
expect(executions("spool-1") == 1)
expect(windows_reported() > 3, "fewer usage windows than expected were reported after the outage")
