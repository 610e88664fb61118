-- A key is withdrawn while its requests run: new requests are refused, running requests finish.
cell{daemons=9, domains=3}
run(15) -- All daemons are in the roster by now; a daemon outside the roster admits no requests.
send{name="running", key="k2", tokens=60}
run(0.5)
expect(withdraw_key("d4", "k2") == "stored")
every(0.05, send, {key="k2", tokens=2})
run(10)
send{name="late", key="k2"}
run(2)
expect(outcome("running") == "finished", "a stream that ran before the withdrawal did not finish")
expect(code("late") == "wrong_key")
expect(version_in_force() == 2)
