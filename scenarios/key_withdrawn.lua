-- A key is withdrawn while its requests run: no new one is admitted, running ones finish.
cell{daemons=9, domains=3}
run(15) -- Every daemon is in the roster by then; others admit nothing.
send{name="running", key="k2", tokens=60}
run(0.5)
expect(withdraw_key("d4", "k2") == "stored")
every(0.05, send, {key="k2", tokens=2})
run(10)
send{name="late", key="k2"}
run(2)
expect(outcome("running") == "finished", "a running stream finishes")
expect(code("late") == "wrong_key")
expect(version_in_force() == 2)
