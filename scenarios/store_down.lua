-- The table service is down for long: completions go on by majority, bookings are refused, nothing is reported twice.
cell{daemons=9, domains=3}
run(8)
store_down(true)
run(20)
send{name="completion"}
send{name="booking", booking="spool-1"}
run(10)
expect(outcome("completion") == "finished", "completions need no store")
expect(outcome("booking") == "not_run", "a booking needs its claim")
store_down(false)
run(40)
send{name="again", booking="spool-1"}
run(5)
expect(executions("spool-1") == 1)
expect(windows_reported() > 3, "windows are reported after the outage")
